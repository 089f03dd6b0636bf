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
	"orchiddrift/internal/server/acceptor"
)

const (
	// readyPollInterval is how often a process that starts checks whether it can serve.
	readyPollInterval = 20 * time.Millisecond
	// establishedAfter is how long a successor waits for its predecessor's confirmation that it knows of it.
	establishedAfter = 500 * time.Millisecond
	// minConnections of each side may be open in a process with a successor, whatever is left of the limits.
	minConnections = 4
	// descriptorReportInterval is how often a predecessor reports the descriptors that it holds.
	descriptorReportInterval = 100 * time.Millisecond
)

var errOtherAddress = errors.New("the socket that was passed on listens elsewhere")

// upgrade is a process's place between its predecessor and its successor. During a hand-over two processes of one sidecar run and share its
// limits; a drain of either is a drain of both. It is safe for concurrent use.
type upgrade struct {
	identity handover.Identity

	mu             sync.Mutex
	predecessor    *handover.Link // nil: none runs any more
	successor      *handover.Link
	successorReady bool // the successor serves
	offer          *handover.Offer

	established atomic.Bool // the predecessor knows that this process serves, or there is none: the predecessor may be ended
}

// inheritance is what a process got from its predecessor.
type inheritance struct {
	state handover.State
	link  *handover.Link
}

// takeOver asks a running process of this sidecar for its listening socket and its state. Without an error it returns nil, nil if there is
// none; the address is then opened beside it.
func takeOver(p *config.Plan, folder string) (net.Listener, *inheritance, error) {
	if p.Control == "" { // operators could not tell when this process serves
		return nil, nil, nil
	}
	identity := handover.Identity{Name: p.Name, Listen: p.Listen}
	state, listener, link, err := handover.Request(handover.SocketPath(folder, identity), identity)
	switch {
	case errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, nil
	case err != nil:
		return nil, nil, err
	}
	if listener.Addr().String() != p.Listen && !config.AnyPort(p.Listen) {
		return nil, nil, errors.Join(errOtherAddress, listener.Close(), link.Close())
	}
	_ = acceptor.AllowConnects(listener) // where the system can't, the predecessor has not rejected them
	for i := range p.Services {
		useHandedOverList(&p.Services[i], state.Services[p.Services[i].Name])
	}
	return listener, &inheritance{state, link}, nil
}

// useHandedOverList begins with the predecessor's list if both follow the same discovery and it is not older.
func useHandedOverList(plan *config.ServicePlan, from handover.Service) {
	if from.List == nil || plan.Discovery == "" || from.Discovery != plan.Discovery {
		return
	}
	if isNewer(from.List, plan.InitialEndpoints) {
		plan.InitialEndpoints = from.List
	}
}

func isNewer(a, b *endpoints.List) bool {
	return b == nil || b.Index == nil || *a.Index >= *b.Index
}

// restore gives the engines the snapshots of the predecessor's, and takes over its draining.
func (d *daemon) restore(from *inheritance) {
	for name, s := range d.routing.Load().services {
		if handedOver := from.state.Services[name]; handedOver.Snapshot != nil {
			s.engine.Restore(handedOver.Snapshot)
		}
	}
	if from.state.Draining {
		d.lifecycle.drain()
	}
}

// handoverState is what a successor gets, beside the clients' socket.
func (d *daemon) handoverState() handover.State {
	d.lifecycle.connections.SetShared(true) // before the successor has the socket
	state := handover.State{Identity: d.upgrade.identity, Draining: d.lifecycle.state() == lifecycle.Draining,
		Descriptors: d.descriptorsHeld(), Services: map[string]handover.Service{}}
	for name, s := range d.routing.Load().services {
		one := handover.Service{Snapshot: s.engine.Snapshot()}
		if discovery, list := s.handoverList(); discovery != "" {
			one.Discovery, one.List = discovery, list
		}
		state.Services[name] = one
	}
	return state
}

// handoverList returns the discovery that a service follows alone, and its list; empty: it has other sources.
func (s *service) handoverList() (string, *endpoints.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Discovery == "" || len(s.plan.Registries) > 0 {
		return "", nil
	}
	return s.plan.Discovery, s.lastList()
}

// runUpgrade notifies the predecessor once this process serves, and then offers the hand-over to successors. It blocks until ctx ends.
func (d *daemon) runUpgrade(ctx context.Context, from *inheritance, folder string, clients net.Listener) {
	if from != nil {
		d.halveMemory()
		d.limitBesidePredecessor(from.state.Descriptors)
		d.backgroundTasks.Go(func() { d.followPeer(from.link, true) })
		stop := context.AfterFunc(ctx, func() { from.link.Close() })
		defer stop()
	}
	if !d.awaitReady(ctx) {
		return
	}
	if from != nil {
		if err := from.link.Send(handover.Ready); err != nil {
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
		d.upgrade.setOffer(offer)
		if from == nil { // there is no predecessor, and a successor can ask from now on
			d.upgrade.established.Store(true)
		}
		if ctx.Err() != nil { // closeOffer may have run before setOffer
			offer.Close()
			return
		}
		d.offerHandover(ctx, offer, clients)
	}
}

// awaitReady waits until the process can serve. It returns false if ctx ends before.
func (d *daemon) awaitReady(ctx context.Context) bool {
	for !d.ready() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(readyPollInterval):
		}
	}
	return true
}

