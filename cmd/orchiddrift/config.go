package main

import (
	"errors"
	"fmt"
	"os"

	"orchiddrift/internal/config"
)

// configCmd prints operator's files.
type configCmd struct {
	Example configExampleCmd `cmd:"" help:"Print an operator's file with every key, its default and its meaning."`
	Show    configShowCmd    `cmd:"" help:"Print the effective operator's file, with defaults filled in and secrets left out."`
}

type configExampleCmd struct{}

// Run is called by kong.
func (configExampleCmd) Run() error { return config.Example(os.Stdout) }

type configShowCmd struct {
	File   string `arg:"" type:"path" help:"The operator's file."`
	Beside string `name:"platform" type:"path" help:"The platform's file that the operator's file is used with."`
}

// Run is called by kong.
func (c configShowCmd) Run() error {
	files := config.Sources{Config: c.File}
	if c.Beside != "" {
		files = config.Sources{Config: c.Beside, Beside: c.File}
	}
	p, err := config.LoadPlan(files)
	if err != nil {
		return err
	}
	if p.File == nil {
		return errors.New("the file is the platform's, and not an operator's")
	}
	if c.Beside != "" {
		fmt.Printf("# beside the platform's file: listen %s, %v cores, %v MB, %d descriptors, service %q\n",
			p.Listen, p.Limits.Cores, p.Limits.MemoryMB, p.Limits.Sockets, config.Platform)
	}
	return p.File.Show(os.Stdout)
}
