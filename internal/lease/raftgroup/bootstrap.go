package raftgroup

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// bootstrap makes this process a member of a group:
//
//   - If the process's file shows that it was a member, it continues as that member.
//   - If another member already lists the process's raft id, the process starts with an empty log, and the leader sends it a snapshot.
//   - If the files of all members are empty, the process forms a new group, once every other member has answered.
//   - Otherwise the process has lost its file or joins an existing group. It asks the leader to add it as a new member, in place of the
//     member of the same name.
//
// bootstrap returns nil when the member can take part in the group, or ctx's error if ctx ends first.
func (m *Member) bootstrap(ctx context.Context) error {
	if m.storage.bootstrapped {
		return nil
	}
	m.bootstrapping.Store(true)
	defer m.bootstrapping.Store(false)
	ticker := time.NewTicker(m.options.Tick)
	defer ticker.Stop()
	for {
		found := m.discoverGroup(ctx)
		switch {
		case found.members != nil:
			m.members = found.members
			return nil
		case !found.exists && len(found.newMembers) == len(m.options.Peers):
			return m.formGroup(found.newMembers)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// discovery is what the other members report about the group.
type discovery struct {
	exists     bool              // at least one other member is or was in a group
	members    map[uint64]string // names of the group's members by raft id, if this process is already one of them; else nil
	newMembers map[uint64]string // names by raft id of this process and of the members that have answered
}

// discoverGroup asks every other member for its Info. If one of them leads a group, discoverGroup asks it to add this process.
func (m *Member) discoverGroup(ctx context.Context) discovery {
	found := discovery{newMembers: map[uint64]string{m.storage.id: m.options.Name}}
	for _, peer := range m.options.Peers {
		if peer.Name == m.options.Name {
			continue
		}
		info, err := callMember[Info](ctx, m, peer, methodInfo, m.header())
		if err != nil {
			continue
		}
		if _, counted := info.Members[m.storage.id]; counted {
			found.members = info.Members
			return found
		}
		found.exists = found.exists || info.Bootstrapped
		if info.IsLeader {
			// The next Info call shows whether the leader has added this process.
			_, err := callMember[empty](ctx, m, peer, methodJoin, joinCall{m.header()})
			m.options.Log.Info("fleet: asked the leader to add this process to the group", "leader", peer.Name, "answer", err)
		}
		found.newMembers[info.ID] = peer.Name
	}
	return found
}

// formGroup writes the first snapshot of a new group. Every member writes the same snapshot.
func (m *Member) formGroup(members map[uint64]string) error {
	data, err := json.Marshal(snapshotData{Version: protocolVersion, Members: members})
	if err != nil {
		return fmt.Errorf("encoding the group's first snapshot: %w", err)
	}
	m.options.Log.Info("fleet: group formed", "members", len(members))
	return m.storage.bootstrap(&pb.ConfState{Voters: slices.Sorted(maps.Keys(members))}, data)
}

// callMember calls a method of another member and waits for its answer for at most callTimeout.
func callMember[A any](ctx context.Context, m *Member, peer Peer, method string, c any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	return call[A](ctx, m.conns[peer.Address], method, c)
}

// callTimeout bounds a call to another member. It is as long as a leader may be silent before it is replaced.
func (m *Member) callTimeout() time.Duration { return electionTicks * m.options.Tick }