// offerHandover waits for successors until the offer is closed.
func (d *daemon) offerHandover(ctx context.Context, offer *handover.Offer, clients net.Listener) {
	for {
		link, err := offer.Next(d.upgrade.identity, clients, d.handoverState)
		switch {
		case errors.Is(err, handover.ErrNoSuccessor):
			d.log.Warn("hand-over", "reason", err)
			d.unshareIfAlone()
			continue
		case err != nil:
			return
		}
		if before := d.upgrade.setSuccessor(link); before != nil { // it never became ready, or was given up
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

func (u *upgrade) setOffer(offer *handover.Offer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.offer = offer
}

// closeOffer ends the current offer; a process that goes on makes another one.
func (u *upgrade) closeOffer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.offer != nil {
		u.offer.Close()
	}
}

// setSuccessor returns the successor that the new one replaces.
func (u *upgrade) setSuccessor(link *handover.Link) (before *handover.Link) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before = u.successor
	u.successor, u.successorReady = link, false
	return before
}

func (u *upgrade) setPredecessor(link *handover.Link) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.predecessor = link
}

// markReady notes that a successor serves, and reports whether it is the current one and did so for the first time.
func (u *upgrade) markReady(link *handover.Link) (first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first = u.successor == link && !u.successorReady
	u.successorReady = u.successor == link
	return first
}

// followPeer handles the messages of the other process, until its link ends.
func (d *daemon) followPeer(link *handover.Link, predecessor bool) {
	if predecessor {
		d.upgrade.setPredecessor(link)
	}
	defer link.Close()
	for {
		message, descriptors, err := link.Next()
		if err != nil {
			break
		}
		switch message {
		case handover.DescriptorsHeld: // the first one answers Ready
			if predecessor {
				d.limitBesidePredecessor(descriptors)
				d.upgrade.established.Store(true)
			}
		case handover.Ready:
			if d.upgrade.markReady(link) {
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
	d.forgetPeer(link)
}

// forgetPeer notes that the other process has gone. A process that is alone uses all of the limits, and accepts connections.
func (d *daemon) forgetPeer(link *handover.Link) {
	u := d.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	switch link {
	case u.predecessor:
		u.predecessor = nil
		u.established.Store(true)
	case u.successor:
		u.successor, u.successorReady = nil, false
		if u.offer != nil { // the one that has gone may have replaced the socket: the next successor has to find one of this process
			u.offer.Close()
		}
	}
	if u.predecessor == nil && u.successor == nil {
		LimitMemory(&config.Plan{Limits: d.limits})
		d.resize(connectionLimit(d.limits), connectionLimit(d.limits))
		d.lifecycle.connections.Pause(false)
		d.lifecycle.connections.SetShared(false)
	}
}

// unshareIfAlone notes that a successor did not take the clients' socket over.
func (d *daemon) unshareIfAlone() {
	u := d.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.predecessor == nil && u.successor == nil {
		d.lifecycle.connections.SetShared(false)
	}
}

// notifyPeers sends a message to the other processes of this sidecar.
func (u *upgrade) notifyPeers(message handover.MessageKind) {
	u.mu.Lock()
	links := []*handover.Link{u.predecessor, u.successor}
	u.mu.Unlock()
	for _, link := range links {
		if link != nil {
			_ = link.Send(message) // one that has gone needs no message
		}
	}
}

// hasSuccessor reports whether a successor serves.
func (u *upgrade) hasSuccessor() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.successorReady
}

// halveMemory makes the garbage collector keep to half of the limit: the other process has the other half.
func (d *daemon) halveMemory() {
	limits := d.limits
	limits.MemoryMB /= 2
	LimitMemory(&config.Plan{Limits: limits})
}

// limitBesidePredecessor makes a successor keep to what its predecessor, which holds so many descriptors, leaves of the limits.
func (d *daemon) limitBesidePredecessor(descriptors int) {
	limits := d.limits
	limits.Sockets -= descriptors
	connections := connectionLimit(limits)
	d.resize(connections, connections)
}

// descriptorsHeld is how many descriptors the process holds, and may open without asking.
func (d *daemon) descriptorsHeld() int {
	clients := max(minConnections, d.lifecycle.connections.Count())
	upstreams := max(minConnections, int(d.shared.connectionSlots.Total()))
	return reservedDescriptors + clients + upstreams
}

// reportDescriptors reports to a successor how many descriptors this process holds, as it closes them, until the link ends.
func (d *daemon) reportDescriptors(link *handover.Link) {
	ticker := time.NewTicker(descriptorReportInterval)
	defer ticker.Stop()
	for d.shrink() {
		if link.SendDescriptorsHeld(d.descriptorsHeld()) != nil {
			return
		}
		<-ticker.C
	}
}

// shrink makes a process with a successor open no further connections to upstreams. It returns false if the successor has gone: all of the
// limits are this process's again.
func (d *daemon) shrink() bool {
	d.upgrade.mu.Lock()
	defer d.upgrade.mu.Unlock()
	if !d.upgrade.successorReady {
		return false
	}
	d.resize(connectionLimit(d.limits), max(minConnections, int(d.shared.connectionSlots.Total())))
	return true
}

// resize sets how many connections there may be to clients and upstreams.
func (d *daemon) resize(clients, upstreams int) {
	d.lifecycle.connections.Resize(clients)
	if err := d.shared.connectionSlots.Resize(int64(upstreams)); err != nil { // fewer than there are services: nothing changes
		d.log.Warn("hand-over", "reason", err)
	}
}

// handoverFolder is where the processes of one sidecar find each other.
func handoverFolder() string { return os.TempDir() }
