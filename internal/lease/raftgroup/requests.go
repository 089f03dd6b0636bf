package raftgroup

import (
	"context"
	"time"

	"orchiddrift/internal/lease"
)

// pendingRequest is a request of a client that has not been answered. Its life:
//
//	received ── Acquire, Renew ──▶ waits for a read index (reads.go) ──▶ answered, held back or proposed
//	received ── other kinds ─────▶ proposed (proposals.go) ──▶ applied (apply.go) ──▶ answered or held back
//	held back: a waiter's reply ─▶ answered when the lease is granted to it, or at delayUntil
//
// When the member stops leading, all of them are answered with the new leader's name.
type pendingRequest struct {
	request    lease.Request
	delayUntil time.Duration      // a reply with lease.Waiting may be held back until then
	answer     chan requestAnswer // has room for one; a further answer is dropped
}

func newPendingRequest(request lease.Request) *pendingRequest {
	return &pendingRequest{request: request, answer: make(chan requestAnswer, 1)}
}

// reply answers the request, unless it has an answer.
func (p *pendingRequest) reply(reply lease.Reply) { p.send(requestAnswer{Reply: reply}) }

// redirect answers that another member leads; an empty name: none is known to.
func (p *pendingRequest) redirect(leader string) { p.send(requestAnswer{Leader: leader}) }

func (p *pendingRequest) send(answer requestAnswer) {
	select {
	case p.answer <- answer:
	default:
	}
}

// request answers a client's request. While its status would be lease.Waiting, the answer is held back for at most longPoll. It is the Ask method of
// the service.
func (m *Member) request(ctx context.Context, request lease.Request, longPoll time.Duration) (requestAnswer, error) {
	pending := newPendingRequest(request)
	if longPoll > 0 {
		pending.delayUntil = m.options.Now() + longPoll
	}
	select {
	case m.requests <- pending:
	case <-m.ended:
		return requestAnswer{}, ErrNoLeader
	default: // overloaded
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

// handleRequest handles a request in the loop.
func (m *Member) handleRequest(pending *pendingRequest) {
	switch {
	case !m.isLeading() || m.reads.isFull():
		m.redirect(pending)
	case pending.request.Kind == lease.Acquire || pending.request.Kind == lease.Renew:
		m.reads.add(pending)
	case pending.request.Kind == lease.Expire: // the leader's own alone
		pending.reply(pending.request.Reply(lease.NotHeld))
	default:
		m.propose(pending, anyLeaderTerm)
	}
}

func (m *Member) redirect(pending *pendingRequest) { pending.redirect(m.members[m.leaderID]) }

// delayedKey identifies a waiter: one request of a client for a name is held back at a time.
func delayedKey(name, client string) string { return name + "\x00" + client }

// delayReply holds a waiter's reply back. An earlier request of the same waiter is answered.
func (m *Member) delayReply(pending *pendingRequest, reply lease.Reply) {
	key := delayedKey(pending.request.Name, pending.request.Client)
	if earlier := m.delayed[key]; earlier != nil {
		reply.SendNumber = earlier.request.SendNumber
		earlier.reply(reply)
	}
	m.delayed[key] = pending
}

// answerGranted answers a waiter at once that the lease was granted to it. The grant counts from its request, which is earlier.
func (m *Member) answerGranted(entry *lease.Entry) {
	key := delayedKey(entry.Name, entry.Holder)
	if pending := m.delayed[key]; pending != nil && pending.request.Sequence == entry.Sequence {
		delete(m.delayed, key)
		pending.reply(entry.GrantedReply(pending.request))
	}
}

// answerDelayed answers the waiters whose replies were held back for long enough.
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
		if reply.Status == lease.Granted { // leadership was not confirmed for this request: the client has to ask again
			reply.Status = lease.Waiting
		}
		pending.reply(reply)
	}
}
