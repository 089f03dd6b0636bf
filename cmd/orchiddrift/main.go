// Command orchiddrift balances a client's requests over upstreams. Without an argument it runs the sidecar daemon; "orchiddrift --help" lists
// the other commands. Each command has its own file.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run the sidecar daemon with the given configuration (the default)."`
	Check   checkCmd   `cmd:"" help:"Check whether a configuration can be used, and print all of its mistakes."`
	Config  configCmd  `cmd:"" help:"Print an operator's file: an example, or the effective one."`
	Demo    demoCmd    `cmd:"" help:"Compare the balancer with a random choice on a fleet of fake nodes."`
	Lab     labCmd     `cmd:"" help:"Run experiments on a simulated fleet: compare policies under faults, in virtual time."`
	Lease   leaseCmd   `cmd:"" help:"Leases for tasks that only one process of the fleet may do at a time."`
	Load    loadCmd    `cmd:"" help:"Send requests to an HTTP/1.1 or gRPC server at a given rate, and report their latencies."`
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
