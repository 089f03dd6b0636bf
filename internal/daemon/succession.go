package daemon

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/handover"
	"orchiddrift/internal/lifecycle"
)

// succession is a process's place between the one before it and the one after it. Both exist for a while only: then the two share
// the limits, and a drain of either is a drain of both. It is safe for concurrent use.
type succession struct {
	who handover.Identity

	mu          sync.Mutex
	predecessor *handover.Link // nil: none runs any more
	successor   *handover.Link
	ready       bool // the successor serves
	offer       *handover.Offer

	placed atomic.Bool // the predecessor knows that this process serves, or there is none: that one may be ended
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
	who := handover.Identity{Name: p.Name, Listen: p.Listen}
	state, listener, link, err := handover.Request(handover.SocketPath(folder, who), who)
	switch {
	case errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, nil
	case err != nil:
		return nil, nil, err
	}
	if listener.Addr().String() != p.Listen && !config.AnyPort(p.Listen) {
		return nil, nil, errors.Join(errors.New("the socket that was passed on listens elsewhere"), listener.Close(), link.Close())
	}
	for i := range p.Services {
		s := &p.Services[i]
		from, has := state.Services[s.Name]
		if has && from.List != nil && s.Discovery != "" && from.Discovery == s.Discovery && newer(from.List, s.InitialEndpoints) {
			s.InitialEndpoints = from.List
		}
	}
	return listener, &inherited{state, link}, nil
}

func newer(a, b *endpoints.List) bool {
	return b == nil || b.Index == nil || *a.Index >= *b.Index
}

// recall gives the modules what the predecessor's had learnt, and the drain that it was in.
func (d *daemon) recall(from *inherited) {
	for name, s := range d.routing.Load().services {
		if of := from.state.Services[name]; of.Snapshot != nil {
			s.engine.Restore(of.Snapshot)
		}
	}
	if from.state.Draining {
		d.course.drain()
	}
}

// state is what a successor gets.
func (d *daemon) state() handover.State {
	s := handover.State{Identity: d.succession.who, Draining: d.course.state() == lifecycle.Draining, Descriptors: d.held(), Services: map[string]handover.Service{}}
	for name, one := range d.routing.Load().services {
		of := handover.Service{Snapshot: one.engine.Snapshot()}
		if d, list := one.followed(); d != "" {
			of.Discovery, of.List = d, list
		}
		s.Services[name] = of
	}
	return s
}

// followed is the discovery that a service follows alone, and its list as last told; empty: it has other sources.
func (s *service) followed() (string, *endpoints.List) {
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
		d.halveMemory()
		d.keepBeside(from.state.Descriptors)
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
		if err := from.link.Send(handover.Ready); err != nil {
			d.log.Warn("hand-over: the predecessor has gone", "reason", err)
		}
		defer time.AfterFunc(placedAfter, func() { d.succession.placed.Store(true) }).Stop()
	}
	defer context.AfterFunc(ctx, d.succession.closeOffer)()
	for ctx.Err() == nil {
		offer, err := handover.Listen(handover.SocketPath(folder, d.succession.who))
		if err != nil {
			d.log.Warn("hand-over: no successor can ask here; it will open the address beside this process", "reason", err)
			d.succession.placed.Store(true)
			return
		}
		d.succession.mu.Lock()
		d.succession.offer = offer
		d.succession.mu.Unlock()
		if from == nil { // nobody is to be ended, and a successor can ask from now on
			d.succession.placed.Store(true)
		}
		if ctx.Err() != nil { // before it could be closed
			offer.Close()
			return
		}
		d.offer(ctx, offer, clients)
	}
}

