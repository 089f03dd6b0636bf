package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The time to the first byte is the latency: a stream that lasts long must neither make its upstream look
// slow nor count as waiting.
func TestLongStreamsDoNotLookSlow(t *testing.T) {
	s := testSettings()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	handle := func(e Event) []Action { return b.Handle(now, e, nil) }
	handle(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "a", Zone: s.Zone}, {Name: "b", Zone: s.Zone}}})
	class := s.Classes[0]
	sendRequest := func(id string) string {
		for _, a := range handle(Request{ID: id, Class: class.Name, Deadline: now + class.Deadline}) {
			if a.Kind == Send {
				return a.Upstream
			}
		}
		t.Fatalf("request %s was not sent", id)
		return ""
	}
	for i := range 8 { // streams that begin soon and go on for long
		id := string(rune('A' + i))
		sendRequest(id)
		now += 5 * time.Millisecond
		handle(FirstByte{ID: id, Attempt: 0})
	}
	now += 10 * time.Minute
	if b.waiting.count != 0 || b.loadPressure() != 0 {
		t.Errorf("with streams only: %d requests wait, load pressure is %v; want none", b.waiting.count, b.loadPressure())
	}
	for i := range 40 {
		id := string(rune('a'+i%26)) + string(rune('0'+i/26))
		sendRequest(id)
		now += 5 * time.Millisecond
		handle(Outcome{ID: id, Attempt: 0, Result: OK, Elapsed: 5 * time.Millisecond, Final: true})
	}
	for _, u := range b.shuffled {
		if l := b.load(u); l > 1 {
			t.Errorf("upstream %s has a load of %v s with %d streams, want at most 1 s", u.name, l, u.activeStreams)
		}
	}
	for i := range 8 {
		handle(Outcome{ID: string(rune('A' + i)), Attempt: 0, Result: OK, Elapsed: 10 * time.Minute, Final: true})
	}
	for _, u := range b.shuffled {
		if u.activeStreams != 0 || len(u.inFlight) != 0 {
			t.Errorf("upstream %s has %d streams and %d attempts in flight after all have ended", u.name, u.activeStreams, len(u.inFlight))
		}
	}
	if len(b.requests) != 0 {
		t.Errorf("%d requests are still stored after all have ended", len(b.requests))
	}
}

// The Outcome of a hedged request that lost comes after the first byte of the winner, and must not end its
// stream.
func TestLosingHedgeDoesNotEndStream(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(4)
	r.wantSend(r.request("q", "c", time.Second))
	q := r.balancer.requests["q"]
	other := r.balancer.shuffled[0]
	if other == q.attempts[0].upstream {
		other = r.balancer.shuffled[1]
	}
	r.balancer.send(q, other) // a hedged request
	r.now += 5 * ms
	if cancels := ofKind(r.handle(FirstByte{ID: "q", Attempt: 0}), Cancel); len(cancels) != 1 || cancels[0].Attempt != 1 {
		t.Fatalf("first byte did not cancel exactly the hedged request: %+v", cancels)
	}
	actions := r.handle(Outcome{ID: "q", Attempt: 1, Result: Cancelled, Elapsed: 5 * ms, Final: true})
	if len(ofKind(actions, Cancel))+len(finalAnswers(actions)) > 0 {
		t.Errorf("Outcome of the cancelled hedged request led to a cancellation or a final answer: %+v", actions)
	}
	r.now += time.Minute
	if actions := r.handle(Outcome{ID: "q", Attempt: 0, Result: OK, Elapsed: 5 * ms, Final: true}); len(finalAnswers(actions)) > 0 {
		t.Errorf("end of the stream led to another final answer: %+v", actions)
	}
	if len(r.balancer.requests) != 0 || q.attempts[0].upstream.activeStreams != 0 {
		t.Errorf("%d requests and %d streams are still stored after all have ended",
			len(r.balancer.requests), q.attempts[0].upstream.activeStreams)
	}
}

// newUploadHarness returns a harness that has sent request q, which has a streamed body.
func newUploadHarness(t *testing.T, idempotency Idempotency) *harness {
	t.Helper()
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow = idempotency, 5*time.Second
	r := newHarness(t, s)
	r.addUpstreams(4)
	r.wantSend(r.handle(Request{ID: "q", Class: "c", Deadline: r.now + time.Minute, StreamedBody: true}))
	return r
}

