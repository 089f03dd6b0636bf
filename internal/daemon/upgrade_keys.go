package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"orchiddrift/internal/handover"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/idempotency/recordcodec"
)

const (
	// maxKeyAnswerBytes is the largest answer that is passed to the other process. A message is larger by its encoding.
	maxKeyAnswerBytes = handover.MaxPayload / 2
	// maxKeyQueryTime bounds how long the other process may wait for a running request before it answers a question about its key.
	maxKeyQueryTime = time.Minute
)

// keyQuery is the payload of handover.KeyQuery.
type keyQuery struct {
	Number      uint64                  `json:"number"`
	Service     string                  `json:"service"`
	Tenant      string                  `json:"tenant"`
	Class       string                  `json:"class"`
	Key         string                  `json:"key"`
	Fingerprint idempotency.Fingerprint `json:"fingerprint"`
}

// keyReply is the payload of handover.KeyReply.
type keyReply struct {
	Number     uint64              `json:"number"`
	Verdict    idempotency.Verdict `json:"verdict"`
	Answer     *idempotency.Answer `json:"answer,omitempty"`
	RetryAfter time.Duration       `json:"retry_after,omitempty"`
}

// keyRecord is the payload of handover.KeyRecord.
type keyRecord struct {
	Service string `json:"service"`
	Record  []byte `json:"record"` // as recordcodec encodes it
}

// keyExchange asks the other process of a replacement about idempotency keys, and passes it the outcomes of requests. It is safe for concurrent
// use.
type keyExchange struct {
	link        *handover.Link
	predecessor bool           // the other process is the predecessor
	sending     sync.WaitGroup // waits until the successor has received all settled keys
	questions   *peerQuestions[keyReply]
}

func newKeyExchange(link *handover.Link, predecessor bool) *keyExchange {
	return &keyExchange{link: link, predecessor: predecessor, questions: newPeerQuestions[keyReply]()}
}

// ask sends a question and waits for the reply.
func (x *keyExchange) ask(ctx context.Context, query keyQuery) (keyReply, error) {
	return x.questions.ask(ctx, func(number uint64) error {
		query.Number = number
		return sendJSON(x.link, handover.KeyQuery, query)
	})
}

// replied passes a reply to the question that it belongs to.
func (x *keyExchange) replied(payload []byte) error {
	var reply keyReply
	if err := json.Unmarshal(payload, &reply); err != nil {
		return err
	}
	x.questions.replied(reply.Number, reply)
	return nil
}

// answer answers a question of the other process.
func (x *keyExchange) answer(ctx context.Context, query keyQuery, keys *executor.Executor) error {
	outcome := executor.Outcome{Verdict: idempotency.Execute}
	if keys != nil { // the service may have no keys here
		id := idempotency.ID{Tenant: query.Tenant, Class: query.Class, Key: query.Key}
		outcome = keys.AnswerPeer(ctx, id, query.Fingerprint, x.predecessor)
	}
	reply := keyReply{Number: query.Number, Verdict: outcome.Verdict, Answer: outcome.Answer, RetryAfter: outcome.RetryAfter}
	if reply.Answer != nil && len(reply.Answer.Body) > maxKeyAnswerBytes {
		reply.Verdict, reply.Answer = idempotency.AnswerNotStored, nil
	}
	return sendJSON(x.link, handover.KeyReply, reply)
}

// keyPeer is the other process of a replacement for the keys of one service.
type keyPeer struct {
	exchange *keyExchange
	service  string
}

// Ask implements executor.Peer.
func (p keyPeer) Ask(ctx context.Context, id idempotency.ID, fingerprint idempotency.Fingerprint) (executor.Outcome, error) {
	reply, err := p.exchange.ask(ctx, keyQuery{Service: p.service, Tenant: id.Tenant, Class: id.Class, Key: id.Key, Fingerprint: fingerprint})
	return executor.Outcome{Verdict: reply.Verdict, Answer: reply.Answer, RetryAfter: reply.RetryAfter}, err
}

// Settled implements executor.Peer. Only the predecessor's keys outlive it, and only with the successor.
func (p keyPeer) Settled(record idempotency.Record) {
	if p.exchange.predecessor {
		return
	}
	if record.Answer != nil && len(record.Answer.Body) > maxKeyAnswerBytes {
		record.Answer = nil
	}
	message := keyRecord{Service: p.service, Record: recordcodec.Encode(&record)}
	_ = sendJSON(p.exchange.link, handover.KeyRecord, message) // on an error the other process has ended
}

// exchangeKeys makes the executors ask the other process of a replacement from now on. It returns nil if that does not understand it.
func (d *daemon) exchangeKeys(link *handover.Link, predecessor bool) *keyExchange {
	if !link.ExchangesKeys() {
		return nil
	}
	exchange := newKeyExchange(link, predecessor)
	d.shared.setKeyExchange(exchange)
	return exchange
}

// endKeyExchange makes the executors ask no more. exchange may be nil.
func (d *daemon) endKeyExchange(exchange *keyExchange) {
	if exchange == nil {
		return
	}
	d.shared.clearKeyExchange(exchange)
	exchange.questions.end()
}

// sendSettledKeys sends the successor all settled keys, once it serves. exchange may be nil.
func (d *daemon) sendSettledKeys(exchange *keyExchange) {
	if exchange == nil {
		return
	}
	exchange.sending.Go(func() {
		for _, keys := range d.shared.allExecutors() {
			keys.SendSettled()
		}
	})
}

// handleKeys handles a message about idempotency keys. It reports whether the message was one.
func (d *daemon) handleKeys(exchange *keyExchange, kind handover.MessageKind, payload []byte) (handled bool, err error) {
	if exchange == nil {
		return false, nil
	}
	switch kind {
	case handover.KeyQuery:
		var query keyQuery
		if err := json.Unmarshal(payload, &query); err != nil {
			return true, err
		}
		d.backgroundTasks.Go(func() {
			ctx, cancel := context.WithTimeout(d.background, maxKeyQueryTime)
			defer cancel()
			if err := exchange.answer(ctx, query, d.shared.executorOf(query.Service)); err != nil {
				d.log.Warn("hand-over: a question about an idempotency key was not answered", "reason", err)
			}
		})
		return true, nil
	case handover.KeyReply:
		return true, exchange.replied(payload)
	case handover.KeyRecord:
		return true, d.adoptKey(payload)
	}
	return false, nil
}

// adoptKey adds a key of the predecessor. It ignores keys of services that have no keys here.
func (d *daemon) adoptKey(payload []byte) error {
	var message keyRecord
	if err := json.Unmarshal(payload, &message); err != nil {
		return err
	}
	var none idempotency.Record
	record, err := recordcodec.Decode(message.Record, &none)
	if err != nil {
		return err
	}
	if keys := d.shared.executorOf(message.Service); keys != nil {
		keys.Adopt(record)
	}
	return nil
}
