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

// leaderInfo returns what the leader reports, nil if there is none.
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

// A member joins without its file while no message reaches it at first: the snapshot that it needs is sent again. A leader that waits for ever for the
// outcome of a lost snapshot would keep a member that counts and never votes.
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
	for _, link := range g.links { // messages to it are lost, its own get through
		if strings.HasSuffix(link.Name(), ">"+lost) {
			link.Set(processes.Fault{Drop: true}, processes.Fault{})
		}
	}
	g.start(lost, g.peers(lost))
	testutil.Eventually(t, "it is a member", func() bool {
		if leader := leaderInfo(t, client); leader != nil {
			for id, name := range leader.Members {
				if name == lost && id != oldID {
					return true
				}
			}
		}
		return false
	})
	time.Sleep(2 * electionTicks * testTick) // longer than a message may take: the snapshot has been lost
	g.heal()
	// With the third member stopped, only the new one makes a majority.
	leader := leaderInfo(t, client)
	for _, name := range g.names {
		if name != lost && (leader == nil || name != leader.Name) {
			g.stop(name)
			defer g.start(name, g.peers(name)) // so that it can be stopped again
		}
	}
	testutil.Eventually(t, "a grant with the new member's vote", func() bool { return acquire(2) })
}
