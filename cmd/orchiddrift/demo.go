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

// demoCmd compares the balancer with a random choice on a fleet of fake nodes. It needs no preparation.
type demoCmd struct {
	For   time.Duration `default:"20s" help:"How long the demonstration runs."`
	Front string        `default:"daemon" enum:"daemon,grpc" help:"daemon: the sidecar, over HTTP; grpc: the plug-in."`
	Rate  float64       `default:"240" help:"Requests per second, for each of the two."`
	Seed  uint64        `default:"1" help:"Seed of the arrivals and all other random events."`
	Plain bool          `help:"Print lines instead of a live table, which is the default without a terminal."`
}

// Run is called by kong.
func (d demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	_, err := demo.Run(ctx, demo.Options{For: d.For, Front: d.Front, Rate: d.Rate, Seed: d.Seed, Out: os.Stdout,
		Live: !d.Plain && term.IsTerminal(int(os.Stdout.Fd()))})
	return err
}
