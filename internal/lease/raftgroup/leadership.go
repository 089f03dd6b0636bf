package raftgroup

import (
	"go.etcd.io/raft/v3"

	"orchiddrift/internal/lease"
)

// isLeading reports whether this member answers requests. Raft may have elected it a moment before.
func (m *Member) isLeading() bool { return m.expirations != nil }

// startLeading begins to lead when the first entry of the member's own raft term is applied: all that earlier leaders confirmed has been applied by
// then. Every timer starts at this moment.
func (m *Member) startLeading(term uint64) {
	status := m.node.BasicStatus()
	if m.isLeading() || status.RaftState != raft.StateLeader || status.HardState.GetTerm() != term {
		return
	}
	m.leaderTerm, m.expirations = term, lease.NewExpirations(m.options.Now(), m.table, m.options.Drift)
	m.options.Log.Info("fleet: became leader", "term", term)
}

// stopLeading answers all pending requests with the new leader's name, if it is known.
func (m *Member) stopLeading() {
	if m.isLeading() {
		m.options.Log.Info("fleet: stopped leading", "term", m.leaderTerm)
	}
	m.leaderTerm, m.expirations = 0, nil
	for _, pending := range m.reads.clear() {
		m.redirect(pending)
	}
	for _, pending := range m.proposals {
		m.redirect(pending)
	}
	for _, pending := range m.delayed {
		m.redirect(pending)
	}
	clear(m.proposals)
	clear(m.delayed)
}
