package daemon

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/directory"
	"orchiddrift/internal/handover"
	"orchiddrift/internal/life"
)

// succession is a process's place between the one before it and the one after it. Both exist for a while only: then the two share
// the limits, and a drain of either is a drain of both. It is safe for concurrent use.
type succession struct {
	who handover.Who

	mu          sync.Mutex
	predecessor *handover.Link // nil: none runs any more
	successor   *handover.Link
	ready       bool // the successor serves
}

// inherited is what a process got from its predecessor.
type inherited struct {
	state handover.State
	link  *handover.Link
}

// inherit asks a process that serves for what it has: the clients' listening socket and its state. nil, nil: there is none, or it can't
// be had from it; the address is then opened beside it.
func inherit(p *config.Plan, folder string) (net.Listener, *inherited, error) {
	if p.Control == "" { // nobody could tell when this one serves
		return nil, nil, nil
	}
	who := handover.Who{Name: p.Name, Listen: p.Listen}
	state, listener, link, err := handover.Ask(handover.Path(folder, who), who)
	switch {
	case errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, nil
	case err != nil:
		return nil, nil, err
	}
	if listener.Addr().String() != p.Listen {
		return nil, nil, errors.Join(errors.New("the socket that was passed on listens elsewhere"), listener.Close(), link.Close())
	}
	for i := range p.Services {
		s := &p.Services[i]
		from, has := state.Services[s.Name]
		if has && from.List != nil && s.Discovery != "" && from.Discovery == s.Discovery && newer(from.List, s.Known) {
			s.Known = from.List
		}
	}
	return listener, &inherited{state, link}, nil
}

func newer(a, b *directory.Listing) bool {
	return b == nil || b.Index == nil || *a.Index >= *b.Index
}

// recall gives the modules what the predecessor's had learnt, and the drain that it was in.
func (d *daemon) recall(from *inherited) {
	for name, s := range d.routing.Load().services {
		if of := from.state.Services[name]; of.Learnt != nil {
			s.engine.Recall(of.Learnt)
		}
	}
	if from.state.Draining {
		d.course.drain()
	}
}

// state is what a successor gets.
func (d *daemon) state() handover.State {
	s := handover.State{Who: d.succession.who, Draining: d.course.state() == life.Draining, Services: map[string]handover.Service{}}
	for name, one := range d.routing.Load().services {
		of := handover.Service{Learnt: one.engine.Know()}
		if d, list := one.followed(); d != "" {
			of.Discovery, of.List = d, list
		}
		s.Services[name] = of
	}
	return s
}

// followed is the discovery that a service follows alone, and its list as last told; empty: it has other sources.
func (s *service) followed() (string, *directory.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Discovery == "" || len(s.plan.Registries) > 0 {
		return "", nil
	}
	if s.narrow != nil {
		return s.plan.Discovery, s.narrow.Last()
	}
	return s.plan.Discovery, s.feed.Last()
}

// succeed has the process take its place: it tells its predecessor once it serves, and then waits for a successor of its own.
func (d *daemon) succeed(ctx context.Context, from *inherited, folder string, clients net.Listener) {
	if from != nil {
		d.halve(true)
		d.besides.Go(func() { d.hear(from.link, true) })
		stop := context.AfterFunc(ctx, func() { from.link.Close() })
		defer stop()
	}
	for !d.ready() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	if from != nil {
		if err := from.link.Tell(handover.Ready); err != nil {
			d.log.Warn("hand-over: the predecessor has gone", "reason", err)
		}
	}
	offer, err := handover.Wait(handover.Path(folder, d.succession.who))
	if err != nil {
		d.log.Warn("hand-over: no successor can ask here; it will open the address beside this process", "reason", err)
		return
	}
	defer context.AfterFunc(ctx, func() { offer.Close() })()
	defer offer.Close()
	for {
		link, err := offer.Next(d.succession.who, clients, d.state)
		switch {
		case errors.Is(err, handover.ErrStranger):
			d.log.Warn("hand-over", "reason", err)
			continue
		case err != nil:
			return
		}
		d.succession.mu.Lock()
		before := d.succession.successor
		d.succession.successor, d.succession.ready = link, false
		d.succession.mu.Unlock()
		if before != nil { // it did not get ready, or was given up
			before.Close()
		}
		d.log.Info("hand-over: a successor has the clients' socket")
		d.halve(true)
		d.besides.Go(func() { d.hear(link, false) })
		defer context.AfterFunc(ctx, func() { link.Close() })()
	}
}

// hear follows what the other process says, until it has gone.
func (d *daemon) hear(link *handover.Link, predecessor bool) {
	n := d.succession
	if predecessor {
		n.mu.Lock()
		n.predecessor = link
		n.mu.Unlock()
	}
	defer link.Close()
	for {
		k, err := link.Next()
		if err != nil {
			break
		}
		switch k {
		case handover.Ready:
			n.mu.Lock()
			n.ready = n.successor == link
			n.mu.Unlock()
			d.log.Info("hand-over: the successor serves")
		case handover.Drain:
			d.course.drain()
		case handover.Undrain:
			d.course.undrain()
		}
	}
	n.mu.Lock()
	switch link {
	case n.predecessor:
		n.predecessor = nil
	case n.successor:
		n.successor, n.ready = nil, false
	}
	alone := n.predecessor == nil && n.successor == nil
	n.mu.Unlock()
	if alone {
		d.halve(false)
	}
}

// tell has the other processes of this sidecar drain or serve too.
func (n *succession) tell(k handover.Kind) {
	n.mu.Lock()
	links := []*handover.Link{n.predecessor, n.successor}
	n.mu.Unlock()
	for _, l := range links {
		if l != nil {
			_ = l.Tell(k) // one that has gone needs no telling
		}
	}
}

// succeeded tells whether a successor serves.
func (n *succession) succeeded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// halve has the process use half of its limits, or all of them again: two processes of one sidecar share them.
func (d *daemon) halve(half bool) {
	limits := d.limits
	if half {
		limits.MemoryMB /= 2
		limits.Sockets /= 2
	}
	LimitMemory(&config.Plan{Limits: limits})
	connections := connectionsOf(limits)
	d.course.conns.Resize(connections)
	if err := d.shared.slots.Resize(int64(connections)); err != nil { // more services than half the connections
		d.log.Warn("hand-over", "reason", err)
	}
}

// connectionsOf is how many connections each side may have.
func connectionsOf(l config.Limits) int { return max(1, (l.Sockets-ownSockets)/2) }

// sharedFolder is where processes of one sidecar find each other.
func sharedFolder() string { return os.TempDir() }