// An answer that is only forwarded must not count as load of its upstream, and an answer that the upstream
// still works on must count.
func TestPassThroughIsNoLoad(t *testing.T) {
	for _, passThrough := range []bool{true, false} {
		s := testSettings()
		s.Classes[0].Deadline = time.Minute
		r := newHarness(t, s)
		r.addUpstreams(1)
		for i := range 5 {
			id := fmt.Sprint(i)
			r.wantSend(r.request(id, "c", time.Minute))
			r.now += 10 * ms
			r.handle(FirstByte{ID: id, PassThrough: passThrough})
		}
		u := r.balancer.shuffled[0]
		first := r.balancer.load(u)
		for i := range 5 {
			r.outcome(fmt.Sprint(i), 0, OK, time.Second)
		}
		last, left := r.balancer.load(u), len(r.balancer.requests)
		if passThrough != (first == last) || u.activeStreams != 0 || left != 0 {
			t.Errorf("pass-through %v: load is %v with five streams and %v with none; %d streams and %d requests left at the end",
				passThrough, first, last, u.activeStreams, left)
		}
	}
}

// The duration of an upload must count neither towards the request's latency objective, nor as latency of
// its upstream, nor as waiting time.
func TestUploadTimeDoesNotCount(t *testing.T) {
	r := newUploadHarness(t, Idempotent)
	q := r.balancer.requests["q"]
	u := q.attempts[0].upstream
	idle := r.balancer.load(u)
	if actions := r.advance(20 * time.Second); len(finalAnswers(actions))+len(ofKind(actions, Send)) > 0 {
		t.Fatalf("request was sent again or answered during its upload: %+v", actions)
	}
	if r.balancer.waiting.count != 0 || r.balancer.load(u) > idle {
		t.Errorf("during the upload: %d requests waiting, want 0; load %v, was %v before",
			r.balancer.waiting.count, r.balancer.load(u), idle)
	}
	r.handle(UploadDone{ID: "q", Attempt: 0, Deadline: r.now + time.Second})
	if r.balancer.waiting.count != 1 || u.activeStreams != 0 || len(u.inFlight) != 1 {
		t.Errorf("after the upload: %d requests waiting, %d streams, %d attempts in flight; want 1, 0 and 1",
			r.balancer.waiting.count, u.activeStreams, len(u.inFlight))
	}
	laterActions := r.advance(190 * ms)
	if len(ofKind(laterActions, Send))+len(finalAnswers(laterActions)) > 0 {
		t.Errorf("request was sent again or answered before its latency objective: %+v", laterActions)
	}
	answers := finalAnswers(r.advance(time.Second))
	if len(answers) != 1 || answers[0].Kind != Reject { // as the request is idempotent
		t.Errorf("final answers after the deadline are %+v, want one Reject", answers)
	}
	r.outcome("q", 0, Cancelled, time.Second)
	if r.balancer.waiting.count != 0 || len(r.balancer.requests) != 0 {
		t.Errorf("after the last Outcome: %d requests waiting, %d stored; want none", r.balancer.waiting.count, len(r.balancer.requests))
	}
}

// After a failed attempt, a request with a streamed body is sent again only if its body can be sent again,
// its upload was not complete, and its idempotency allows a retry.
func TestFailedUploads(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, result := range []Result{ServerError, Rejected, ConnectFailed, Reset, NotSent, Malformed} {
			for _, consumed := range []bool{false, true} {
				for _, complete := range []bool{false, true} {
					r := newUploadHarness(t, idempotency)
					if complete {
						r.handle(UploadDone{ID: "q", Attempt: 0, Deadline: r.now + time.Second})
					}
					r.now += 5 * ms
					actions := r.handle(Outcome{ID: "q", Attempt: 0, Result: result, Elapsed: 5 * ms, BodyConsumed: consumed})
					didNotRun := result == Rejected || result == ConnectFailed || result == NotSent
					sends, answers := len(ofKind(actions, Send)), finalAnswers(actions)
					switch {
					case consumed || complete: // the body can't be sent again
						want := Fail
						if didNotRun || idempotency != NonIdempotent { // ScopeAll: every upstream recognizes a repeat
							want = Reject
						}
						if sends > 0 || len(answers) != 1 || answers[0].Kind != want {
							t.Errorf("idempotency %d, result %d, consumed %v, complete %v: got actions %+v, want one final answer and no attempt",
								idempotency, result, consumed, complete, actions)
						}
					case idempotency == NonIdempotent && !didNotRun:
						if sends > 0 || len(answers) != 1 || answers[0].Kind != Fail {
							t.Errorf("idempotency %d, result %d: got actions %+v, want one Fail and no attempt",
								idempotency, result, actions)
						}
					case sends+len(answers) == 0: // no upstream was available: the request is sent again soon
						if len(ofKind(r.advance(100*ms), Send)) != 1 {
							t.Errorf("idempotency %d, result %d: request was not sent again within 100 ms", idempotency, result)
						}
					}
				}
			}
		}
	}
}
