package raftgroup

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/lease"
)

// A guard that starts after the grant has expired does not run the command and says so.
func TestGuardStartsTooLate(t *testing.T) {
	statusReader, statusWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer statusReader.Close()
	if _, err := Guard(strings.NewReader(""), statusWriter, BootTime()-time.Second, time.Second, []string{"true"}); !errors.Is(err, errGrantExpired) {
		t.Errorf("it runs the command: %v", err)
	}
	statusWriter.Close() // the guard has closed it, where it wrote its status
	status := make([]byte, 64)
	n, _ := statusReader.Read(status)
	if got := string(status[:n]); got != "0\n"+statusExpired+"\n" {
		t.Errorf("its status is %q", got)
	}
}

// A command whose guard was late is started again if the lease is still held; otherwise the lease is lost. A command that never ran must not be
// reported as ended by itself: a task's run would count as done.
func TestCommandAfterALateGuard(t *testing.T) {
	for _, held := range []bool{false, true} {
		ended := make(chan lease.Reason, 1)
		// A guard that is late once, and runs well the next time.
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
			t.Errorf("held %v: ended with reason %d, want %d", held, reason, want)
		}
	}
}
