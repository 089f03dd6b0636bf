// Command orchiddrift balances a client's requests over upstreams. Without an argument it runs the sidecar daemon; "orchiddrift --help" lists
// the other commands. Each command is a file of its own.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run the sidecar daemon, as the configuration tells (the default)."`
	Check   checkCmd   `cmd:"" help:"Say whether a configuration can be used, and all that is wrong with it."`
	Config  configCmd  `cmd:"" help:"Print an operator's file: an example, or what one comes to."`
	Demo    demoCmd    `cmd:"" help:"Show the main job on a fleet of stand-in nodes, beside plain random choice."`
	Lab     labCmd     `cmd:"" help:"Play experiments on a fleet in virtual time: policies beside each other, through faults."`
	Lease   leaseCmd   `cmd:"" help:"Leases for tasks that one process of the fleet does at a time."`
	Load    loadCmd    `cmd:"" help:"Send requests to an HTTP/1.1 or gRPC server at a rate, and tell how long they take."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("orchiddrift"), kong.UsageOnError(),
		kong.Description("Client-side load balancing: peak-EWMA latency x (pending+1), two random choices."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "orchiddrift:", err)
		code := 1
		if e := (exit{}); errors.As(err, &e) {
			code = e.code
		}
		os.Exit(code)
	}
}
