// Command second plays the cases of the second review. A case is played by review/N/run.sh, which names the case's folder. It starts the
// project's program with the command of the deploy file, beside stand-ins for clients, upstreams and the platform in this process, and
// writes record.txt in the folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	unable = 2
)

// longestTrial is shorter than the 120 seconds that a script may take.
const longestTrial = 115 * time.Second

// errBroken marks the error of a case whose rule was broken. Any other error means that the case could not run.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name; run.sh gives the name.
var cases = map[string]func(*trial) error{}

func main() { os.Exit(run()) }

func run() int {
	// The sidecars are started on this thread, which lasts as long as the process: the kernel kills them if it ends.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", "", "folder of the case, with its data files and record.txt")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	play := cases[*name]
	if play == nil || *folder == "" {
		fmt.Fprintln(os.Stderr, "usage: review-second -case NAME -folder FOLDER [-root ROOT]")
		return unable
	}
	seed, err := strconv.ParseUint(cmp.Or(os.Getenv("SEED"), "1"), 10, 32)
	if err != nil {
		fmt.Fprintln(os.Stderr, "SEED:", err)
		return unable
	}
	t, err := newTrial(*root, *folder, os.Getenv("TROUBLE") != "0", seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer t.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			t.note("interrupted")
		case <-time.After(longestTrial):
			t.note("out of time")
		}
		t.close()
		os.Exit(unable)
	}()
	err = play(t)
	switch {
	case err == nil:
		t.note("RESULT: the rule held")
		return held
	case errors.Is(err, errBroken):
		t.note("RESULT: %v", err)
		return broken
	}
	t.note("RESULT: the case could not run: %v", err)
	return unable
}

// breaks returns an error that says that the rule was broken, and how.
func breaks(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// recordPath is the file in the case's folder that says what was sent, answered and run.
func recordPath(folder string) string { return filepath.Join(folder, "record.txt") }
