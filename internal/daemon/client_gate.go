package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"orchiddrift/internal/engine"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/upstream"
)

// unseenRetryAfter is when a client whose request was rejected because its connection could not be checked may come back.
const unseenRetryAfter = time.Second

var _ upstream.Gate = (*clientGate)(nil)

// clientGate is a routeGate for one request: no attempt begins once its client has disconnected, or may have disconnected without a sign.
type clientGate struct {
	*routeGate
	ctx    context.Context // of the request
	cancel context.CancelFunc
	shut   atomic.Bool // an attempt was not begun because of the client
	unseen atomic.Bool // the client may still be there
}

// Enter implements upstream.Gate. Only the first check that fails returns false: later attempts serve other clients that wait for the same
// answer.
func (g *clientGate) Enter() bool {
	if g.shut.Load() {
		return g.routeGate.Enter()
	}
	presence := downstream.PresenceOf(g.ctx)
	if presence == downstream.Present {
		return g.routeGate.Enter()
	}
	g.unseen.Store(presence == downstream.Unseen)
	g.shut.Store(true)
	g.cancel()
	return false
}

// answerUnseen replaces the answer engine.ClientGone if the client may still be there: then its connection must not be closed, since it
// may have sent further requests.
func (g *clientGate) answerUnseen(answer engine.Answer) engine.Answer {
	switch {
	case answer.Kind != engine.ClientGone || !g.unseen.Load():
		return answer
	case answer.MayHaveRun:
		return engine.Answer{Kind: engine.Failed, Attempts: answer.Attempts}
	}
	return engine.Answer{Kind: engine.Rejected, RetryAfter: unseenRetryAfter, Attempts: answer.Attempts}
}
