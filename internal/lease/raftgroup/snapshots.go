package raftgroup

import (
	"encoding/json"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"

	"orchiddrift/internal/lease"
)

// snapshotInterval is the number of entries by which the log grows before a snapshot is written and the log is compacted.
const snapshotInterval = 2000

// snapshotData is the data of a raft snapshot: the lease table and the group's members.
type snapshotData struct {
	Version   int               `json:"version"`
	LastToken lease.Token       `json:"last"` // the last fencing token that was issued; the next token must be higher (see package lease)
	Entries   []lease.Entry     `json:"entries"`
	Notes     map[string]string `json:"notes,omitempty"`
	Members   map[uint64]string `json:"peers"` // names by raft id
}

// maybeSnapshot writes a snapshot if the log has grown by snapshotInterval, or if the members have changed.
func (m *Member) maybeSnapshot() error {
	first, err := m.storage.memory.FirstIndex()
	if err != nil || !m.confChanged && m.appliedIndex <= first+snapshotInterval {
		return nil
	}
	m.confChanged = false
	data, err := json.Marshal(snapshotData{Version: protocolVersion, LastToken: m.table.LastToken(), Entries: m.table.List(),
		Notes: m.table.Notes(), Members: m.members})
	if err != nil {
		return fmt.Errorf("encoding the group's snapshot: %w", err)
	}
	return m.storage.saveSnapshot(m.appliedIndex, m.confState, data)
}

// restoreSnapshot replaces the lease table and the members by those of a snapshot.
func (m *Member) restoreSnapshot(snapshot *pb.Snapshot) error {
	var data snapshotData
	if err := json.Unmarshal(snapshot.GetData(), &data); err != nil {
		return fmt.Errorf("decoding the group's snapshot: %w", err)
	}
	if data.Version != protocolVersion {
		return fmt.Errorf("the group's snapshot has version %d, want %d", data.Version, protocolVersion)
	}
	m.table = lease.NewTable(m.options.Limits)
	m.table.Restore(data.LastToken, data.Entries)
	m.table.RestoreNotes(data.Notes)
	metadata := snapshot.GetMetadata()
	m.members, m.confState, m.appliedIndex = data.Members, metadata.GetConfState(), metadata.GetIndex()
	return nil
}
