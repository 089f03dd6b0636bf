package raftgroup

import (
	"encoding/json"
	"time"

	"orchiddrift/internal/lease"
)

// proposal is the data of an entry of the raft log.
type proposal struct {
	Proposer   uint64        `json:"node"` // raft id of the member that proposed the entry
	ID         uint64        `json:"id"`   // identifies the proposal among those of its proposer
	LeaderTerm uint64        `json:"epoch,omitempty"`
	Request    lease.Request `json:"ask"`
}

// anyLeaderTerm is the LeaderTerm of a client's request. The LeaderTerm of an expiry is the raft term of the leader that proposed it. An expiry
// is applied only if its entry has that term, because a new leader restarts all timers.
const anyLeaderTerm = 0

// A proposal's ID has the time in nanoseconds in its upper bits and the number of pending proposals in its lower bits. The time makes the ID
// different from all IDs of earlier incarnations of the member.
const (
	proposalTimeShift = 16
	proposalCountMask = 1<<proposalTimeShift - 1
)

// propose proposes a request to the raft log. The request is answered when its entry has been applied.
func (m *Member) propose(pending *pendingRequest, leaderTerm uint64) {
	id := uint64(m.options.Now())<<proposalTimeShift | uint64(len(m.proposals))&proposalCountMask
	for m.proposals[id] != nil {
		id++
	}
	data, err := json.Marshal(proposal{Proposer: m.storage.id, ID: id, LeaderTerm: leaderTerm, Request: pending.request})
	if err == nil {
		err = m.node.Propose(data)
	}
	if err != nil { // this member does not lead any more, or maxUncommittedBytes is reached
		m.redirect(pending)
		return
	}
	m.proposals[id] = pending
}

// takeProposal removes and returns the pending request of a proposal that was committed. It returns nil if another member or an earlier
// incarnation of this one proposed it.
func (m *Member) takeProposal(p *proposal) *pendingRequest {
	if p.Proposer != m.storage.id {
		return nil
	}
	pending := m.proposals[p.ID]
	delete(m.proposals, p.ID)
	return pending
}

// handleTick proposes expiries and answers delayed requests, if this member leads. It is called on each tick.
func (m *Member) handleTick() {
	if !m.isLeading() {
		return
	}
	now := m.options.Now()
	m.proposeExpiries(now)
	m.answerDelayed(now)
}

// proposeExpiries proposes to end the grants and the waits that have expired.
func (m *Member) proposeExpiries(now time.Duration) {
	for _, request := range m.expirations.Expired(now) {
		m.propose(newPendingRequest(request), m.leaderTerm)
	}
}
