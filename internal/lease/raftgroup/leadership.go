package raftgroup

import (
	"go.etcd.io/raft/v3"

	"orchiddrift/internal/lease"
)

// isLeading reports whether this member answers requests as the leader. It becomes true shortly after raft has elected the member: see
// startLeading.
func (m *Member) isLeading() bool { return m.expirations != nil }

// startLeading makes this member answer requests once it has applied the first entry of its own raft term. By then it has applied everything that
// earlier leaders confirmed. All expiration timers start at this moment.
func (m *Member) startLeading(term uint64) {
	status := m.node.BasicStatus()
	if m.isLeading() || status.RaftState != raft.StateLeader || status.HardState.GetTerm() != term {
		return
	}
	m.leaderTerm, m.expirations = term, lease.NewExpirations(m.options.Now(), m.table, m.options.Drift)
	m.options.Log.Info("fleet: became leader", "term", term)
}

// stopLeading ends this member's leadership and answers all pending requests with the new leader's name, if it is known.
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
