// Command simadapter connects package balancer to the simulator: it reads the simulator's messages from standard input and writes the
// balancer's actions to standard output.
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
