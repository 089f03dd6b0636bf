package raftgroup

import (
	"context"
	"fmt"
	"maps"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// joinRequest is a process that asks to become a member.
type joinRequest struct {
	id   uint64
	name string
	done chan error // has room for one
}

// join asks the loop to make a process a member. nil says that it is one.
func (m *Member) join(ctx context.Context, id uint64, name string) error {
	request := joinRequest{id, name, make(chan error, 1)}
	select {
	case m.joinRequests <- request:
		return <-request.done
	case <-ctx.Done():
		return ctx.Err()
	case <-m.ended:
		return ErrNoLeader
	}
}

// proposeJoin proposes the next conf change that makes a process a member: first the earlier member of the same name is removed, since it has lost
// its file and must not vote any more; then the process is added. The process asks again until nil says that it is a member.
func (m *Member) proposeJoin(request joinRequest) error {
	if !m.isLeading() {
		return ErrNoLeader
	}
	if _, ok := m.members[request.id]; ok {
		return nil
	}
	if !isDeclared(m.options.Peers, request.name) {
		return fmt.Errorf("%q %w", request.name, ErrNotAMember)
	}
	for id, name := range m.members {
		if name == request.name {
			if err := m.proposeConfChange(pb.ConfChangeRemoveNode, id, name); err != nil {
				return err
			}
			return errRemovalProposed
		}
	}
	if err := m.proposeConfChange(pb.ConfChangeAddNode, request.id, request.name); err != nil {
		return err
	}
	return errAdditionProposed
}

// proposeConfChange proposes to add or remove one member.
func (m *Member) proposeConfChange(kind pb.ConfChangeType, id uint64, name string) error {
	return m.node.ProposeConfChange(&pb.ConfChangeV2{Context: []byte(name),
		Changes: []*pb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(id)}}})
}

// applyConfChange applies a committed conf change.
func (m *Member) applyConfChange(entry *pb.Entry) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(entry.GetData(), &change); err != nil {
		return fmt.Errorf("conf change %d of the group's log: %w", entry.GetIndex(), err)
	}
	m.confState, m.confChanged = m.node.ApplyConfChange(&change), true
	for _, single := range change.Changes {
		if single.GetType() == pb.ConfChangeRemoveNode {
			delete(m.members, single.GetNodeId())
			continue
		}
		m.members[single.GetNodeId()] = string(change.Context)
	}
	return nil
}

// memberNames returns a copy of the members' names by raft id.
func (m *Member) memberNames() map[uint64]string { return maps.Clone(m.members) }
