package raftgroup

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"orchiddrift/internal/lease"
)

// readQueue holds the requests that a leader answers from its own state. Before the leader answers a request, a majority must have confirmed, after
// the request arrived, that the leader still leads, and the leader must have applied the log up to the read index of that confirmation. Otherwise a
// deposed leader could extend a grant although its successor has granted the lease to another client. One read index is requested at a time, for all
// requests that arrived before it was requested.
type readQueue struct {
	waiting    []*pendingRequest // requests that arrived after the last read index was requested
	confirming []*pendingRequest // requests for which the last read index was requested
	lastID     uint64            // id of the last read index that was requested
	readIndex  uint64            // log index that must be applied before the requests in confirming are answered; 0 until a majority has confirmed it
}

// isFull reports whether the queue takes no more requests.
func (q *readQueue) isFull() bool { return len(q.waiting) >= maxPendingRequests }

func (q *readQueue) add(pending *pendingRequest) { q.waiting = append(q.waiting, pending) }

// nextBatch moves the waiting requests to confirming and returns the id of the read index to request for them. ok is false if no request waits or
// an earlier batch is being confirmed.
func (q *readQueue) nextBatch() (id []byte, ok bool) {
	if len(q.confirming) > 0 || len(q.waiting) == 0 {
		return nil, false
	}
	q.confirming, q.waiting = q.waiting, nil
	q.lastID++
	return binary.BigEndian.AppendUint64(nil, q.lastID), true
}

// confirm stores a read index that a majority has confirmed. The read index of an earlier batch is ignored.
func (q *readQueue) confirm(state raft.ReadState) {
	const idBytes = 8
	if len(state.RequestCtx) == idBytes && binary.BigEndian.Uint64(state.RequestCtx) == q.lastID {
		q.readIndex = state.Index
	}
}

// takeConfirmed removes and returns the requests whose read index is confirmed and applied.
func (q *readQueue) takeConfirmed(appliedIndex uint64) []*pendingRequest {
	if q.readIndex == 0 || appliedIndex < q.readIndex {
		return nil
	}
	confirmed := q.confirming
	q.readIndex, q.confirming = 0, nil
	return confirmed
}

// clear empties the queue and returns the requests that were in it.
func (q *readQueue) clear() []*pendingRequest {
	all := append(q.waiting, q.confirming...)
	q.waiting, q.confirming, q.readIndex = nil, nil, 0
	return all
}

// advanceReads answers the confirmed requests and requests the next read index.
func (m *Member) advanceReads() {
	if !m.isLeading() {
		return
	}
	if confirmed := m.reads.takeConfirmed(m.appliedIndex); confirmed != nil {
		m.answerConfirmed(confirmed)
	}
	if id, ok := m.reads.nextBatch(); ok {
		m.node.ReadIndex(id)
	}
}

// answerConfirmed answers confirmed requests from the leader's state, and proposes those that change the lease table.
func (m *Member) answerConfirmed(confirmed []*pendingRequest) {
	now := m.options.Now()
	for _, pending := range confirmed {
		if pending.request.Kind == lease.Renew {
			pending.reply(m.expirations.Renew(now, pending.request))
			continue
		}
		reply, ok := m.expirations.AnswerRepeated(now, pending.request)
		switch {
		case !ok:
			m.propose(pending, anyLeaderTerm)
		case reply.Status == lease.Waiting && pending.delayUntil > now:
			m.delayReply(pending, reply)
		default:
			pending.reply(reply)
		}
	}
}