// offer waits for successors until the offer is closed.
func (d *daemon) offer(ctx context.Context, offer *handover.Offer, clients net.Listener) {
	for {
		link, err := offer.Next(d.succession.who, clients, d.state)
		switch {
		case errors.Is(err, handover.ErrNoSuccessor):
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
		stop := context.AfterFunc(ctx, func() { link.Close() })
		d.besides.Go(func() {
			defer stop()
			d.hear(link, false)
		})
	}
}

// closeOffer ends the offer that stands; where the process goes on, it makes another one.
func (n *succession) closeOffer() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.offer != nil {
		n.offer.Close()
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
		k, held, err := link.Next()
		if err != nil {
			break
		}
		switch k {
		case handover.DescriptorsHeld: // the first one answers Ready
			if predecessor {
				d.keepBeside(held)
				n.placed.Store(true)
			}
		case handover.Ready:
			n.mu.Lock()
			first := n.successor == link && !n.ready
			n.ready = n.successor == link
			n.mu.Unlock()
			if first {
				d.log.Info("hand-over: the successor serves")
				d.course.conns.Pause(true) // it has the socket too
				d.halveMemory()
				d.besides.Go(func() { d.giveRoom(link) })
			}
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
		n.placed.Store(true)
	case n.successor:
		n.successor, n.ready = nil, false
		if n.offer != nil { // the one that has gone may have taken the path: the next one is to ask here again
			n.offer.Close()
		}
	}
	if n.predecessor == nil && n.successor == nil {
		LimitMemory(&config.Plan{Limits: d.limits})
		d.resize(connectionsOf(d.limits), connectionsOf(d.limits))
		d.course.conns.Pause(false)
	}
	n.mu.Unlock()
}

// tell has the other processes of this sidecar drain or serve too.
func (n *succession) tell(k handover.MessageKind) {
	n.mu.Lock()
	links := []*handover.Link{n.predecessor, n.successor}
	n.mu.Unlock()
	for _, l := range links {
		if l != nil {
			_ = l.Send(k) // one that has gone needs no telling
		}
	}
}

// succeeded tells whether a successor serves.
func (n *succession) succeeded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// halveMemory has the process's collector keep to half of the limit: another one has the other half.
func (d *daemon) halveMemory() {
	limits := d.limits
	limits.MemoryMB /= 2
	LimitMemory(&config.Plan{Limits: limits})
}

// keepBeside has a successor keep to what its predecessor, which holds that many descriptors, leaves of the limits.
func (d *daemon) keepBeside(held int) {
	limits := d.limits
	limits.Sockets -= held
	most := connectionsOf(limits)
	d.resize(most, most)
}

// placedAfter is how long a successor waits for its predecessor's word that it has heard of it.
const placedAfter = 500 * time.Millisecond

// keptLeast is how many connections of each side a process with a successor may open all the same, and giveRoomEvery how often it tells
// what it holds.
const (
	keptLeast     = 4
	giveRoomEvery = 100 * time.Millisecond
)

// held is how many descriptors the process holds, and those that it may open without a look.
func (d *daemon) held() int {
	return ownSockets + max(keptLeast, d.course.conns.Open()) + max(keptLeast, int(d.shared.slots.Total()))
}

// giveRoom tells a successor what this process holds, as it lets go, until the link has ended.
func (d *daemon) giveRoom(link *handover.Link) {
	tick := time.NewTicker(giveRoomEvery)
	defer tick.Stop()
	for {
		d.succession.mu.Lock()
		goes := d.succession.ready
		if goes { // else it has gone, and all is this process's again
			d.resize(connectionsOf(d.limits), max(keptLeast, int(d.shared.slots.Total())))
		}
		d.succession.mu.Unlock()
		if !goes {
			return
		}
		if link.SendDescriptorsHeld(d.held()) != nil {
			return
		}
		<-tick.C
	}
}

// resize sets how many connections there may be to clients and upstreams.
func (d *daemon) resize(clients, upstreams int) {
	d.course.conns.Resize(clients)
	if err := d.shared.slots.Resize(int64(upstreams)); err != nil { // fewer than there are services: all stays
		d.log.Warn("hand-over", "reason", err)
	}
}

// connectionsOf is how many connections each side may have.
func connectionsOf(l config.Limits) int { return max(1, (l.Sockets-ownSockets)/2) }

// sharedFolder is where processes of one sidecar find each other.
func sharedFolder() string { return os.TempDir() }
