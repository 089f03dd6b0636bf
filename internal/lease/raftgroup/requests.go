package raftgroup

import (
	"context"
	"time"

	"orchiddrift/internal/lease"
)

// pendingRequest is a client's request that has not been answered. It goes through these steps:
//
//	received ── Acquire, Renew ──▶ waits for a read index (reads.go) ──▶ answered, delayed or proposed
//	received ── other kinds ─────▶ proposed (proposals.go) ──▶ applied (apply.go) ──▶ answered or delayed
//	delayed: a waiter's reply ───▶ answered when the lease is granted to the waiter, or at delayUntil
//
// When the member stops leading, all pending requests are answered with the new leader's name.
type pendingRequest struct {
	request    lease.Request
	delayUntil time.Duration      // a reply with status lease.Waiting may be delayed until then
	answer     chan requestAnswer // its capacity is 1; a second answer is dropped
}

func newPendingRequest(request lease.Request) *pendingRequest {
	return &pendingRequest{request: request, answer: make(chan requestAnswer, 1)}
}

// reply answers the request, unless it has been answered.
func (p *pendingRequest) reply(reply lease.Reply) { p.send(requestAnswer{Reply: reply}) }

// redirect answers with the name of the leader to ask instead; the name is empty if the leader is not known.
func (p *pendingRequest) redirect(leader string) { p.send(requestAnswer{Leader: leader}) }

func (p *pendingRequest) send(answer requestAnswer) {
	select {
	case p.answer <- answer:
	default:
	}
}

// request answers a client's request. If the client has to wait for a lease, the answer is delayed until the lease is granted, but for at most
// longPoll. It implements the Ask method of the service.
func (m *Member) request(ctx context.Context, request lease.Request, longPoll time.Duration) (requestAnswer, error) {
	pending := newPendingRequest(request)
	if longPoll > 0 {
		pending.delayUntil = m.options.Now() + longPoll
	}
	select {
	case m.requests <- pending:
	case <-m.ended:
		return requestAnswer{}, ErrNoLeader
	default: // overloaded: the queue of the loop is full
		return requestAnswer{}, ErrNoLeader
	}
	select {
	case answer := <-pending.answer:
		return answer, nil
	case <-ctx.Done():
		return requestAnswer{}, ctx.Err()
	case <-m.ended:
		return requestAnswer{}, ErrNoLeader
	}
}

// handleRequest starts to process a request. It runs in the loop.
func (m *Member) handleRequest(pending *pendingRequest) {
	switch {
	case !m.isLeading() || m.reads.isFull():
		m.redirect(pending)
	case pending.request.Kind == lease.Acquire || pending.request.Kind == lease.Renew:
		m.reads.add(pending)
	case pending.request.Kind == lease.Expire: // only the leader itself may propose an expiry
		pending.reply(pending.request.Reply(lease.NotHeld))
	default:
		m.propose(pending, anyLeaderTerm)
	}
}

func (m *Member) redirect(pending *pendingRequest) { pending.redirect(m.members[m.leaderID]) }

// delayedKey identifies a waiter. At most one request of a client for a lease is delayed at a time.
func delayedKey(name, client string) string { return name + "\x00" + client }

// delayReply delays a waiter's reply. An earlier delayed request of the same waiter is answered at once.
func (m *Member) delayReply(pending *pendingRequest, reply lease.Reply) {
	key := delayedKey(pending.request.Name, pending.request.Client)
	if earlier := m.delayed[key]; earlier != nil {
		reply.SendNumber = earlier.request.SendNumber
		earlier.reply(reply)
	}
	m.delayed[key] = pending
}

// answerGranted answers the delayed request of a waiter to which a lease was granted. The grant's duration counts from when the waiter sent the
// delayed request.
func (m *Member) answerGranted(entry *lease.Entry) {
	key := delayedKey(entry.Name, entry.Holder)
	if pending := m.delayed[key]; pending != nil && pending.request.Sequence == entry.Sequence {
		delete(m.delayed, key)
		pending.reply(entry.GrantedReply(pending.request))
	}
}

// answerDelayed answers the delayed requests whose delayUntil has passed.
func (m *Member) answerDelayed(now time.Duration) {
	for key, pending := range m.delayed {
		if now < pending.delayUntil {
			continue
		}
		delete(m.delayed, key)
		reply, ok := m.expirations.AnswerRepeated(now, pending.request)
		if !ok {
			reply = pending.request.Reply(lease.NotHeld)
		}
		if reply.Status == lease.Granted { // leadership was not confirmed for this request: the client must repeat it
			reply.Status = lease.Waiting
		}
		pending.reply(reply)
	}
}
