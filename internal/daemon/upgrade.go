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
	// establishedTimeout is how long a successor waits until its predecessor acknowledges that the successor serves.
	establishedTimeout = 500 * time.Millisecond
	// minConnections is how many connections to clients, and how many to upstreams, a process with a successor may have open even if the
	// limits leave fewer.
	minConnections = 4
	// descriptorReportInterval is how often a predecessor reports how many descriptors it holds.
	descriptorReportInterval = 100 * time.Millisecond
)

var errOtherAddress = errors.New("the predecessor's socket listens on another address than the configured one")

// upgrade holds a process's links to its predecessor and its successor. During a hand-over two processes of one sidecar run and share its
// limits, and draining one of them drains both. It is safe for concurrent use.
type upgrade struct {
	identity handover.Identity

	mu             sync.Mutex
	predecessor    *handover.Link // nil if no predecessor is running
	successor      *handover.Link // nil if no successor is running
	successorReady bool           // the successor serves
	offer          *handover.Offer

	established atomic.Bool // the predecessor knows that this process serves, so that it may be stopped, or there is no predecessor
}

// receivedHandover is what a process received from its predecessor.
type receivedHandover struct {
	state    handover.State
	link     *handover.Link
	exchange peerExchange // set before this process serves
}

// takeOver requests the listening socket and the state of a running process of this sidecar. If no such process runs, it returns nil, nil,
// nil, and the caller opens the address itself.
func takeOver(p *config.Plan, folder string) (net.Listener, *receivedHandover, error) {
	if p.Control == "" { // without a control address, operators cannot find out when this process serves
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
	_ = acceptor.AllowConnects(listener) // if the system does not support this, the predecessor has not rejected connections either
	for i := range p.Services {
		useHandedOverList(&p.Services[i], state.Services[p.Services[i].Name])
	}
	return listener, &receivedHandover{state: state, link: link}, nil
}

// useHandedOverList makes the predecessor's list the initial endpoint list of the service, if both processes use the same discovery address
// and the predecessor's list is not older.
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

// restore gives the engines the snapshots of the predecessor's engines, and starts a drain if the predecessor is draining.
func (d *daemon) restore(received *receivedHandover) {
	for name, s := range d.routing.Load().services {
		if handedOver := received.state.Services[name]; handedOver.Snapshot != nil {
			s.engine.Restore(handedOver.Snapshot)
		}
	}
	if received.state.Draining {
		d.lifecycle.drain()
	}
}

// handoverState returns the state that a successor receives with the clients' socket.
func (d *daemon) handoverState() handover.State {
	d.lifecycle.connections.SetShared(true) // has to be set before the successor has the socket
	state := handover.State{Identity: d.upgrade.identity, Draining: d.lifecycle.state() == lifecycle.Draining,
		Descriptors: d.descriptorsHeld(), Services: map[string]handover.Service{}, ExchangesKeys: true, ExchangesIDs: true}
	for name, s := range d.routing.Load().services {
		serviceState := handover.Service{Snapshot: s.engine.Snapshot()}
		if discovery, list := s.handoverList(); discovery != "" {
			serviceState.Discovery, serviceState.List = discovery, list
		}
		state.Services[name] = serviceState
	}
	return state
}

// handoverList returns a service's discovery address and its list. The address is empty if the service has other sources.
func (s *service) handoverList() (string, *endpoints.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Discovery == "" || len(s.plan.Registries) > 0 {
		return "", nil
	}
	return s.plan.Discovery, s.lastList()
}

// runUpgrade notifies the predecessor once this process serves, and then offers the hand-over to successors. It blocks until ctx ends.
func (d *daemon) runUpgrade(ctx context.Context, received *receivedHandover, folder string, clients net.Listener) {
	if received != nil {
		d.halveMemory()
		d.limitConnections(received.state.Descriptors)
		exchange := received.exchange
		d.backgroundTasks.Go(func() { d.followPeer(received.link, true, exchange) })
		stop := context.AfterFunc(ctx, func() { received.link.Close() })
		defer stop()
	}
	if !d.awaitReady(ctx) {
		return
	}
	if received != nil {
		if err := received.link.Send(handover.Ready); err != nil {
			d.log.Warn("hand-over: the predecessor was not notified that this process serves", "reason", err)
		}
		defer time.AfterFunc(establishedTimeout, func() { d.upgrade.established.Store(true) }).Stop()
	}
	defer context.AfterFunc(ctx, d.upgrade.closeOffer)()
	for ctx.Err() == nil {
		offer, err := handover.Listen(handover.SocketPath(folder, d.upgrade.identity))
		if err != nil {
			d.log.Warn("hand-over: cannot listen for a successor; it will open the clients' address beside this process", "reason", err)
			d.upgrade.established.Store(true)
			return
		}
		d.upgrade.setOffer(offer)
		if received == nil { // there is no predecessor, and a successor can connect from now on
			d.upgrade.established.Store(true)
		}
		if ctx.Err() != nil { // closeOffer may have run before setOffer
			offer.Close()
			return
		}
		d.offerHandover(ctx, offer, clients)
	}
}

// awaitReady waits until the process can serve. It returns false if ctx ends earlier.
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
		if previous := d.upgrade.setSuccessor(link); previous != nil { // the previous successor did not become ready, or was abandoned
			previous.Close()
		}
		d.log.Info("hand-over: a successor has the clients' socket")
		exchange := d.exchangeWith(link, false)
		stop := context.AfterFunc(ctx, func() { link.Close() })
		d.backgroundTasks.Go(func() {
			defer stop()
			d.followPeer(link, false, exchange)
		})
	}
}

