package raftgroup

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/testing/processes"
	"orchiddrift/internal/testing/testutil"
)

// leaderInfo returns the leader's Info, or nil if no member leads.
func leaderInfo(t *testing.T, client *Client) *Info {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for _, info := range client.Info(ctx) {
		if info != nil && info.IsLeader {
			return info
		}
	}
	return nil
}

// loseFile stops a follower and deletes its file. It returns the follower's name and raft id.
func (g *testGroup) loseFile(client *Client) (name string, id uint64) {
	g.t.Helper()
	for i, info := range client.Info(g.t.Context()) {
		if info != nil && !info.IsLeader {
			name, id = g.names[i], info.ID
		}
	}
	g.stop(name)
	if err := os.Remove(filepath.Join(g.dir, name)); err != nil {
		g.t.Fatal(err)
	}
	return name, id
}

// The leader must send a lost snapshot again. A member that has lost its file joins while its incoming messages are dropped, so that the snapshot
// is lost. If the leader waited forever for the outcome of that snapshot, the member would count towards the majority but never vote.
func TestSnapshotIsSentAgain(t *testing.T) {
	g := newTestGroup(t, 10)
	client, err := NewClient("f", g.peers("c"))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	acquire := func(n uint64) bool {
		reply, err := client.Request(t.Context(), lease.Request{Kind: lease.Acquire, Name: "x", Client: "c", Sequence: n, SendNumber: n, Duration: time.Minute}, 0, time.Second)
		return err == nil && reply.Status == lease.Granted
	}
	testutil.Eventually(t, "a grant", func() bool { return acquire(1) })
	lost, oldID := g.loseFile(client)
	for _, link := range g.links { // messages to the lost member are dropped, but messages from it are delivered
		if strings.HasSuffix(link.Name(), ">"+lost) {
			link.Set(processes.Fault{Drop: true}, processes.Fault{})
		}
	}
	g.start(lost, g.peers(lost))
	testutil.Eventually(t, "the member that lost its file to join under a new raft id", func() bool {
		if leader := leaderInfo(t, client); leader != nil {
			for id, name := range leader.Members {
				if name == lost && id != oldID {
					return true
				}
			}
		}
		return false
	})
	time.Sleep(2 * electionTicks * testTick) // longer than the timeout of a call, so that the snapshot is lost
	g.heal()
	// With the third member stopped, the leader needs the new member's vote for a majority.
	leader := leaderInfo(t, client)
	for _, name := range g.names {
		if name != lost && (leader == nil || name != leader.Name) {
			g.stop(name)
			defer g.start(name, g.peers(name)) // so that the cleanup of the group can stop it again
		}
	}
	testutil.Eventually(t, "a grant with the new member's vote", func() bool { return acquire(2) })
}
