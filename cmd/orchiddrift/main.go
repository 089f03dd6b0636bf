// Command orchiddrift is the sidecar: it reads its configuration from the file that GW_CONFIG names, and serves
// until SIGTERM or SIGINT. On SIGHUP it reads that file again.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"granitehinge/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "orchiddrift:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // one that waits stands for all: the file is read after it
	signal.Notify(reload, syscall.SIGHUP)
	return sidecar.Run(ctx, os.Getenv("GW_CONFIG"), reload)
}
