// Command simadapter runs the decisions of package balancer on the simulator's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"orchiddrift/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