func (u *upgrade) setOffer(offer *handover.Offer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.offer = offer
}

// closeOffer closes the current offer; runUpgrade creates another one unless its context has ended.
func (u *upgrade) closeOffer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.offer != nil {
		u.offer.Close()
	}
}

// setSuccessor returns the successor that the new one replaces.
func (u *upgrade) setSuccessor(link *handover.Link) (previous *handover.Link) {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous = u.successor
	u.successor, u.successorReady = link, false
	return previous
}

func (u *upgrade) setPredecessor(link *handover.Link) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.predecessor = link
}

// markReady records that a successor serves. It returns true if link leads to the current successor and this is the successor's first Ready
// message.
func (u *upgrade) markReady(link *handover.Link) (first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first = u.successor == link && !u.successorReady
	u.successorReady = u.successor == link
	return first
}

// followPeer handles the messages of the other process, until its link ends.
func (d *daemon) followPeer(link *handover.Link, predecessor bool, exchange peerExchange) {
	if predecessor {
		d.upgrade.setPredecessor(link)
	}
	defer link.Close()
	defer d.endExchange(exchange)
	for {
		message, descriptors, err := link.Next()
		if err != nil {
			break
		}
		if handled, err := d.handlePeer(exchange, message, link.Payload()); err != nil {
			d.log.Warn("hand-over: a message about idempotency keys or IDs can't be handled", "reason", err)
			break
		} else if handled {
			continue
		}
		switch message {
		case handover.DescriptorsHeld: // the first one acknowledges Ready
			if predecessor {
				d.limitConnections(descriptors)
				d.upgrade.established.Store(true)
			}
		case handover.Ready:
			if d.upgrade.markReady(link) {
				d.log.Info("hand-over: the successor serves")
				d.sendSettledKeys(exchange.keys)
				d.sendRecentIDs(exchange.ids)
				d.lifecycle.connections.Pause(true) // the successor accepts connections from the same socket
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

// forgetPeer records that the other process has ended. If this process is then alone, it uses the complete limits and accepts connections.
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
		if u.offer != nil { // the successor may have replaced the hand-over socket: this process has to listen again
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

// unshareIfAlone records after a failed hand-over that the clients' socket is not shared, unless another process has it.
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
			_ = link.Send(message) // on an error the other process has ended, and needs no message
		}
	}
}

// hasSuccessor reports whether a successor serves.
func (u *upgrade) hasSuccessor() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.successorReady
}

// halveMemory makes the garbage collector keep to half of the memory limit: the other process has the other half.
func (d *daemon) halveMemory() {
	limits := d.limits
	limits.MemoryMB /= 2
	LimitMemory(&config.Plan{Limits: limits})
}

// limitConnections limits a successor's connections to the part of the limit on sockets that its predecessor's descriptors do not use.
func (d *daemon) limitConnections(predecessorDescriptors int) {
	limits := d.limits
	limits.Sockets -= predecessorDescriptors
	connections := connectionLimit(limits)
	d.resize(connections, connections)
}

// descriptorsHeld returns how many file descriptors the process holds, including descriptors that it may open at any time.
func (d *daemon) descriptorsHeld() int {
	clients := max(minConnections, d.lifecycle.connections.Count())
	upstreams := max(minConnections, int(d.shared.connectionSlots.Total()))
	return reservedDescriptors + clients + upstreams
}

// reportDescriptors repeatedly reports to a successor how many descriptors this process still holds, until the link ends.
func (d *daemon) reportDescriptors(link *handover.Link) {
	ticker := time.NewTicker(descriptorReportInterval)
	defer ticker.Stop()
	for d.freezeUpstreamConnections() {
		if link.SendDescriptorsHeld(d.descriptorsHeld()) != nil {
			return
		}
		<-ticker.C
	}
}

// freezeUpstreamConnections limits the upstream connections of a process with a successor to the number that is open now. It returns false
// if no successor serves any more, so that this process uses the complete limits again.
func (d *daemon) freezeUpstreamConnections() bool {
	d.upgrade.mu.Lock()
	defer d.upgrade.mu.Unlock()
	if !d.upgrade.successorReady {
		return false
	}
	d.resize(connectionLimit(d.limits), max(minConnections, int(d.shared.connectionSlots.Total())))
	return true
}

// resize sets how many connections to clients and upstreams may be open.
func (d *daemon) resize(clients, upstreams int) {
	d.lifecycle.connections.Resize(clients)
	if err := d.shared.connectionSlots.Resize(int64(upstreams)); err != nil { // the limit is smaller than the number of services
		d.log.Warn("hand-over: changing the limit of connections to upstreams failed; the old limit stays", "reason", err)
	}
}

// handoverFolder returns the directory in which the processes of one sidecar find each other's hand-over socket.
func handoverFolder() string { return os.TempDir() }
