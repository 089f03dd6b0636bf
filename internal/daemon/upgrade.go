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

// upgrade is a process's place between the one before it and the one after it. Both exist for a while only: then the two share
// the limits, and a drain of either is a drain of both. It is safe for concurrent use.
type upgrade struct {
	identity handover.Identity

	mu             sync.Mutex
	predecessor    *handover.Link // nil: none runs any more
	successor      *handover.Link
	successorReady bool // the successor serves
	offer          *handover.Offer

	established atomic.Bool // the predecessor knows that this process serves, or there is none: that one may be ended
}

// inheritance is what a process got from its predecessor.
type inheritance struct {
	state handover.State
	link  *handover.Link
}

// inherit asks a process that serves for what it has: the clients' listening socket and its state. nil, nil: there is none, or it can't
// be had from it; the address is then opened beside it.
func inherit(p *config.Plan, folder string) (net.Listener, *inheritance, error) {
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
		if has && from.List != nil && s.Discovery != "" && from.Discovery == s.Discovery && isNewer(from.List, s.InitialEndpoints) {
			s.InitialEndpoints = from.List
		}
	}
	return listener, &inheritance{state, link}, nil
}

func isNewer(a, b *endpoints.List) bool {
	return b == nil || b.Index == nil || *a.Index >= *b.Index
}

// restore gives the modules what the predecessor's had learnt, and the drain that it was in.
func (d *daemon) restore(from *inheritance) {
	for name, s := range d.routing.Load().services {
		if of := from.state.Services[name]; of.Snapshot != nil {
			s.engine.Restore(of.Snapshot)
		}
	}
	if from.state.Draining {
		d.lifecycle.drain()
	}
}

// handoverState is what a successor gets.
func (d *daemon) handoverState() handover.State {
	s := handover.State{Identity: d.upgrade.identity, Draining: d.lifecycle.state() == lifecycle.Draining, Descriptors: d.descriptorsHeld(), Services: map[string]handover.Service{}}
	for name, one := range d.routing.Load().services {
		of := handover.Service{Snapshot: one.engine.Snapshot()}
		if d, list := one.handoverList(); d != "" {
			of.Discovery, of.List = d, list
		}
		s.Services[name] = of
	}
	return s
}

// handoverList is the discovery that a service follows alone, and its list as last told; empty: it has other sources.
func (s *service) handoverList() (string, *endpoints.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Discovery == "" || len(s.plan.Registries) > 0 {
		return "", nil
	}
	if s.subsetSink != nil {
		return s.plan.Discovery, s.subsetSink.Last()
	}
	return s.plan.Discovery, s.registrySink.Last()
}

// runUpgrade has the process take its place: it tells its predecessor once it serves, and then waits for a successor of its own.
func (d *daemon) runUpgrade(ctx context.Context, from *inheritance, folder string, clients net.Listener) {
	if from != nil {
		d.halveMemory()
		d.limitBesidePredecessor(from.state.Descriptors)
		d.backgroundTasks.Go(func() { d.followPeer(from.link, true) })
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
		defer time.AfterFunc(establishedAfter, func() { d.upgrade.established.Store(true) }).Stop()
	}
	defer context.AfterFunc(ctx, d.upgrade.closeOffer)()
	for ctx.Err() == nil {
		offer, err := handover.Listen(handover.SocketPath(folder, d.upgrade.identity))
		if err != nil {
			d.log.Warn("hand-over: no successor can ask here; it will open the address beside this process", "reason", err)
			d.upgrade.established.Store(true)
			return
		}
		d.upgrade.mu.Lock()
		d.upgrade.offer = offer
		d.upgrade.mu.Unlock()
		if from == nil { // nobody is to be ended, and a successor can ask from now on
			d.upgrade.established.Store(true)
		}
		if ctx.Err() != nil { // before it could be closed
			offer.Close()
			return
		}
		d.offerHandover(ctx, offer, clients)
	}
}

// offerHandover waits for successors until the offer is closed.
func (d *daemon) offerHandover(ctx context.Context, offer *handover.Offer, clients net.Listener) {
	for {
		link, err := offer.Next(d.upgrade.identity, clients, d.handoverState)
		switch {
		case errors.Is(err, handover.ErrNoSuccessor):
			d.log.Warn("hand-over", "reason", err)
			continue
		case err != nil:
			return
		}
		d.upgrade.mu.Lock()
		before := d.upgrade.successor
		d.upgrade.successor, d.upgrade.successorReady = link, false
		d.upgrade.mu.Unlock()
		if before != nil { // it did not get ready, or was given up
			before.Close()
		}
		d.log.Info("hand-over: a successor has the clients' socket")
		stop := context.AfterFunc(ctx, func() { link.Close() })
		d.backgroundTasks.Go(func() {
			defer stop()
			d.followPeer(link, false)
		})
	}
}

