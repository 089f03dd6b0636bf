package lease

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// A lease is granted to the waiters in the order of their arrival. Its token increases with each grant, even if the name was free in
// between.
func TestQueue(t *testing.T) {
	h := newHarness(t)
	h.want(acquire("a", 1), Granted, "a", 1)
	h.want(acquire("a", 1), Granted, "a", 1) // repeated
	h.want(acquire("b", 1), Waiting, "a", 1)
	h.want(acquire("c", 1), Waiting, "a", 1)
	h.want(acquire("b", 1), Waiting, "a", 1) // b keeps its position
	h.want(acquire("d", 1), TableFull, "a", 1)
	h.want(Request{Kind: Acquire, Client: "d", Sequence: 1}, HeldByOther, "a", 1)
	h.want(Request{Kind: Release, Client: "b", Token: 1}, NotHeld, "a", 1) // the token is that of another client
	h.want(Request{Kind: Release, Client: "a", Token: 1}, Done, "b", 2)
	h.want(Request{Kind: Release, Client: "a", Token: 1}, NotHeld, "b", 2) // duplicate
	h.want(Request{Kind: Renew, Client: "a", Token: 1}, NotHeld, "b", 2)
	h.want(acquire("b", 2), Waiting, "c", 3) // a new acquisition goes to the end of the queue
	h.want(acquire("b", 1), NotHeld, "c", 3) // belongs to the earlier acquisition
	h.want(Request{Kind: RemoveWaiter, Client: "b", Sequence: 1}, Done, "c", 3)
	h.want(Request{Kind: Release, Client: "c", Token: 3}, Done, "b", 4)
	h.want(Request{Kind: Release, Client: "b", Token: 4}, Done, "", 0)
	h.want(acquire("a", 2), Granted, "a", 5)
	h.want(acquire("a", 3), Granted, "a", 6) // a new acquisition while there are no waiters
}

// A lease can be transferred to a waiter, ahead of the other waiters, or to a client that has not requested it yet, for which it is
// reserved until the grant expires. A transfer to an invalid name releases the lease.
func TestTransfer(t *testing.T) {
	h := newHarness(t)
	h.want(acquire("a", 1), Granted, "a", 1)
	h.want(acquire("b", 1), Waiting, "a", 1)
	h.want(acquire("c", 1), Waiting, "a", 1)
	h.want(Request{Kind: Transfer, Client: "a", Token: 1, To: "c"}, Done, "c", 2)
	h.want(acquire("c", 1), Granted, "c", 2)
	h.want(Request{Kind: Transfer, Client: "c", Token: 2, To: "successor"}, Done, "successor", 3)
	h.want(acquire("successor", 7), Granted, "successor", 3)
	h.want(Request{Kind: Transfer, Client: "successor", Token: 3, To: "gone"}, Done, "gone", 4)
	h.advance(9 * time.Second)
	h.want(acquire("b", 1), Waiting, "gone", 4)
	h.advance(3 * time.Second)
	h.want(acquire("b", 1), Granted, "b", 5)
	h.want(Request{Kind: Transfer, Client: "b", Token: 5, To: "a client name that is too long"}, Done, "", 0)
}

// The number and length of names are bounded, durations are kept within their limits, and a snapshot restores the same Table.
func TestBounds(t *testing.T) {
	h := newHarness(t)
	for i, want := range []Status{Granted, Granted, TableFull} {
		if reply := h.apply(Request{Kind: Acquire, Name: fmt.Sprint("n", i), Client: "a", Sequence: 1}); reply.Status != want {
			t.Errorf("acquiring name number %d: wrong status in the reply %+v", i, reply)
		}
	}
	if reply := h.apply(Request{Kind: Release, Name: "n0", Client: "a", Token: 1}); reply.Status != Done {
		t.Error(reply)
	}
	for duration, want := range map[time.Duration]time.Duration{1: time.Second, time.Hour: time.Minute} {
		reply := h.apply(Request{Kind: Acquire, Name: "n2", Client: "a", Sequence: 1, Duration: duration})
		if reply.Status != Granted || reply.Duration != want {
			t.Errorf("acquiring for a duration of %v: wrong status or duration in the reply %+v", duration, reply)
		}
		h.apply(Request{Kind: Release, Name: "n2", Client: "a", Token: reply.Token})
	}
	if reply := h.apply(Request{Kind: Acquire, Name: "a name that is far too long", Client: "a", Sequence: 1}); reply.Status != TableFull {
		t.Error(reply)
	}
	restored := NewTable(testLimits)
	restored.Restore(h.table.LastToken(), h.table.List())
	if !reflect.DeepEqual(restored, h.table) {
		t.Errorf("table %+v was restored from its snapshot as %+v, want the same table", h.table, restored)
	}
}
