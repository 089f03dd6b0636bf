package raftgroup

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/lease"
)

// A guard that starts after the grant has expired must not run the command, and must report the expiry in its status.
func TestGuardStartsTooLate(t *testing.T) {
	statusReader, statusWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer statusReader.Close()
	if _, err := Guard(strings.NewReader(""), statusWriter, BootTime()-time.Second, time.Second, []string{"true"}); !errors.Is(err, errGrantExpired) {
		t.Errorf("a guard that started after the grant had expired returned %v, want errGrantExpired", err)
	}
	statusWriter.Close() // already closed if the guard has reported the expiry
	status := make([]byte, 64)
	n, _ := statusReader.Read(status)
	if got := string(status[:n]); got != "0\n"+statusExpired+"\n" {
		t.Errorf("the guard's status is %q, want process id 0 and the expiry", got)
	}
}

// If a guard starts too late to run its command, the command is started again if the lease is still held; otherwise the lease is lost. A command
// that never ran must not be reported as one that ended by itself, since a task's run would then count as done.
func TestCommandAfterALateGuard(t *testing.T) {
	for _, held := range []bool{false, true} {
		ended := make(chan lease.Reason, 1)
		// The first guard reports that the grant has expired; the second guard runs the command.
		mark := t.TempDir() + "/mark"
		guard := "if [ -e " + mark + " ]; then echo 1 >&3; exit 0; fi; touch " + mark + "; sleep 0.2; printf '0\\nlate\\n' >&3; exit 1"
		c := &Command{Guard: []string{"sh", "-c", guard}, Argv: []string{"true"}, Margin: time.Second, Log: func(string) {},
			OnExit: func(_ int, reason lease.Reason) { ended <- reason }}
		c.Start(1, BootTime()+100*time.Millisecond)
		if held {
			c.Extend(BootTime() + time.Hour)
		}
		want := lease.ReasonExpired
		if held {
			want = 0
		}
		if reason := <-ended; reason != want {
			t.Errorf("lease held %v: the command ended with reason %d, want %d", held, reason, want)
		}
	}
}
