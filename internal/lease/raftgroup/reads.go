package raftgroup

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"orchiddrift/internal/lease"
)

// readQueue has the requests that a leader answers from its own state. Before that a majority must have confirmed, after the request arrived, that
// it still leads, and it must have applied the log up to the read index of that moment: else a deposed leader could extend a grant that its
// successor has given away. One read index is asked for at a time, for all requests that arrived before.
type readQueue struct {
	waiting    []*pendingRequest // arrived after the last read index was asked for
	confirming []*pendingRequest // arrived before
	lastID     uint64            // of the read index that was asked for last
	readIndex  uint64            // the log must be applied up to it; 0: not confirmed yet
}

// isFull reports whether no more requests may wait.
func (q *readQueue) isFull() bool { return len(q.waiting) >= maxPendingRequests }

func (q *readQueue) add(pending *pendingRequest) { q.waiting = append(q.waiting, pending) }

// nextBatch begins to confirm the waiting requests and returns the id of the read index to ask for; false: there is nothing to ask for now.
func (q *readQueue) nextBatch() (id []byte, ok bool) {
	if len(q.confirming) > 0 || len(q.waiting) == 0 {
		return nil, false
	}
	q.confirming, q.waiting = q.waiting, nil
	q.lastID++
	return binary.BigEndian.AppendUint64(nil, q.lastID), true
}

// confirm takes a read index that a majority has confirmed. One of an earlier batch is ignored.
func (q *readQueue) confirm(state raft.ReadState) {
	const idBytes = 8
	if len(state.RequestCtx) == idBytes && binary.BigEndian.Uint64(state.RequestCtx) == q.lastID {
		q.readIndex = state.Index
	}
}

// takeConfirmed returns the requests whose read index is confirmed and applied.
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

// advanceReads answers the requests that are confirmed, and asks for the next read index.
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

// answerConfirmed answers requests from the leader's state, and proposes those that change the record.
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
