// Package raftgroup replicates the lease table in a small raft group, and runs work while a lease is held. It drives the state machines of
// package lease, which do no I/O, with go.etcd.io/raft, bbolt and gRPC.
//
// # A member
//
// Member is one process of the group. The goroutine of Run owns all state of the Member and handles one event at a time (run.go). gRPC handlers and
// the senders of raft messages run on their own goroutines and communicate with that goroutine through channels.
//
//	member.go       Options, Member, New, Run
//	run.go          the event loop, and the steps of raft's Ready in their order: write, send, apply
//	bootstrap.go    how a new member forms a group with others, or joins one
//	membership.go   raft configuration changes: a member is added or removed
//	transport.go    raft messages to and from other members
//	requests.go     client requests, and replies that are delayed while a client waits for a lease (long polling)
//	reads.go        read index: a leader confirms that it still leads before it answers from its own state
//	proposals.go    proposals to the raft log: client requests and expiries
//	apply.go        committed log entries
//	leadership.go   the start and the end of leadership
//	snapshots.go    snapshots of the lease table
//	storage.go      raft log, hard state and snapshot on disk
//	messages.go     the messages between members and clients
//	service.go      the gRPC service that carries these messages
//
// # A client
//
// Client sends requests to the group and follows its leader (client.go). RunWhileHeld drives a lease.Holder and its Work (holder_driver.go).
// Command is a Work that runs a command under a guard process (command.go, guard.go).
//
// This package does not decide who holds a lease: package lease does. No request of the load balancer's data path waits for this package.
package raftgroup
