package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"orchiddrift/internal/config"
	"orchiddrift/internal/testing/golden"
)

// Operators' files keep their keys: the example names each with its default and what it means.
func TestConfigExampleGolden(t *testing.T) {
	var out bytes.Buffer
	if err := config.Example(&out); err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "config-example.toml", out.Bytes())
}

// goldenMachine is the machine that the golden files were written for.
var goldenMachine = config.Machine{Cores: 8}

// What check and config show make of every file in deploy/ stays as it was.
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
				return // check has said so
			}
			var shown bytes.Buffer
			if err := p.File.Show(&shown); err != nil {
				t.Fatal(err)
			}
			golden.Match(t, "show-"+name, shown.Bytes())
		})
	}
}
