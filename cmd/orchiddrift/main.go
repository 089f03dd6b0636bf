// Command orchiddrift is the sidecar: it reads its configuration from the file that GW_CONFIG names, and serves
// until SIGTERM or SIGINT.
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
	c, err := sidecar.LoadConfig(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	return sidecar.Run(ctx, c)
}
