package raftgroup

import (
	"context"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/testing/processes"
)

// testTick is the raft heartbeat interval of the members of a testGroup.
const testTick = 10 * time.Millisecond

var testLimits = lease.Limits{MaxNames: 10, MaxWaiters: 100, MaxNameBytes: 100, MinDuration: 50 * time.Millisecond, MaxDuration: time.Minute}

// testGroup is a group of members in the test's process. Each member reaches the others over its own network links, and so does each client.
type testGroup struct {
	t     *testing.T
	rig   *processes.Rig
	names []string
	links []*processes.Link
	dir   string // directory of the members' files

	mu        sync.Mutex
	addresses map[string]string // listening address of each member, by name
	stops     map[string]func() // functions that stop a member and wait for its end, by the member's name
}

func newTestGroup(t *testing.T, seed uint64) *testGroup {
	g := &testGroup{t: t, rig: processes.New(t, seed), names: []string{"a", "b", "c"}, addresses: map[string]string{}, stops: map[string]func(){}, dir: t.TempDir()}
	for _, name := range g.names {
		g.start(name, g.peers(name))
	}
	t.Cleanup(func() {
		for _, name := range g.names {
			g.stop(name)
		}
	})
	return g
}

// peers returns the members as the named member or client reaches them: each at the address of a new network link.
func (g *testGroup) peers(from string) (peers []Peer) {
	for _, to := range g.names {
		link, err := g.rig.Link(from, to, func() string {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.addresses[to]
		})
		if err != nil {
			g.t.Fatal(err)
		}
		g.links = append(g.links, link)
		peers = append(peers, Peer{to, link.Address()})
	}
	return peers
}

// heal removes the faults of all links.
func (g *testGroup) heal() {
	for _, link := range g.links {
		link.Heal()
	}
}

// start starts the member with this name. It reaches the other members at the addresses in peers.
func (g *testGroup) start(name string, peers []Peer) {
	member, err := New(context.Background(), Options{Fleet: "f", Name: name, Peers: peers, File: filepath.Join(g.dir, name), Limits: testLimits, Drift: 0.01, Tick: testTick})
	if err != nil {
		g.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := member.Run(ctx, listener); err != nil {
			g.t.Error(err)
		}
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addresses[name] = listener.Addr().String()
	g.stops[name] = func() { cancel(); <-ended }
}

// stop stops a member and waits for its end.
func (g *testGroup) stop(name string) { g.stops[name]() }
