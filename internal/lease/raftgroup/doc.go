// Package raftgroup keeps the record of leases in a small raft group and runs work while a lease is held. It drives the pure state machines of
// package lease on go.etcd.io/raft, bbolt and gRPC.
//
// # A member
//
// Member is one process of the group. All its state belongs to the goroutine of Run, which handles one event after the other (run.go). gRPC
// handlers and the senders of raft messages run on goroutines of their own and reach it through channels.
//
//	member.go       Options, Member, New, Run
//	run.go          the loop, and raft's Ready in its order: write, send, apply
//	bootstrap.go    how a new member forms a group with others, or joins one
//	membership.go   conf changes
//	transport.go    raft messages to and from other members
//	requests.go     requests of clients, and replies that are held back while a client waits
//	reads.go        read index: a leader confirms that it leads before it answers from its own state
//	proposals.go    proposals to the log, also of expiries
//	apply.go        committed entries
//	leadership.go   what begins and ends with leadership
//	snapshots.go    the record as a snapshot
//	storage.go      log, hard state and snapshot on the disk
//	messages.go     what members and clients send each other; service.go is its gRPC service
//
// # A client
//
// Client sends requests to the group and follows its leader (client.go). RunWhileHeld drives a lease.Holder and its Work (holder_driver.go).
// Command is a Work that runs a command under a guard process (command.go, guard.go).
//
// Nothing here decides who holds a lease, and no request of the data path waits for it.
package raftgroup
