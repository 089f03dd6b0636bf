package loadgen

import "testing"

// A connection counts as busy from the moment in which an attempt is handed to its worker, not from when the worker runs: on a busy machine
// the next attempt would otherwise count as sent late by this tool, although it waits for the connection.
func TestConnectionIsBusyOnceAnAttemptIsHandedOver(t *testing.T) {
	r := &run{}
	r.idle.Store(1)
	worker := make(chan attempt, 1) // it does not run yet
	d := &dispatcher{run: r}
	if !d.handOver(t.Context(), worker, attempt{sent: 1}) {
		t.Fatal("not handed over")
	}
	if n := r.idle.Load(); n != 0 {
		t.Errorf("%d idle connections, want 0", n)
	}
}
