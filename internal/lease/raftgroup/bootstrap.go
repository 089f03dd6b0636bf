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
//   - One whose file says that it was a member goes on as that member.
//   - One that another member counts as a member already, by its raft id, starts empty and is sent a snapshot.
//   - One whose file is empty forms a new group, but only together with all other members, whose files must be empty too.
//   - Otherwise its file was lost, or it comes later than the others: it asks the leader to join as a new member, in place of the member of
//     the same name.
//
// It returns once the member can take part, or with ctx's error.
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

// discovery is what the other members say of the group.
type discovery struct {
	exists     bool              // some member is or was in a group
	members    map[uint64]string // the group, if this process counts as a member of it already; else nil
	newMembers map[uint64]string // the members that have answered and this one: names by raft id
}

// discoverGroup asks every other member for its Info, and its leader to let this process join.
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
			// A later Info says whether it has become a member.
			_, err := callMember[empty](ctx, m, peer, methodJoin, joinCall{m.header()})
			m.options.Log.Info("fleet: asked to join the group", "leader", peer.Name, "answer", err)
		}
		found.newMembers[info.ID] = peer.Name
	}
	return found
}

// formGroup writes the first snapshot of a group, the same in each of its members.
func (m *Member) formGroup(members map[uint64]string) error {
	data, err := json.Marshal(recordSnapshot{Version: protocolVersion, Members: members})
	if err != nil {
		return fmt.Errorf("the first snapshot: %w", err)
	}
	m.options.Log.Info("fleet: group formed", "members", len(members))
	return m.storage.bootstrap(&pb.ConfState{Voters: slices.Sorted(maps.Keys(members))}, data)
}

// callMember calls another member, for as long as a leader may be silent.
func callMember[A any](ctx context.Context, m *Member, peer Peer, method string, c any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	return call[A](ctx, m.conns[peer.Address], method, c)
}

// callTimeout bounds a call to another member.
func (m *Member) callTimeout() time.Duration { return electionTicks * m.options.Tick }
