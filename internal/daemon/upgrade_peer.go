package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"orchiddrift/internal/handover"
)

var errPeerEnded = errors.New("the other process has ended")

// peerQuestions are questions to the other process of a replacement that wait for their replies. It is safe for concurrent use.
type peerQuestions[Reply any] struct {
	mu      sync.Mutex
	number  uint64
	pending map[uint64]chan Reply // by the question's number; nil once the link has ended
}

func newPeerQuestions[Reply any]() *peerQuestions[Reply] {
	return &peerQuestions[Reply]{pending: map[uint64]chan Reply{}}
}

// ask has a question sent with a number of its own, and waits for the reply to it.
func (q *peerQuestions[Reply]) ask(ctx context.Context, send func(number uint64) error) (reply Reply, err error) {
	number, replies, err := q.begin()
	if err != nil {
		return reply, err
	}
	defer q.forget(number)
	if err := send(number); err != nil {
		return reply, err
	}
	select {
	case got, ok := <-replies:
		if !ok {
			return reply, errPeerEnded
		}
		return got, nil
	case <-ctx.Done():
		return reply, context.Cause(ctx)
	}
}

func (q *peerQuestions[Reply]) begin() (number uint64, replies <-chan Reply, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		return 0, nil, errPeerEnded
	}
	q.number++
	waiting := make(chan Reply, 1)
	q.pending[q.number] = waiting
	return q.number, waiting, nil
}

func (q *peerQuestions[Reply]) forget(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, number)
}

// replied passes a reply to the question that it belongs to.
func (q *peerQuestions[Reply]) replied(number uint64, reply Reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if waiting := q.pending[number]; waiting != nil {
		waiting <- reply // has space for one
		delete(q.pending, number)
	}
}

// end ends all questions. The other process has ended.
func (q *peerQuestions[Reply]) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiting := range q.pending {
		close(waiting)
	}
	q.pending = nil
}

// sendJSON sends a message whose payload is value in JSON.
func sendJSON(link *handover.Link, kind handover.MessageKind, value any) error {
	payload, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return link.SendPayload(kind, payload)
}

// peerExchange is what the two processes of a replacement exchange about requests that must not run twice. The fields are nil if the other
// process does not understand them.
type peerExchange struct {
	keys *keyExchange
	ids  *idExchange
}

// exchangeWith begins the exchange with the other process of a replacement.
func (d *daemon) exchangeWith(link *handover.Link, predecessor bool) peerExchange {
	return peerExchange{keys: d.exchangeKeys(link, predecessor), ids: d.exchangeIDs(link, predecessor)}
}

// handlePeer handles a message of the exchange. It reports whether the message was one.
func (d *daemon) handlePeer(exchange peerExchange, kind handover.MessageKind, payload []byte) (handled bool, err error) {
	if handled, err = d.handleKeys(exchange.keys, kind, payload); handled {
		return handled, err
	}
	return d.handleIDs(exchange.ids, kind, payload)
}

// endExchange ends the exchange, since the other process has ended.
func (d *daemon) endExchange(exchange peerExchange) {
	d.endKeyExchange(exchange.keys)
	d.endIDExchange(exchange.ids)
}
