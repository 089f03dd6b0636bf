package lease

import (
	"testing"
	"time"
)

// A client that stops sending loses its lease or its position in the queue; a client that renews keeps its lease; a revoked grant is not renewed
// but lasts until it expires; and a new leader restarts the timers.
func TestExpiry(t *testing.T) {
	h := newHarness(t)
	h.want(acquire("a", 1), Granted, "a", 1)
	h.want(acquire("b", 1), Waiting, "a", 1)
	for range 3 {
		h.advance(9 * time.Second)
		h.want(Request{Kind: Renew, Client: "a", Token: 1}, Granted, "a", 1)
		h.want(acquire("b", 1), Waiting, "a", 1)
	}
	h.want(acquire("c", 1), Waiting, "a", 1)
	h.advance(10500 * time.Millisecond) // longer than the duration, but shorter than the duration plus the drift
	h.want(acquire("b", 1), Waiting, "a", 1)
	h.advance(time.Second)
	h.want(acquire("b", 1), Granted, "b", 2) // c was removed: b repeated its request, c did not
	h.want(acquire("c", 1), Waiting, "b", 2)
	h.want(Request{Kind: Revoke, Client: "op"}, Done, "b", 2)
	h.want(Request{Kind: Renew, Client: "b", Token: 2}, NotHeld, "b", 2)
	h.want(acquire("b", 1), NotHeld, "b", 2)
	h.advance(8 * time.Second)
	h.want(acquire("c", 1), Waiting, "b", 2)
	h.advance(5 * time.Second)
	h.want(acquire("c", 1), Granted, "c", 3)
	h.expirations = NewExpirations(h.now+5*time.Second, h.table, testDrift) // the Expirations of a new leader
	h.advance(15 * time.Second)
	h.want(Request{Kind: Renew, Client: "c", Token: 3}, Granted, "c", 3)
	h.advance(time.Minute)
	h.want(Request{Kind: Renew, Client: "c", Token: 3}, NotHeld, "", 0)
	if next, ok := h.expirations.Next(); ok || len(h.expirations.timers) != 0 {
		t.Errorf("after all grants have expired, Next returns %v and %d timers are left, want none", next, len(h.expirations.timers))
	}
}

// Guards against a grant that never ends because the proposal of its expiry was lost: the expiry is proposed again after reproposalDelay, and
// the grant is not renewed meanwhile.
func TestExpiryIsProposedAgain(t *testing.T) {
	h := newHarness(t)
	h.want(acquire("a", 1), Granted, "a", 1)
	h.now = 12 * time.Second
	if requests := h.expirations.Expired(h.now); len(requests) != 1 || requests[0].Kind != Expire {
		t.Fatalf("requests after the expiry: %+v, want one Expire", requests)
	}
	h.want(Request{Kind: Renew, Client: "a", Token: 1}, NotHeld, "a", 1)
	h.want(acquire("a", 1), NotHeld, "a", 1)
	if requests := h.expirations.Expired(h.now); len(requests) != 0 {
		t.Errorf("%+v proposed again before reproposalDelay has passed, want nothing", requests)
	}
	if requests := h.expirations.Expired(h.now + reproposalDelay); len(requests) != 1 {
		t.Errorf("requests after reproposalDelay: %+v, want one", requests)
	}
}
