package raftgroup

import (
	"time"

	"orchiddrift/internal/lease"
)

// protocolVersion is the version of all messages and of the snapshot. Another one is rejected.
const protocolVersion = 1

// callHeader begins every call.
type callHeader struct {
	Version int    `json:"version"`
	Fleet   string `json:"fleet"`
	From    uint64 `json:"from,omitempty"` // raft id of the calling member; 0: a client
	Name    string `json:"name,omitempty"` // of the calling member
}

// messageCall carries a raft message.
type messageCall struct {
	callHeader
	Message []byte `json:"message"`
}

// requestCall carries a client's request.
type requestCall struct {
	callHeader
	Request lease.Request `json:"ask"`
	// LongPoll is how long the reply may be held back while its status would be lease.Waiting.
	LongPoll time.Duration `json:"hold,omitempty"`
}

// requestAnswer answers a requestCall.
type requestAnswer struct {
	Reply  lease.Reply `json:"reply"`
	Leader string      `json:"leader,omitempty"` // the member to ask instead, where Reply has no status
}

// joinCall asks the leader to make the caller a member.
type joinCall struct {
	callHeader
}

// empty is the answer to a call that has none.
type empty struct{}

// Info is what a member reports of itself and of the record.
type Info struct {
	ID           uint64            `json:"id"` // raft id
	Name         string            `json:"name"`
	Bootstrapped bool              `json:"formed"` // it is or was a member of a group
	IsLeader     bool              `json:"leads"`
	Leader       string            `json:"leader"` // empty: it knows of none
	Members      map[uint64]string `json:"peers"`  // names of the group's members by raft id, as far as it has applied the log
	LastToken    lease.Token       `json:"last"`
	Leases       []lease.Entry     `json:"leases"`          // as far as it has applied the log: current at the leader alone
	RemainingMs  []int64           `json:"left"`            // of each of Leases, in milliseconds; at the leader alone
	Notes        map[string]string `json:"notes,omitempty"` // by the name of their lease
}
