package raftgroup

import (
	"context"
	"fmt"
	"maps"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// joinRequest is the request of a process to become a member.
type joinRequest struct {
	id   uint64 // raft id of the process
	name string
	done chan error // receives the result; its capacity is 1
}

// join asks the loop to make a process a member. It returns nil if the process is a member already.
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

// proposeJoin proposes the next raft configuration change on a process's way to membership. The first change removes the earlier member of the
// same name, which has lost its file and must not vote any more. The second change adds the process. The process repeats its request until
// proposeJoin returns nil, which means that the process is a member.
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

// applyConfChange applies a committed raft configuration change.
func (m *Member) applyConfChange(entry *pb.Entry) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(entry.GetData(), &change); err != nil {
		return fmt.Errorf("decoding configuration change %d of the raft log: %w", entry.GetIndex(), err)
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
