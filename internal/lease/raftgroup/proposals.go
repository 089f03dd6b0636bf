package raftgroup

import (
	"encoding/json"
	"time"

	"orchiddrift/internal/lease"
)

// proposal is an entry of the raft log.
type proposal struct {
	Proposer   uint64        `json:"node"` // raft id of the member that proposed it
	ID         uint64        `json:"id"`   // of the proposer's proposals
	LeaderTerm uint64        `json:"epoch,omitempty"`
	Request    lease.Request `json:"ask"`
}

// anyLeaderTerm is the LeaderTerm of a client's request. An expiry has the raft term of the leader that proposed it, and is applied only if it
// was committed in that term: a new leader restarts all timers.
const anyLeaderTerm = 0

// A proposal's ID is the time in nanoseconds, shifted, with the number of pending proposals below: that of no earlier incarnation.
const (
	proposalTimeShift = 16
	proposalCountMask = 1<<proposalTimeShift - 1
)

// propose proposes a request to the log. It is answered when it has been applied.
func (m *Member) propose(pending *pendingRequest, leaderTerm uint64) {
	id := uint64(m.options.Now())<<proposalTimeShift | uint64(len(m.proposals))&proposalCountMask
	for m.proposals[id] != nil {
		id++
	}
	data, err := json.Marshal(proposal{Proposer: m.storage.id, ID: id, LeaderTerm: leaderTerm, Request: pending.request})
	if err == nil {
		err = m.node.Propose(data)
	}
	if err != nil { // it does not lead any more, or too many proposals are uncommitted
		m.redirect(pending)
		return
	}
	m.proposals[id] = pending
}

// takeProposal removes and returns the pending request of a proposal that was applied; nil: another member or an earlier incarnation
// proposed it.
func (m *Member) takeProposal(p *proposal) *pendingRequest {
	if p.Proposer != m.storage.id {
		return nil
	}
	pending := m.proposals[p.ID]
	delete(m.proposals, p.ID)
	return pending
}

// handleTick does what a leader does on each tick.
func (m *Member) handleTick() {
	if !m.isLeading() {
		return
	}
	now := m.options.Now()
	m.proposeExpiries(now)
	m.answerDelayed(now)
}

// proposeExpiries proposes to end the grants and waits that have expired.
func (m *Member) proposeExpiries(now time.Duration) {
	for _, request := range m.expirations.Expired(now) {
		m.propose(newPendingRequest(request), m.leaderTerm)
	}
}
