package balancer

import (
	"testing"
	"time"
)

// The request's own deadline counts, often much sooner than its class's.
func TestAnswerBeforeRequestDeadline(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValueFraction = 0.5
	r := newHarness(t, s)
	r.addUpstreams(2)
	r.request("1", "c", 60*ms)
	end := r.now + 60*ms
	var got []Action
	for r.now < end && len(finalAnswers(got)) == 0 {
		got = r.advance(5 * ms)
	}
	if len(finalAnswers(got)) != 1 || r.now > end {
		t.Fatalf("no answer by the request's end: %+v", got)
	}
}

func TestRequestWithoutUpstreamIsRejectedInTime(t *testing.T) {
	r := newHarness(t, testSettings())
	r.wantNothing(r.request("1", "c", 100*ms)) // no upstream at all: held
	r.wantFinal(r.advance(95*ms), Reject)
}

func TestWaitingRequestIsSentOnceUpstreamAppears(t *testing.T) {
	r := newHarness(t, testSettings())
	r.wantNothing(r.request("1", "c", 150*ms))
	r.addUpstreams(1)
	r.wantSend(r.advance(20 * ms))
}

// A timeout at the deadline still leads to a final answer.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	r := newHarness(t, nonIdempotentSettings())
	r.addUpstreams(2)
	r.wantSend(r.request("1", "x", 300*ms))
	r.now += 300 * ms
	r.wantFinal(r.outcome("1", 0, Timeout, 300*ms), Fail)
	r.wantNothing(r.advance(time.Second))
}
