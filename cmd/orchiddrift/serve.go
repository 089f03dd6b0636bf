package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
)

// serveCmd runs the daemon until SIGTERM or SIGINT. On SIGHUP it reads its configuration again.
type serveCmd struct {
	Config  string `env:"GW_CONFIG" placeholder:"FILE" help:"The configuration: the operator's file, or the platform's."`
	Beside  string `name:"file" env:"ORCHIDDRIFT_FILE" placeholder:"FILE" help:"The operator's file, in addition to the platform's."`
	Control string `env:"GW_CONTROL" placeholder:"ADDRESS" help:"The address for operators, if no file sets one."`
}

// Run is called by kong.
func (s serveCmd) Run() error {
	// stop is not called: a signal that arrives after the daemon has ended must not end the process as if it had crashed.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	_ = stop
	reload := make(chan os.Signal, 1) // one pending signal is enough, because the file is read after it
	signal.Notify(reload, syscall.SIGHUP)
	return daemon.Run(ctx, config.Sources{Config: s.Config, Beside: s.Beside, Control: s.Control}, reload)
}
