// Package raftgroup keeps the record of leases in a group of a few processes, on go.etcd.io/raft: it drives lease.Table and lease.Expirations.
//
// disk.go is a member's disk (bbolt), member.go its one loop, wire.go what members and clients say to each other (gRPC), client.go the
// clients' side. Nothing here decides who holds a lease, and no request of the data path waits for it.
package raftgroup
