package raftgroup

import (
	"os"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/lease"
)

// Guards against a command that never ran and is said to have ended, so that a task's run counts as done: a guard that begins behind the term
// that it was told says so, and whoever holds the lease by then begins it anew; whoever does not has lost it.
func TestAGuardThatBeginsTooLate(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Guard(strings.NewReader(""), write, BootTime()-time.Second, time.Second, []string{"true"}); err == nil {
		t.Error("it runs the command")
	}
	write.Close() // it has been, where the guard said its word
	said := make([]byte, 64)
	n, _ := read.Read(said)
	if got := string(said[:n]); got != "0\n"+statusLate+"\n" {
		t.Errorf("it says %q", got)
	}
	read.Close()
	for _, held := range []bool{false, true} {
		over := make(chan lease.Reason, 1)
		// A guard that is late once, and then does as it is told.
		mark := t.TempDir() + "/mark"
		guard := "if [ -e " + mark + " ]; then echo 1 >&3; exit 0; fi; touch " + mark + "; sleep 0.2; printf '0\\nlate\\n' >&3; exit 1"
		c := &Command{Guard: []string{"sh", "-c", guard}, Argv: []string{"true"}, Margin: time.Second, Log: func(string) {},
			OnExit: func(_ int, why lease.Reason) { over <- why }}
		c.Start(1, BootTime()+100*time.Millisecond)
		if held {
			c.Extend(BootTime() + time.Hour)
		}
		if why := <-over; held != (why == 0) || !held && why != lease.ReasonExpired {
			t.Errorf("held %v: ended with %d", held, why)
		}
	}
}
