package lease

import (
	"testing"
	"time"
)

const testHolderDuration = 10 * time.Second

func newTestHolder() *Holder {
	return NewHolder(HolderOptions{Name: "x", Client: "a", Duration: testHolderDuration, Drift: 0.1, Margin: time.Second, RetryInterval: 2 * time.Second})
}

// replyTo returns the group's reply to a request.
func replyTo(request Request, status Status, token Token) Reply {
	reply := request.Reply(status)
	reply.Token, reply.Duration = token, testHolderDuration
	return reply
}

// onlyAction returns the only action in actions.
func onlyAction(t *testing.T, actions []Action) Action {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("got %d actions, want one: %+v", len(actions), actions)
	}
	return actions[0]
}

// holdLease makes a holder send an Acquire at 1 s, repeat it at 3 s and receive token 4 at 5 s. It returns both requests.
func holdLease(t *testing.T, h *Holder) (first, repeated Request) {
	t.Helper()
	first = onlyAction(t, h.Acquire(time.Second)).Request
	if actions := h.Tick(2 * time.Second); actions != nil {
		t.Errorf("the request was repeated before the retry interval had passed: %+v", actions)
	}
	repeated = onlyAction(t, h.Tick(3*time.Second)).Request
	if repeated.Sequence != first.Sequence || repeated.SendNumber == first.SendNumber {
		t.Errorf("first request %+v, repeated as %+v; want the same sequence and another send number", first, repeated)
	}
	action := onlyAction(t, h.HandleReply(5*time.Second, replyTo(first, Granted, 4)))
	if action.Kind != ActionStartWork || action.Until != 9*time.Second { // sent at 1 s + duration 10 s - drift 1 s - margin 1 s
		t.Fatalf("action after the grant: %+v, want to start work until 9s", action)
	}
	h.HandleReply(5*time.Second, replyTo(repeated, Granted, 4))
	return first, repeated
}

// Guards against work that goes on after the leader has expired the grant: a grant counts from when its request was sent and expires by the
// holder's own clock, whatever replies arrive later.
func TestHolderExpiresByItsOwnClock(t *testing.T) {
	h := newTestHolder()
	first, _ := holdLease(t, h)
	if token, until, ok := h.Held(10 * time.Second); !ok || token != 4 || until != 11*time.Second {
		t.Errorf("Held returns token %d until %v, %v; want token 4 until 11s, true", token, until, ok)
	}
	renewal := onlyAction(t, h.Tick(7*time.Second)).Request
	if renewal.Kind != Renew || renewal.Token != 4 {
		t.Errorf("request when the renewal is due: %+v, want a Renew of token 4", renewal)
	}
	if h.HandleReply(8*time.Second, replyTo(first, NotHeld, 0)) != nil {
		t.Error("a NotHeld reply to the request sent at 1 s stopped the work, although the request sent at 3 s was granted")
	}
	if action := onlyAction(t, h.Tick(11*time.Second)); action.Kind != ActionStopWork || action.Reason != ReasonExpired {
		t.Errorf("action at the end of the grant: %+v, want to stop work because it expired", action)
	}
	if _, _, ok := h.Held(11 * time.Second); ok {
		t.Error("the lease is still held after the grant expired")
	}
	if actions := h.HandleReply(11*time.Second, replyTo(renewal, Granted, 4)); actions != nil {
		t.Errorf("a renewal that arrives while the work stops led to %+v, want no action", actions)
	}
}

// Guards against grants that last although nobody uses them: the lease is released once the work has stopped, and then acquired again. A grant of an
// earlier acquisition, or one that arrives after Release, is released at once.
func TestHolderReleasesUnwantedGrants(t *testing.T) {
	h := newTestHolder()
	_, repeated := holdLease(t, h)
	h.Tick(7 * time.Second)
	h.Tick(11 * time.Second)
	actions := h.WorkStopped(12 * time.Second)
	if len(actions) != 2 || actions[0].Request.Kind != Release || actions[0].Request.Token != 4 || actions[1].Request.Kind != Acquire || actions[1].Request.Sequence != 2 {
		t.Fatalf("actions after the work stopped: %+v, want a Release of token 4 and an Acquire with sequence 2", actions)
	}
	second := actions[1].Request
	if action := onlyAction(t, h.HandleReply(13*time.Second, replyTo(repeated, Granted, 5))); action.Request.Kind != Release || action.Request.Token != 5 {
		t.Errorf("action after a grant of the earlier acquisition: %+v, want a Release of token 5", action)
	}
	if action := onlyAction(t, h.HandleReply(13*time.Second, replyTo(second, HeldByOther, 0))); action.Kind != ActionReportRejection || action.Reason != ReasonBusy {
		t.Errorf("action after HeldByOther: %+v, want a rejection reported as busy", action)
	}
	if action := onlyAction(t, h.Release(14*time.Second, "")); action.Request.Kind != RemoveWaiter {
		t.Errorf("action of Release while acquiring: %+v, want a RemoveWaiter", action)
	}
	if action := onlyAction(t, h.HandleReply(14*time.Second, replyTo(second, Granted, 6))); action.Request.Kind != Release {
		t.Errorf("action after a grant that arrives after Release: %+v, want a Release", action)
	}
	third := onlyAction(t, h.Acquire(20*time.Second)).Request
	h.HandleReply(20*time.Second, replyTo(third, Granted, 7))
	if action := onlyAction(t, h.Release(21*time.Second, "b")); action.Kind != ActionStopWork || action.Reason != ReasonReleased {
		t.Errorf("action of Release while holding: %+v, want to stop work because it was released", action)
	}
	if action := onlyAction(t, h.WorkStopped(22*time.Second)); action.Request.Kind != Transfer || action.Request.To != "b" || action.Request.Token != 7 {
		t.Errorf("action after the work stopped: %+v, want a Transfer of token 7 to b", action)
	}
	if _, ok := h.Next(); ok {
		t.Error("Next returns a time though the holder is idle")
	}
}
