package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"orchiddrift/internal/config"
	"orchiddrift/internal/testing/golden"
)

// A key or default must not change unnoticed, because operators' files depend on them. The example has all keys and defaults.
func TestConfigExampleGolden(t *testing.T) {
	var out bytes.Buffer
	if err := config.Example(&out); err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "config-example.toml", out.Bytes())
}

// goldenMachine is the machine that the golden files were written for.
var goldenMachine = config.Machine{Cores: 8}

// The output of check and config show for the files in deploy/ must not change unnoticed, because scripts of operators may read it.
func TestDeployedFilesGolden(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.example.*")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		name := filepath.Base(path)
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := check(&out, goldenMachine, path, ""); err != nil {
				out.WriteString("error: " + err.Error() + "\n")
			}
			golden.Match(t, "check-"+strings.TrimSuffix(name, filepath.Ext(name))+".txt", out.Bytes())
			if filepath.Ext(path) != ".toml" {
				return
			}
			p, err := config.LoadPlan(config.Sources{Config: path})
			if err != nil {
				return // the output of check has the error
			}
			var shown bytes.Buffer
			if err := p.File.Show(&shown); err != nil {
				t.Fatal(err)
			}
			golden.Match(t, "show-"+name, shown.Bytes())
		})
	}
}
