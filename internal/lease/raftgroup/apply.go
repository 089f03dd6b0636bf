package raftgroup

import (
	"encoding/json"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"

	"orchiddrift/internal/lease"
)

// applyEntry applies a committed entry of the log.
func (m *Member) applyEntry(entry *pb.Entry) error {
	m.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryConfChangeV2:
		return m.applyConfChange(entry)
	case pb.EntryNormal:
		m.startLeading(entry.GetTerm())
		if len(entry.GetData()) == 0 { // every new leader appends an empty entry first
			return nil
		}
		return m.applyProposal(entry)
	}
	return nil
}

// applyProposal applies a proposal to the lease table. If this member leads, it also answers the pending request.
func (m *Member) applyProposal(entry *pb.Entry) error {
	var p proposal
	if err := json.Unmarshal(entry.GetData(), &p); err != nil {
		return fmt.Errorf("decoding entry %d of the raft log: %w", entry.GetIndex(), err)
	}
	pending := m.takeProposal(&p)
	if p.LeaderTerm != anyLeaderTerm && p.LeaderTerm != entry.GetTerm() {
		return nil
	}
	reply, granted := m.table.Apply(p.Request)
	if !m.isLeading() {
		return nil
	}
	reply = m.expirations.Applied(m.options.Now(), p.Request, reply, granted)
	if granted != nil {
		m.answerGranted(granted)
	}
	switch {
	case pending == nil:
	case reply.Status == lease.Waiting && pending.delayUntil > m.options.Now():
		m.delayReply(pending, reply)
	default:
		pending.reply(reply)
	}
	return nil
}
