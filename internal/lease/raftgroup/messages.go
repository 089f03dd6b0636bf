package raftgroup

import (
	"time"

	"orchiddrift/internal/lease"
)

// protocolVersion is the version of all messages and of the snapshot. Messages and snapshots of another version are rejected.
const protocolVersion = 1

// callHeader is part of every call.
type callHeader struct {
	Version int    `json:"version"`
	Fleet   string `json:"fleet"`
	From    uint64 `json:"from,omitempty"` // raft id of the calling member; 0 for a client
	Name    string `json:"name,omitempty"` // name of the calling member
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
	// LongPoll is the longest time for which the member may delay a reply with the status lease.Waiting.
	LongPoll time.Duration `json:"hold,omitempty"`
}

// requestAnswer answers a requestCall. It has either a reply or, if the member cannot give one, the name of the leader if the member knows
// it.
type requestAnswer struct {
	Reply  lease.Reply `json:"reply"`
	Leader string      `json:"leader,omitempty"` // name of the member to ask instead, if Reply has no status
}

// joinCall asks the leader to make the caller a member.
type joinCall struct {
	callHeader
}

// empty is the answer of a method that returns nothing.
type empty struct{}

// Info is a member's report of itself, the group and the lease table. Members, Leases and Notes are as of the last log entry that the member has
// applied. Only the leader's report is current.
type Info struct {
	ID           uint64            `json:"id"` // raft id
	Name         string            `json:"name"`
	Bootstrapped bool              `json:"formed"` // the member is or was in a group
	IsLeader     bool              `json:"leads"`
	Leader       string            `json:"leader"` // name of the leader; empty if the member knows of none
	Members      map[uint64]string `json:"peers"`  // names of the group's members by raft id
	LastToken    lease.Token       `json:"last"`   // the last fencing token that was issued
	Leases       []lease.Entry     `json:"leases"`
	RemainingMs  []int64           `json:"left"`            // time until each of Leases expires, in milliseconds; only the leader reports it
	Notes        map[string]string `json:"notes,omitempty"` // by lease name
}
