package balancer

import (
	"testing"
	"time"
)

// A request must be answered before its own deadline, which is often much sooner than its class's.
func TestAnswerBeforeRequestDeadline(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValueFraction = 0.5
	r := newHarness(t, s)
	r.addUpstreams(2)
	r.request("1", "c", 60*ms)
	deadline := r.now + 60*ms
	var actions []Action
	for r.now < deadline && len(finalAnswers(actions)) == 0 {
		actions = r.advance(5 * ms)
	}
	if len(finalAnswers(actions)) != 1 || r.now > deadline {
		t.Fatalf("request was not answered once by its own deadline; latest actions: %+v", actions)
	}
}

func TestRequestWithoutUpstreamIsRejectedInTime(t *testing.T) {
	r := newHarness(t, testSettings())
	r.wantNothing(r.request("1", "c", 100*ms)) // there is no upstream, so the request waits
	r.wantFinal(r.advance(95*ms), Reject)
}

func TestWaitingRequestIsSentOnceUpstreamAppears(t *testing.T) {
	r := newHarness(t, testSettings())
	r.wantNothing(r.request("1", "c", 150*ms))
	r.addUpstreams(1)
	r.wantSend(r.advance(20 * ms))
}

// An attempt that times out exactly at the request's deadline must still lead to a final answer.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	r := newHarness(t, nonIdempotentSettings())
	r.addUpstreams(2)
	r.wantSend(r.request("1", "x", 300*ms))
	r.now += 300 * ms
	r.wantFinal(r.outcome("1", 0, Timeout, 300*ms), Fail)
	r.wantNothing(r.advance(time.Second))
}
