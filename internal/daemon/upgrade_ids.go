package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/handover"
)

// idReplyTimeout is how long the other process of a replacement may take to answer a question about an ID.
const idReplyTimeout = 500 * time.Millisecond

// idQuery is the payload of handover.IDQuery.
type idQuery struct {
	Number  uint64 `json:"number"`
	Service string `json:"service"`
	ID      string `json:"id"`
}

// idReply is the payload of handover.IDReply.
type idReply struct {
	Number uint64 `json:"number"`
	Known  bool   `json:"known"` // a request with the ID is in flight or may have run
}

// idRecord is the payload of handover.IDRecord.
type idRecord struct {
	Service string        `json:"service"`
	ID      string        `json:"id"`
	Left    time.Duration `json:"left"` // until it is forgotten
}

// idExchange asks the other process of a replacement about the IDs of non-idempotent requests, and passes a successor those that may have
// run. It is safe for concurrent use.
type idExchange struct {
	link        *handover.Link
	predecessor bool           // the other process is the predecessor
	sending     sync.WaitGroup // waits until the successor has received all IDs
	questions   *peerQuestions[idReply]
}

// idHistories are the histories of the services, by name. A history outlives its service, so that an ID survives a reload that replaces the
// service. They are safe for concurrent use.
type idHistories struct {
	mu     sync.Mutex
	byName map[string]*engine.IDHistory
	notify func(service string) func(engine.RecentID) // of new histories; nil if nobody wants to know
}

// of returns the history of a service.
func (h *idHistories) of(service string, now time.Duration) *engine.IDHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	history := h.byName[service]
	if history != nil {
		return history
	}
	history = engine.NewIDHistory()
	if h.notify != nil {
		history.Notify(now, h.notify(service))
	}
	if h.byName == nil {
		h.byName = map[string]*engine.IDHistory{}
	}
	h.byName[service] = history
	return history
}

// setNotify has notify(service) called for each ID that may have run from now on, and for those that are known.
func (h *idHistories) setNotify(now time.Duration, notify func(service string) func(engine.RecentID)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notify = notify
	for service, history := range h.byName {
		tell := notify(service)
		for _, id := range history.Notify(now, tell) {
			tell(id)
		}
	}
}

// clearNotify ends what setNotify has begun.
func (h *idHistories) clearNotify(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notify = nil
	for _, history := range h.byName {
		history.Notify(now, nil)
	}
}

// exchangeIDs begins to ask the other process of a replacement. It returns nil if that does not understand it.
func (d *daemon) exchangeIDs(link *handover.Link, predecessor bool) *idExchange {
	if !link.ExchangesIDs() {
		return nil
	}
	exchange := &idExchange{link: link, predecessor: predecessor, questions: newPeerQuestions[idReply]()}
	d.shared.idPeer.Store(exchange)
	return exchange
}

// endIDExchange asks the other process no more. exchange may be nil.
func (d *daemon) endIDExchange(exchange *idExchange) {
	if exchange == nil {
		return
	}
	if d.shared.idPeer.CompareAndSwap(exchange, nil) && !exchange.predecessor {
		d.shared.idHistories.clearNotify(d.shared.clock.Now())
	}
	exchange.questions.end()
}

// sendRecentIDs passes the successor, which serves, the IDs that may have run, also later ones. exchange may be nil.
func (d *daemon) sendRecentIDs(exchange *idExchange) {
	if exchange == nil {
		return
	}
	d.shared.idHistories.setNotify(d.shared.clock.Now(), func(service string) func(engine.RecentID) {
		return func(id engine.RecentID) {
			exchange.sending.Go(func() { // the caller must not wait for the other process
				_ = sendJSON(exchange.link, handover.IDRecord, idRecord{service, id.ID, id.Left}) // on an error it has ended
			})
		}
	})
}

// handleIDs handles a message about IDs. It reports whether the message was one. exchange may be nil.
func (d *daemon) handleIDs(exchange *idExchange, kind handover.MessageKind, payload []byte) (handled bool, err error) {
	if exchange == nil {
		return false, nil
	}
	now := d.shared.clock.Now()
	switch kind {
	case handover.IDQuery:
		var query idQuery
		if err := json.Unmarshal(payload, &query); err != nil {
			return true, err
		}
		known := d.shared.idHistories.of(query.Service, now).Knows(now, query.ID)
		return true, sendJSON(exchange.link, handover.IDReply, idReply{query.Number, known})
	case handover.IDReply:
		var reply idReply
		if err := json.Unmarshal(payload, &reply); err != nil {
			return true, err
		}
		exchange.questions.replied(reply.Number, reply)
		return true, nil
	case handover.IDRecord:
		var record idRecord
		if err := json.Unmarshal(payload, &record); err != nil {
			return true, err
		}
		d.shared.idHistories.of(record.Service, now).Add(now, engine.RecentID{ID: record.ID, Left: record.Left})
		return true, nil
	}
	return false, nil
}

// awaitIDExchange waits until a successor has received all IDs.
func (sh *sharedResources) awaitIDExchange() {
	if exchange := sh.idPeer.Load(); exchange != nil {
		exchange.sending.Wait()
	}
}

// ranAtPeer returns the answer to a call that may have run at the other process of a replacement, and nil if it may run here.
func (s *service) ranAtPeer(ctx context.Context, class *balancer.Class, call engine.Call) *engine.Answer {
	exchange := s.shared.idPeer.Load()
	if exchange == nil || call.GeneratedID || class.Idempotency != balancer.NonIdempotent {
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, idReplyTimeout, context.DeadlineExceeded)
	defer cancel()
	reply, err := exchange.questions.ask(ctx, func(number uint64) error {
		return sendJSON(exchange.link, handover.IDQuery, idQuery{number, s.name, call.ID})
	})
	switch {
	case errors.Is(err, context.DeadlineExceeded): // it may have run
		return &engine.Answer{Kind: engine.Failed}
	case err == nil && reply.Known:
		return &engine.Answer{Kind: engine.Duplicate}
	}
	return nil // a predecessor that has ended has passed on its IDs; a client that has left is noticed by the engine
}
