// Command review-standin plays the cases of the review: it starts the project's program as separate processes, stands in for clients,
// upstreams and the platform on loopback addresses, and checks one rule on what they saw.
//
//	review-standin CASE --run COMMAND --record FILE
//
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it plays the
// same without the disruption.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may run.
const longest = 110 * time.Second

// play is one run of a case.
type play struct {
	context.Context
	*record
	command string // the run command of the deploy file
	folder  string // a temporary folder
	trouble bool   // the disruption happens
}

// cases has the function of each case. It returns the breaks of the rule, and an error if the case could not run.
var cases = map[string]func(*play) (breaks []string, err error){
	"keys":    forgottenKeys,
	"late":    lateAnswers,
	"upload":  lostUploads,
	"upgrade": repeatedAcrossProcesses,
	"full":    fullStore,
	"chunked": cutAnswers,
	"halves":  unheardClients,
	"memory":  memoryOver,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE --run COMMAND --record FILE")
		return 2
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	command := flags.String("run", "exec bin/orchiddrift", "command that starts one sidecar, from the repository's root")
	path := flags.String("record", "record.txt", "file for the record of what was sent, answered and run")
	_ = flags.Parse(os.Args[2:]) // exits on an error
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	p := &play{Context: ctx, record: rec, command: *command, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	p.note("case %s, disruption %v", os.Args[1], p.trouble)
	breaks, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		p.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case len(breaks) > 0:
		for _, b := range breaks {
			p.note("BROKEN: %s", b)
		}
		fmt.Printf("the rule was broken %d times; first: %s\n", len(breaks), breaks[0])
		return 1
	}
	p.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// pause waits, or returns an error if the run ends first.
func (p *play) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-p.Done():
		return p.Err()
	}
}
