package raftgroup

import (
	"context"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// loop runs the raft node and handles one event at a time. It returns ctx's error when ctx ends, or the error of a failed operation of the storage.
func (m *Member) loop(ctx context.Context) error {
	if err := m.startNode(); err != nil {
		return err
	}
	ticker := time.NewTicker(m.options.Tick)
	defer ticker.Stop()
	defer m.stopLeading()
	for {
		for m.node.HasReady() {
			if err := m.handleReady(ctx); err != nil {
				return err
			}
		}
		m.advanceReads()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.node.Tick()
			m.handleTick()
		case message := <-m.messages:
			_ = m.node.Step(message) // raft returns an error for a message that it ignores
		case request := <-m.requests:
			m.handleRequest(request)
		case answer := <-m.infoRequests:
			answer <- m.info()
		case outcome := <-m.sendOutcomes:
			m.reportSend(outcome)
		case join := <-m.joinRequests:
			join.done <- m.proposeJoin(join)
		}
	}
}

// startNode restores the lease table from the snapshot and creates the raft node.
func (m *Member) startNode() error {
	snapshot, err := m.storage.memory.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snapshot) { // this member joins a group: the leader will send a snapshot
		m.confState = &pb.ConfState{}
	} else if err := m.restoreSnapshot(snapshot); err != nil {
		return err
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: m.storage.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.storage.memory, Applied: m.appliedIndex,
		MaxSizePerMsg: maxAppendBytes, MaxInflightMsgs: maxInflightAppends, MaxUncommittedEntriesSize: maxUncommittedBytes, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: discardLogger{}})
	return err
}

// handleReady carries out the steps that raft's Ready lists, in the order that raft prescribes: state is on disk before messages are sent.
func (m *Member) handleReady(ctx context.Context) error {
	ready := m.node.Ready()
	if err := m.storage.save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		return fmt.Errorf("writing the group's file: %w", err)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := m.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, message := range ready.Messages {
		m.sendMessage(ctx, message)
	}
	if ready.SoftState != nil {
		m.leaderID = ready.SoftState.Lead
		if ready.SoftState.RaftState != raft.StateLeader {
			m.stopLeading()
		}
	}
	for _, entry := range ready.CommittedEntries {
		if err := m.applyEntry(entry); err != nil {
			return err
		}
	}
	for _, state := range ready.ReadStates {
		m.reads.confirm(state)
	}
	m.node.Advance(ready)
	return m.maybeSnapshot()
}
