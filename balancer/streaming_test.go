package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The time to the first byte is the latency: a stream that goes on neither makes its upstream look slow nor
// counts as waiting.
func TestLongStreamsDoNotLookSlow(t *testing.T) {
	s := testSettings()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	do := func(e Event) []Action { return b.Handle(now, e, nil) }
	do(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "a", Zone: s.Zone}, {Name: "b", Zone: s.Zone}}})
	class := s.Classes[0]
	ask := func(id string) string {
		for _, a := range do(Request{ID: id, Class: class.Name, Deadline: now + class.Deadline}) {
			if a.Kind == Send {
				return a.Upstream
			}
		}
		t.Fatalf("%s was not sent", id)
		return ""
	}
	for i := range 8 { // streams that begin soon and go on for long
		id := string(rune('A' + i))
		ask(id)
		now += 5 * time.Millisecond
		do(FirstByte{ID: id, Attempt: 0})
	}
	now += 10 * time.Minute
	if b.waiting.count != 0 || b.loadPressure() != 0 {
		t.Errorf("%d requests wait, pressure %v", b.waiting.count, b.loadPressure())
	}
	for i := range 40 {
		id := string(rune('a'+i%26)) + string(rune('0'+i/26))
		ask(id)
		now += 5 * time.Millisecond
		do(Outcome{ID: id, Attempt: 0, Result: OK, Elapsed: 5 * time.Millisecond, Final: true})
	}
	for _, u := range b.shuffled {
		if l := b.load(u); l > 1 {
			t.Errorf("%s looks like %v s with %d streams", u.name, l, u.activeStreams)
		}
	}
	for i := range 8 {
		do(Outcome{ID: string(rune('A' + i)), Attempt: 0, Result: OK, Elapsed: 10 * time.Minute, Final: true})
	}
	for _, u := range b.shuffled {
		if u.activeStreams != 0 || len(u.inFlight) != 0 {
			t.Errorf("%s: %d streams, %d in flight", u.name, u.activeStreams, len(u.inFlight))
		}
	}
	if len(b.requests) != 0 {
		t.Errorf("%d requests are not removed", len(b.requests))
	}
}

// The Outcome of a hedged attempt that lost, which comes after the first byte, does not end the stream.
func TestLosingHedgeDoesNotEndStream(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(4)
	r.wantSend(r.request("q", "c", time.Second))
	q := r.balancer.requests["q"]
	other := r.balancer.shuffled[0]
	if other == q.attempts[0].upstream {
		other = r.balancer.shuffled[1]
	}
	r.balancer.send(q, other) // a hedge
	r.now += 5 * ms
	if c := ofKind(r.handle(FirstByte{ID: "q", Attempt: 0}), Cancel); len(c) != 1 || c[0].Attempt != 1 {
		t.Fatalf("the hedge is not cancelled: %+v", c)
	}
	acts := r.handle(Outcome{ID: "q", Attempt: 1, Result: Cancelled, Elapsed: 5 * ms, Final: true})
	if len(ofKind(acts, Cancel))+len(finalAnswers(acts)) > 0 {
		t.Errorf("the end of the hedge: %+v", acts)
	}
	r.now += time.Minute
	if acts := r.handle(Outcome{ID: "q", Attempt: 0, Result: OK, Elapsed: 5 * ms, Final: true}); len(finalAnswers(acts)) > 0 {
		t.Errorf("the stream's end: %+v", acts)
	}
	if len(r.balancer.requests) != 0 || q.attempts[0].upstream.activeStreams != 0 {
		t.Errorf("%d requests are left, %d streams", len(r.balancer.requests), q.attempts[0].upstream.activeStreams)
	}
}

// newUploadHarness has sent request q with a streamed body.
func newUploadHarness(t *testing.T, idempotency Idempotency) *harness {
	t.Helper()
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow = idempotency, 5*time.Second
	r := newHarness(t, s)
	r.addUpstreams(4)
	r.wantSend(r.handle(Request{ID: "q", Class: "c", Deadline: r.now + time.Minute, StreamedBody: true}))
	return r
}

