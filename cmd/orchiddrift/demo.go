package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/term"

	"orchiddrift/internal/demo"
)

// demoCmd shows the main job with nothing to prepare.
type demoCmd struct {
	For   time.Duration `default:"20s" help:"How long it plays."`
	Front string        `default:"daemon" enum:"daemon,grpc" help:"daemon: the sidecar, over HTTP; grpc: the plug-in."`
	Rate  float64       `default:"240" help:"Requests a second, to each side."`
	Seed  uint64        `default:"1" help:"Of the arrivals and all other chance."`
	Plain bool          `help:"Lines instead of a live table, as where there is no terminal."`
}

// Run is called by kong.
func (d demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	_, err := demo.Run(ctx, demo.Options{For: d.For, Front: d.Front, Rate: d.Rate, Seed: d.Seed, Out: os.Stdout,
		Live: !d.Plain && term.IsTerminal(int(os.Stdout.Fd()))})
	return err
}