// closeOffer ends the offer that stands; where the process goes on, it makes another one.
func (n *upgrade) closeOffer() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.offer != nil {
		n.offer.Close()
	}
}

// followPeer follows what the other process says, until it has gone.
func (d *daemon) followPeer(link *handover.Link, predecessor bool) {
	n := d.upgrade
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
				d.limitBesidePredecessor(held)
				n.established.Store(true)
			}
		case handover.Ready:
			n.mu.Lock()
			first := n.successor == link && !n.successorReady
			n.successorReady = n.successor == link
			n.mu.Unlock()
			if first {
				d.log.Info("hand-over: the successor serves")
				d.lifecycle.connections.Pause(true) // it has the socket too
				d.halveMemory()
				d.backgroundTasks.Go(func() { d.reportDescriptors(link) })
			}
		case handover.Drain:
			d.lifecycle.drain()
		case handover.Undrain:
			d.lifecycle.undrain()
		}
	}
	n.mu.Lock()
	switch link {
	case n.predecessor:
		n.predecessor = nil
		n.established.Store(true)
	case n.successor:
		n.successor, n.successorReady = nil, false
		if n.offer != nil { // the one that has gone may have taken the path: the next one is to ask here again
			n.offer.Close()
		}
	}
	if n.predecessor == nil && n.successor == nil {
		LimitMemory(&config.Plan{Limits: d.limits})
		d.resize(connectionLimit(d.limits), connectionLimit(d.limits))
		d.lifecycle.connections.Pause(false)
	}
	n.mu.Unlock()
}

// notifyPeers has the other processes of this sidecar drain or serve too.
func (n *upgrade) notifyPeers(k handover.MessageKind) {
	n.mu.Lock()
	links := []*handover.Link{n.predecessor, n.successor}
	n.mu.Unlock()
	for _, l := range links {
		if l != nil {
			_ = l.Tell(k) // one that has gone needs no telling
		}
	}
}

// hasSuccessor tells whether a successor serves.
func (n *upgrade) hasSuccessor() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successorReady
}

// halveMemory has the process's collector keep to half of the limit: another one has the other half.
func (d *daemon) halveMemory() {
	limits := d.limits
	limits.MemoryMB /= 2
	LimitMemory(&config.Plan{Limits: limits})
}

// limitBesidePredecessor has a successor keep to what its predecessor, which holds that many descriptors, leaves of the limits.
func (d *daemon) limitBesidePredecessor(held int) {
	limits := d.limits
	limits.Sockets -= held
	most := connectionLimit(limits)
	d.resize(most, most)
}

// establishedAfter is how long a successor waits for its predecessor's word that it has heard of it.
const establishedAfter = 500 * time.Millisecond

// minConnections is how many connections of each side a process with a successor may open all the same, and descriptorReportInterval how often it tells
// what it holds.
const (
	minConnections           = 4
	descriptorReportInterval = 100 * time.Millisecond
)

// descriptorsHeld is how many descriptors the process holds, and those that it may open without a look.
func (d *daemon) descriptorsHeld() int {
	return reservedDescriptors + max(minConnections, d.lifecycle.connections.Open()) + max(minConnections, int(d.shared.connectionSlots.Total()))
}

// reportDescriptors tells a successor what this process holds, as it lets go, until the link has ended.
func (d *daemon) reportDescriptors(link *handover.Link) {
	tick := time.NewTicker(descriptorReportInterval)
	defer tick.Stop()
	for {
		d.upgrade.mu.Lock()
		goes := d.upgrade.successorReady
		if goes { // else it has gone, and all is this process's again
			d.resize(connectionLimit(d.limits), max(minConnections, int(d.shared.connectionSlots.Total())))
		}
		d.upgrade.mu.Unlock()
		if !goes {
			return
		}
		if link.TellRoom(d.descriptorsHeld()) != nil {
			return
		}
		<-tick.C
	}
}

// resize sets how many connections there may be to clients and upstreams.
func (d *daemon) resize(clients, upstreams int) {
	d.lifecycle.connections.Resize(clients)
	if err := d.shared.connectionSlots.Resize(int64(upstreams)); err != nil { // fewer than there are services: all stays
		d.log.Warn("hand-over", "reason", err)
	}
}

// connectionLimit is how many connections each side may have.
func connectionLimit(l config.Limits) int { return max(1, (l.Sockets-reservedDescriptors)/2) }

// handoverFolder is where processes of one sidecar find each other.
func handoverFolder() string { return os.TempDir() }
