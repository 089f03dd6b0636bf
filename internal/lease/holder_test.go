package lease

import (
	"testing"
	"time"
)

const testHolderDuration = 10 * time.Second

func newTestHolder() *Holder {
	return NewHolder(HolderOptions{Name: "x", Client: "a", Duration: testHolderDuration, Drift: 0.1, Margin: time.Second, RetryInterval: 2 * time.Second})
}

// replyTo is the record's reply to a request.
func replyTo(request Request, status Status, token Token) Reply {
	reply := request.Reply(status)
	reply.Token, reply.Duration = token, testHolderDuration
	return reply
}

// onlyAction returns the single action of a step.
func onlyAction(t *testing.T, actions []Action) Action {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("%d actions, want one: %+v", len(actions), actions)
	}
	return actions[0]
}

// holdLease makes a holder acquire at 1 s and be granted token 4 at 5 s, with a repeated request at 3 s, and returns both requests.
func holdLease(t *testing.T, h *Holder) (first, repeated Request) {
	t.Helper()
	first = onlyAction(t, h.Acquire(time.Second)).Request
	if actions := h.Tick(2 * time.Second); actions != nil {
		t.Errorf("too early: %+v", actions)
	}
	repeated = onlyAction(t, h.Tick(3*time.Second)).Request
	if repeated.Sequence != first.Sequence || repeated.SendNumber == first.SendNumber {
		t.Errorf("%+v, then %+v", first, repeated)
	}
	action := onlyAction(t, h.HandleReply(5*time.Second, replyTo(first, Granted, 4)))
	if action.Kind != ActionStartWork || action.Until != 9*time.Second { // sent at 1, duration 10, drift 1, margin 1
		t.Fatalf("%+v", action)
	}
	h.HandleReply(5*time.Second, replyTo(repeated, Granted, 4))
	return first, repeated
}

// A grant counts from when its request was sent, and expires by the holder's own clock, whatever comes later.
func TestHolderExpiresByItsOwnClock(t *testing.T) {
	h := newTestHolder()
	first, _ := holdLease(t, h)
	if token, until, ok := h.Held(10 * time.Second); !ok || token != 4 || until != 11*time.Second {
		t.Errorf("%d until %v: %v", token, until, ok)
	}
	renewal := onlyAction(t, h.Tick(7*time.Second)).Request
	if renewal.Kind != Renew || renewal.Token != 4 {
		t.Errorf("%+v", renewal)
	}
	if h.HandleReply(8*time.Second, replyTo(first, NotHeld, 0)) != nil {
		t.Error("a reply to a request from before the grant stops the work")
	}
	if action := onlyAction(t, h.Tick(11*time.Second)); action.Kind != ActionStopWork || action.Reason != ReasonExpired {
		t.Errorf("%+v", action)
	}
	if _, _, ok := h.Held(11 * time.Second); ok {
		t.Error("it is held after it expired")
	}
	if actions := h.HandleReply(11*time.Second, replyTo(renewal, Granted, 4)); actions != nil {
		t.Errorf("a renewal while the work stops: %+v", actions)
	}
}

// The lease is released once the work has stopped, and acquired anew. A grant of an earlier acquisition, or after Release, is released at once.
func TestHolderReleasesUnwantedGrants(t *testing.T) {
	h := newTestHolder()
	_, repeated := holdLease(t, h)
	h.Tick(7 * time.Second)
	h.Tick(11 * time.Second)
	actions := h.WorkStopped(12 * time.Second)
	if len(actions) != 2 || actions[0].Request.Kind != Release || actions[0].Request.Token != 4 || actions[1].Request.Kind != Acquire || actions[1].Request.Sequence != 2 {
		t.Fatalf("%+v", actions)
	}
	second := actions[1].Request
	if action := onlyAction(t, h.HandleReply(13*time.Second, replyTo(repeated, Granted, 5))); action.Request.Kind != Release || action.Request.Token != 5 {
		t.Errorf("a grant of the earlier acquisition: %+v", action)
	}
	if action := onlyAction(t, h.HandleReply(13*time.Second, replyTo(second, HeldByOther, 0))); action.Kind != ActionReportRejection || action.Reason != ReasonBusy {
		t.Errorf("%+v", action)
	}
	if action := onlyAction(t, h.Release(14*time.Second, "")); action.Request.Kind != RemoveWaiter {
		t.Errorf("%+v", action)
	}
	if action := onlyAction(t, h.HandleReply(14*time.Second, replyTo(second, Granted, 6))); action.Request.Kind != Release {
		t.Errorf("a grant after the release: %+v", action)
	}
	third := onlyAction(t, h.Acquire(20*time.Second)).Request
	h.HandleReply(20*time.Second, replyTo(third, Granted, 7))
	if action := onlyAction(t, h.Release(21*time.Second, "b")); action.Kind != ActionStopWork || action.Reason != ReasonReleased {
		t.Errorf("%+v", action)
	}
	if action := onlyAction(t, h.WorkStopped(22*time.Second)); action.Request.Kind != Transfer || action.Request.To != "b" || action.Request.Token != 7 {
		t.Errorf("%+v", action)
	}
	if _, ok := h.Next(); ok {
		t.Error("it has something to do")
	}
}
