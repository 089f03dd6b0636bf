package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an upstream that looks slow because a stream on it goes on, and a sidecar that takes
// streams that go on for requests that wait: the answer's beginning is what counts, the rest is the
// client's.
func TestStreamsThatGoOnAreNotSlow(t *testing.T) {
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
			t.Errorf("%s: %d streams, %d out", u.name, u.activeStreams, len(u.inFlight))
		}
	}
	if len(b.requests) != 0 {
		t.Errorf("%d requests are not forgotten", len(b.requests))
	}
}

// Guards against a stream that is called off by the end of a copy that lost to it. Seen: "a long answer is
// cut: context canceled", the copy's outcome came after the request was handed to its client.
func TestTheEndOfACopyLeavesTheStream(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(4)
	r.wantSend(r.request("q", "c", time.Second))
	q := r.b.requests["q"]
	other := r.b.shuffled[0]
	if other == q.attempts[0].upstream {
		other = r.b.shuffled[1]
	}
	r.b.send(q, other) // a copy
	r.now += 5 * ms
	if c := kinds(r.do(FirstByte{ID: "q", Attempt: 0}), Cancel); len(c) != 1 || c[0].Attempt != 1 {
		t.Fatalf("the copy is not called off: %+v", c)
	}
	acts := r.do(Outcome{ID: "q", Attempt: 1, Result: Cancelled, Elapsed: 5 * ms, Final: true})
	if len(kinds(acts, Cancel))+len(finals(acts)) > 0 {
		t.Errorf("the copy's end: %+v", acts)
	}
	r.now += time.Minute
	if acts := r.do(Outcome{ID: "q", Attempt: 0, Result: OK, Elapsed: 5 * ms, Final: true}); len(finals(acts)) > 0 {
		t.Errorf("the stream's end: %+v", acts)
	}
	if len(r.b.requests) != 0 || q.attempts[0].upstream.activeStreams != 0 {
		t.Errorf("%d requests are left, %d streams", len(r.b.requests), q.attempts[0].upstream.activeStreams)
	}
}

// streamedRig has a request of each effect whose body goes on as it comes.
func streamedRig(t *testing.T, effect Idempotency) *rig {
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow = effect, 5*time.Second
	r := newRig(t, s)
	r.fleet(4)
	r.wantSend(r.do(Request{ID: "q", Class: "c", Deadline: r.now + time.Minute, StreamedBody: true}))
	return r
}

// Guards against upstreams that are passed over for answers that only their clients still take: an answer
// that is passed on is no load of its upstream, one that its upstream still works on is.
func TestAnswersThatArePassedOnAreNoLoad(t *testing.T) {
	for _, passed := range []bool{true, false} {
		s := testSettings()
		s.Classes[0].Deadline = time.Minute
		r := newRig(t, s)
		r.fleet(1)
		for i := range 5 {
			id := fmt.Sprint(i)
			r.wantSend(r.request(id, "c", time.Minute))
			r.now += 10 * ms
			r.do(FirstByte{ID: id, PassThrough: passed})
		}
		u := r.b.shuffled[0]
		first := r.b.load(u)
		for i := range 5 {
			r.result(fmt.Sprint(i), 0, OK, time.Second)
		}
		if last := r.b.load(u); passed != (first == last) || u.activeStreams != 0 || len(r.b.requests) != 0 {
			t.Errorf("passed %v: load %v with five of them, %v with none; %d streams, %d requests left", passed, first, last, u.activeStreams, len(r.b.requests))
		}
	}
}

// A body that takes its time is no time of its request, of its upstream, nor a request in hand: all of that
// begins with its last byte.
func TestTheTimeOfAStreamedRequestBeginsWithItsLastByte(t *testing.T) {
	r := streamedRig(t, Idempotent)
	q := r.b.requests["q"]
	u := q.attempts[0].upstream
	idle := r.b.load(u)
	if all := r.pass(20 * time.Second); len(finals(all))+len(kinds(all, Send)) > 0 {
		t.Fatalf("while its body comes: %+v", all)
	}
	if r.b.waiting.count != 0 || r.b.load(u) > idle {
		t.Errorf("%d in hand, load %v, was %v", r.b.waiting.count, r.b.load(u), idle)
	}
	r.do(UploadDone{ID: "q", Attempt: 0, Deadline: r.now + time.Second})
	if r.b.waiting.count != 1 || u.activeStreams != 0 || len(u.inFlight) != 1 {
		t.Errorf("%d in hand, %d streams, %d out", r.b.waiting.count, u.activeStreams, len(u.inFlight))
	}
	acts := r.pass(190 * ms)
	if len(kinds(acts, Send))+len(finals(acts)) > 0 {
		t.Errorf("it is copied, or ended before its aim: %+v", acts)
	}
	ends := finals(r.pass(time.Second))
	if len(ends) != 1 || ends[0].Kind != Reject { // safe to repeat
		t.Errorf("after its time: %+v", ends)
	}
	r.result("q", 0, Cancelled, time.Second)
	if r.b.waiting.count != 0 || len(r.b.requests) != 0 {
		t.Errorf("%d in hand, %d known", r.b.waiting.count, len(r.b.requests))
	}
}

// What becomes of a streamed request whose attempt fails, by its effect, whether its body can be had again,
// and whether it came whole. Guards against a second send of a body that is no longer there, and a refusal
// of what may have run.
func TestStreamedRequestsThatFail(t *testing.T) {
	for _, effect := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, res := range []Result{ServerError, Rejected, ConnectFailed, Reset, NotSent, Malformed} {
			for _, spent := range []bool{false, true} {
				for _, whole := range []bool{false, true} {
					r := streamedRig(t, effect)
					if whole {
						r.do(UploadDone{ID: "q", Attempt: 0, Deadline: r.now + time.Second})
					}
					r.now += 5 * ms
					acts := r.do(Outcome{ID: "q", Attempt: 0, Result: res, Elapsed: 5 * ms, BodyConsumed: spent})
					unrun := res == Rejected || res == ConnectFailed || res == NotSent
					sends, ends := len(kinds(acts, Send)), finals(acts)
					switch {
					case spent || whole: // nothing is left to send
						want := Fail
						if unrun || effect != NonIdempotent { // all zones are one group here
							want = Reject
						}
						if sends > 0 || len(ends) != 1 || ends[0].Kind != want {
							t.Errorf("effect %d, result %d, spent %v, whole %v: %+v", effect, res, spent, whole, acts)
						}
					case effect == NonIdempotent && !unrun:
						if sends > 0 || len(ends) != 1 || ends[0].Kind != Fail {
							t.Errorf("effect %d, result %d: %+v", effect, res, acts)
						}
					case sends+len(ends) == 0: // it waits for a ready one, or is sent again
						if len(kinds(r.pass(100*ms), Send)) != 1 {
							t.Errorf("effect %d, result %d: it is not sent again", effect, res)
						}
					}
				}
			}
		}
	}
}
