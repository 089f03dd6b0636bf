package raftgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/testing/processes"
	"orchiddrift/internal/testing/testutil"
)

// asks and answers of one name, as porcupine is told them. The state is who holds it under which token.
type (
	said struct {
		reply lease.Reply
		known bool // there was an answer
	}
	held struct {
		holder string
		token  lease.Token
	}
)

// oneName is what the record promises of a name: a token rises with each grant, is renewed and given back by its holder alone, and a term may
// end at any time.
var oneName = porcupine.NondeterministicModel{
	Init: func() []any { return []any{held{}} },
	Step: func(state, in, out any) (next []any) {
		a, r := in.(lease.Request), out.(said)
		from := []held{state.(held)}
		if from[0].holder != "" { // its term may have ended meanwhile
			from = append(from, held{token: from[0].token})
		}
		for _, s := range from {
			mine := s.holder == a.Client && s.token == a.Token
			if !r.known { // it may have been applied, or not
				next = append(next, s)
				switch {
				case a.Kind == lease.Acquire && s.holder == "":
					next = append(next, held{a.Client, s.token + 1})
				case a.Kind == lease.Release && mine:
					next = append(next, held{token: s.token})
				}
				continue
			}
			switch v := r.reply.Status; {
			case a.Kind == lease.Acquire && v == lease.Granted && s.holder == "" && r.reply.Token > s.token:
				next = append(next, held{a.Client, r.reply.Token})
			case a.Kind == lease.Acquire && v == lease.HeldByOther && s.holder != "" && s.holder != a.Client,
				a.Kind == lease.Renew && v == lease.Granted && mine,
				a.Kind != lease.Acquire && v == lease.NotHeld && !mine:
				next = append(next, s)
			case a.Kind == lease.Release && v == lease.Done && mine:
				next = append(next, held{token: s.token})
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// group is members in this process, on links.
type group struct {
	t     *testing.T
	rig   *processes.Rig
	names []string
	mu    sync.Mutex
	at    map[string]string // where each listens
	stops map[string]func()
	links []*processes.Link
	dir   string
}

func newGroup(t *testing.T, seed uint64) *group {
	g := &group{t: t, rig: processes.New(t, seed), names: []string{"a", "b", "c"}, at: map[string]string{}, stops: map[string]func(){}, dir: t.TempDir()}
	for _, n := range g.names {
		g.start(n, g.peers(n))
	}
	t.Cleanup(func() {
		for _, n := range g.names {
			g.stop(n)
		}
	})
	return g
}

// peers are the members as someone reaches them, over links of its own.
func (g *group) peers(from string) (out []Peer) {
	for _, to := range g.names {
		l, err := g.rig.Link(from, to, func() string {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.at[to]
		})
		if err != nil {
			g.t.Fatal(err)
		}
		g.links = append(g.links, l)
		out = append(out, Peer{to, l.Address()})
	}
	return out
}

var testLimits = lease.Limits{MaxNames: 10, MaxWaiters: 100, MaxNameBytes: 100, MinDuration: 50 * time.Millisecond, MaxDuration: time.Minute}

func (g *group) start(name string, peers []Peer) {
	m, err := New(context.Background(), Options{Fleet: "f", Name: name, Peers: peers, File: filepath.Join(g.dir, name), Limits: testLimits, Drift: 0.01, Tick: 10 * time.Millisecond})
	if err != nil {
		g.t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		if err := m.Run(ctx, l); err != nil {
			g.t.Error(err)
		}
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at[name] = l.Addr().String()
	g.stops[name] = func() { cancel(); <-over }
}

func (g *group) stop(name string) { g.stops[name]() }

// The record is linearizable: what clients are told, over links that are dropped, delayed and reset and with members that stop and come again,
// fits one order of one record.
func TestLinearizable(t *testing.T) {
	g := newGroup(t, 8)
	const clients, asks = 5, 60
	begun := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	for i := range clients {
		c, err := NewClient("f", g.peers(fmt.Sprint("c", i)))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all.Go(func() {
			rng := rand.New(rand.NewPCG(8, uint64(i)))
			token, holder := lease.Token(0), ""
			for n := range asks {
				// Each ask is a client of its own, but for what it holds: an answer that was lost is not asked for again.
				a := lease.Request{Kind: lease.Acquire, Name: "x", Client: fmt.Sprint("c", i, "-", n), Sequence: 1, SendNumber: uint64(n + 1), Duration: 300 * time.Millisecond}
				if token > 0 {
					a.Kind, a.Token, a.Client = lease.Renew, token, holder
					if rng.IntN(3) == 0 {
						a.Kind = lease.Release
					}
				}
				op := porcupine.Operation{ClientId: i, Input: a, Call: int64(time.Since(begun))}
				r, err := c.Request(t.Context(), a, 0, 150*time.Millisecond)
				op.Return, op.Output = int64(time.Since(begun)), said{r, err == nil}
				if err != nil {
					op.Return = int64(time.Hour) // it may be applied at any time
				}
				switch {
				case err == nil && r.Status == lease.Granted:
					token, holder = r.Token, a.Client
				case err == nil && a.Kind != lease.Acquire:
					token = 0
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
		})
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		rng := rand.New(rand.NewPCG(9, 9))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(150)) * time.Millisecond):
			}
			l := g.links[rng.IntN(len(g.links))]
			switch rng.IntN(4) {
			case 0:
				l.Set(processes.Fault{Drop: true}, processes.Fault{})
			case 1:
				l.Set(processes.Fault{Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond}, processes.Fault{Drop: rng.IntN(2) == 0})
			case 2:
				l.Reset()
			default:
				for _, l := range g.links {
					l.Heal()
				}
			}
		}
	})
	all.Wait()
	close(stop)
	faults.Wait()
	granted, unknown := 0, 0
	for _, op := range history {
		if o := op.Output.(said); !o.known {
			unknown++
		} else if o.reply.Status == lease.Granted {
			granted++
		}
	}
	t.Logf("%d asks, %d granted, %d without an answer", len(history), granted, unknown)
	if granted < 20 {
		t.Error("too few are granted to tell anything")
	}
	if r := porcupine.CheckOperationsTimeout(oneName.ToModel(), history, processes.Patience); r == porcupine.Illegal {
		t.Error("the history is not that of one record")
	} else if r != porcupine.Ok {
		t.Log("too many asks without an answer to tell in time")
	}
}

// The model takes what one record can say, and nothing else.
func TestModelOfTheRecordBites(t *testing.T) {
	acquire := func(client string) lease.Request { return lease.Request{Kind: lease.Acquire, Client: client} }
	renew := func(client string, token lease.Token) lease.Request {
		return lease.Request{Kind: lease.Renew, Client: client, Token: token}
	}
	granted := func(token lease.Token) said { return said{lease.Reply{Status: lease.Granted, Token: token}, true} }
	for what, c := range map[string]struct {
		ops  []any // asks and answers in turn, one after the other
		want porcupine.CheckResult
	}{
		"a term that ended":              {[]any{acquire("a"), granted(1), acquire("b"), granted(2)}, porcupine.Ok},
		"an answer that was lost":        {[]any{acquire("a"), said{}, acquire("b"), said{lease.Reply{Status: lease.HeldByOther}, true}}, porcupine.Ok},
		"two hold it":                    {[]any{acquire("a"), granted(1), acquire("b"), granted(2), renew("a", 1), granted(1)}, porcupine.Illegal},
		"a token that does not rise":     {[]any{acquire("a"), granted(2), acquire("b"), granted(2)}, porcupine.Illegal},
		"renewed by who never had it":    {[]any{acquire("a"), granted(1), renew("nobody", 1), granted(1)}, porcupine.Illegal},
		"held by nobody":                 {[]any{acquire("a"), said{lease.Reply{Status: lease.HeldByOther}, true}}, porcupine.Illegal},
		"renewed after it was lost once": {[]any{acquire("a"), granted(1), renew("a", 1), said{lease.Reply{Status: lease.NotHeld}, true}, renew("a", 1), granted(1)}, porcupine.Illegal},
	} {
		var history []porcupine.Operation
		for i := 0; i < len(c.ops); i += 2 {
			history = append(history, porcupine.Operation{Input: c.ops[i], Output: c.ops[i+1], Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if got := porcupine.CheckOperationsTimeout(oneName.ToModel(), history, processes.Patience); got != c.want {
			t.Errorf("%s: %s", what, got)
		}
	}
}

// A member that comes without its disk while nothing gets through to it at first: the snapshot that it needs is sent again. Guards against a leader
// that waits for ever for word of one that was lost, with a member that counts and never votes.
func TestSnapshotIsSentAgain(t *testing.T) {
	g := newGroup(t, 10)
	c, err := NewClient("f", g.peers("c"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ask := func(n uint64) bool {
		r, err := c.Request(t.Context(), lease.Request{Kind: lease.Acquire, Name: "x", Client: "c", Sequence: n, SendNumber: n, Duration: time.Minute}, 0, time.Second)
		return err == nil && r.Status == lease.Granted
	}
	testutil.Eventually(t, "a grant", func() bool { return ask(1) })
	var lost string
	var old uint64
	for i, info := range c.Info(t.Context()) {
		if info != nil && !info.IsLeader {
			lost, old = g.names[i], info.ID
		}
	}
	g.stop(lost)
	if err := os.Remove(filepath.Join(g.dir, lost)); err != nil {
		t.Fatal(err)
	}
	for _, l := range g.links { // what is said to it is lost; what it says gets through
		if strings.HasSuffix(l.Name(), ">"+lost) {
			l.Set(processes.Fault{Drop: true}, processes.Fault{})
		}
	}
	g.start(lost, g.peers(lost))
	leader := func() *Info {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for _, info := range c.Info(ctx) {
			if info != nil && info.IsLeader {
				return info
			}
		}
		return nil
	}
	id := uint64(0)
	testutil.Eventually(t, "it is a member", func() bool {
		if l := leader(); l != nil {
			for x, name := range l.Members {
				if name == lost && x != old {
					id = x
				}
			}
		}
		return id != 0
	})
	time.Sleep(20 * 10 * time.Millisecond) // longer than a message may take: the snapshot has been lost
	for _, l := range g.links {
		l.Heal()
	}
	// With a third gone, only the newcomer makes a majority.
	l := leader()
	for _, n := range g.names {
		if n != lost && (l == nil || n != l.Name) {
			g.stop(n)
			defer g.start(n, g.peers(n)) // so that it can be stopped again
		}
	}
	testutil.Eventually(t, "a grant with the newcomer's vote", func() bool { return ask(2) })
}