// A response that is only passed on is no load of its upstream; one that it still works on is.
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
			t.Errorf("pass through %v: load %v with five of them, %v with none; %d streams, %d requests left",
				passThrough, first, last, u.activeStreams, left)
		}
	}
}

// The time of an upload counts neither as the request's, nor as its upstream's, nor as waiting.
func TestUploadTimeDoesNotCount(t *testing.T) {
	r := newUploadHarness(t, Idempotent)
	q := r.balancer.requests["q"]
	u := q.attempts[0].upstream
	idle := r.balancer.load(u)
	if all := r.advance(20 * time.Second); len(finalAnswers(all))+len(ofKind(all, Send)) > 0 {
		t.Fatalf("during the upload: %+v", all)
	}
	if r.balancer.waiting.count != 0 || r.balancer.load(u) > idle {
		t.Errorf("%d waiting, load %v, was %v", r.balancer.waiting.count, r.balancer.load(u), idle)
	}
	r.handle(UploadDone{ID: "q", Attempt: 0, Deadline: r.now + time.Second})
	if r.balancer.waiting.count != 1 || u.activeStreams != 0 || len(u.inFlight) != 1 {
		t.Errorf("%d waiting, %d streams, %d in flight", r.balancer.waiting.count, u.activeStreams, len(u.inFlight))
	}
	acts := r.advance(190 * ms)
	if len(ofKind(acts, Send))+len(finalAnswers(acts)) > 0 {
		t.Errorf("it is hedged, or ended before its objective: %+v", acts)
	}
	ends := finalAnswers(r.advance(time.Second))
	if len(ends) != 1 || ends[0].Kind != Reject { // idempotent
		t.Errorf("after its time: %+v", ends)
	}
	r.outcome("q", 0, Cancelled, time.Second)
	if r.balancer.waiting.count != 0 || len(r.balancer.requests) != 0 {
		t.Errorf("%d waiting, %d known", r.balancer.waiting.count, len(r.balancer.requests))
	}
}

// What follows a failed attempt of an upload, by idempotency, by whether its body is consumed, and by
// whether it was complete.
func TestFailedUploads(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, res := range []Result{ServerError, Rejected, ConnectFailed, Reset, NotSent, Malformed} {
			for _, consumed := range []bool{false, true} {
				for _, complete := range []bool{false, true} {
					r := newUploadHarness(t, idempotency)
					if complete {
						r.handle(UploadDone{ID: "q", Attempt: 0, Deadline: r.now + time.Second})
					}
					r.now += 5 * ms
					acts := r.handle(Outcome{ID: "q", Attempt: 0, Result: res, Elapsed: 5 * ms, BodyConsumed: consumed})
					unrun := res == Rejected || res == ConnectFailed || res == NotSent
					sends, ends := len(ofKind(acts, Send)), finalAnswers(acts)
					switch {
					case consumed || complete: // nothing is left to send
						want := Fail
						if unrun || idempotency != NonIdempotent { // all zones are one group here
							want = Reject
						}
						if sends > 0 || len(ends) != 1 || ends[0].Kind != want {
							t.Errorf("idempotency %d, result %d, consumed %v, complete %v: %+v", idempotency, res, consumed, complete, acts)
						}
					case idempotency == NonIdempotent && !unrun:
						if sends > 0 || len(ends) != 1 || ends[0].Kind != Fail {
							t.Errorf("idempotency %d, result %d: %+v", idempotency, res, acts)
						}
					case sends+len(ends) == 0: // it waits for a ready one, or is sent again
						if len(ofKind(r.advance(100*ms), Send)) != 1 {
							t.Errorf("idempotency %d, result %d: it is not sent again", idempotency, res)
						}
					}
				}
			}
		}
	}
}
