package loadgen

import "testing"

// Guards against wrong reports of what delayed a request. A connection has to count as busy as soon as an attempt is handed to its worker,
// even before the worker runs. Otherwise, on a busy machine, the delay of the next attempt would count as caused by the load generator
// although the attempt waits for a connection.
func TestConnectionIsBusyOnceAnAttemptIsHandedOver(t *testing.T) {
	r := &run{}
	r.idle.Store(1)
	worker := make(chan attempt, 1) // no goroutine receives from the channel yet
	d := &dispatcher{run: r}
	if !d.handOver(t.Context(), worker, attempt{sent: 1}) {
		t.Fatal("handOver returned false although a worker was idle")
	}
	if n := r.idle.Load(); n != 0 {
		t.Errorf("%d idle connections after the attempt was handed over, want 0", n)
	}
}
