package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"orchiddrift/internal/bulkhead"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/upstream/prewarm"
)

const (
	// idleTimeoutFraction is the ratio of the pool's idle timeout to the time after which upstreams close idle connections.
	idleTimeoutFraction = 0.6
	// sweepFraction is the ratio of the interval at which idle connections are checked to the time after which upstreams close them.
	sweepFraction = 0.1
	// defaultRestTime is how long a connection is not used after a response: unexpected bytes that an upstream sends after a response may
	// arrive somewhat later, and would be read as the response to the next request.
	defaultRestTime = 15 * time.Millisecond
)

// Options are the parameters of a Pool.
type Options struct {
	Registry       *endpoints.Registry // if nil, the owner calls SetRegistry
	ConnectTimeout time.Duration       // for a new connection and its TLS handshake
	IdleTimeout    time.Duration       // time after which upstreams close idle connections
	MaxConnections int                 // maximum number of open connections; ignored if ConnectionSlots is set
	MaxAnswerBytes int                 // maximum size of a response body that is read completely

	// ConnectionSlots bounds the open connections of all services. If it is nil, MaxConnections bounds those of this service.
	ConnectionSlots *bulkhead.Semaphore
	// Service is the name under which this pool holds ConnectionSlots and AnswerBytes.
	Service string
	// AnswerBytes bounds the bytes of response bodies in memory, over all services. If it is nil, they are not bounded.
	AnswerBytes *bulkhead.Semaphore
	// SuccessStatuses are the response statuses that count as success. If it is nil, only 200 does.
	SuccessStatuses *httpheader.Statuses
	// TLS encrypts connections. If it is nil, they are not encrypted.
	TLS TLSClient
	// Prewarmer decides which connections Prewarm opens ahead of use. If it is nil, Prewarm opens none.
	Prewarmer *prewarm.Prewarmer
}

// Pool holds the connections to the upstreams of a service. It is safe for concurrent use.
type Pool struct {
	registry        *endpoints.Registry
	connectTimeout  time.Duration
	idleTimeout     time.Duration
	sweepInterval   time.Duration
	restTime        time.Duration
	maxAnswerBytes  int
	connectionSlots *bulkhead.Semaphore // one slot for each open connection
	service         string
	answerBytes     *bulkhead.Semaphore
	successStatuses *httpheader.Statuses
	tlsClient       TLSClient
	connectTimes    connectTimes
	dialTCP         func(ctx context.Context, address string) (net.Conn, error)
	prewarming      *prewarming // nil if no connection is opened ahead of use

	mu        sync.Mutex
	idle      map[string][]*pooledConn // by upstream, the connection that has been idle longest comes first
	abandoned map[*AttemptOptions]bool // attempts under way whose callers are gone
	closed    bool
}

// New returns an empty Pool. The owner of the Registry calls CloseUpstream for each upstream whose connections are no longer needed.
func New(o Options) *Pool {
	p := &Pool{
		registry:        o.Registry,
		connectTimeout:  o.ConnectTimeout,
		idleTimeout:     time.Duration(float64(o.IdleTimeout) * idleTimeoutFraction),
		sweepInterval:   time.Duration(float64(o.IdleTimeout) * sweepFraction),
		restTime:        defaultRestTime,
		maxAnswerBytes:  o.MaxAnswerBytes,
		connectionSlots: o.ConnectionSlots,
		service:         o.Service,
		answerBytes:     o.AnswerBytes,
		successStatuses: o.SuccessStatuses,
		tlsClient:       o.TLS,
		dialTCP: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
		idle:      map[string][]*pooledConn{},
		abandoned: map[*AttemptOptions]bool{},
	}
	if o.Prewarmer != nil {
		p.prewarming = &prewarming{prewarmer: o.Prewarmer, open: map[string]int{}, used: map[string]bool{}}
	}
	if p.successStatuses == nil {
		p.successStatuses = httpheader.Only200()
	}
	if p.connectionSlots == nil {
		var err error
		shares := []bulkhead.Share{{Name: o.Service, Weight: 1}}
		p.connectionSlots, err = bulkhead.NewSemaphore(int64(max(1, o.MaxConnections)), 1, shares)
		if err != nil { // impossible: a single service with at least one slot is valid
			panic(err)
		}
	}
	p.EvictOnContention()
	return p
}

// EvictOnContention registers this pool to close idle connections of its service when another service waits for a slot. It replaces an
// earlier pool of the same service.
func (p *Pool) EvictOnContention() { p.connectionSlots.OnContention(p.service, p.evict) }

// Close closes all idle connections. Connections in use are closed when their exchanges end. Before the call the owner empties the
// Registry or closes the Gates of its requests, so that no request is sent after the call.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for name, idle := range p.idle {
		for _, conn := range idle {
			p.discard(conn)
		}
		delete(p.idle, name)
	}
}

// SetRegistry sets the Registry if it is created after the Pool. It is called before the first attempt.
func (p *Pool) SetRegistry(r *endpoints.Registry) { p.registry = r }

// setIdleLocked replaces the idle connections of an upstream. p.mu is held.
func (p *Pool) setIdleLocked(name string, idle []*pooledConn) {
	if len(idle) == 0 {
		delete(p.idle, name) // names of upstreams are not reused: empty entries would accumulate
		return
	}
	p.idle[name] = idle
}

// takeIdle returns the most recently used connection to an instance that has been idle for at least restTime, or nil. A connection that
// has received any bytes since its last response is closed: they would be read as the response to the next request.
func (p *Pool) takeIdle(name string, instance endpoints.Instance) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prewarming.markUsed(name)
	idle := p.idle[name]
	defer func() { p.setIdleLocked(name, idle) }()
	now := time.Now()
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		rested := now.Sub(conn.idleSince) >= p.restTime || conn.prewarmed // no late bytes can follow on a connection without a response
		if !rested {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		if conn.instance == instance && p.trusted(conn) && conn.isIdle() {
			conn.prewarmed = false
			return conn
		}
		p.discard(conn)
	}
	return nil
}

// putIdle returns a connection to the pool, or closes it if it is no longer needed or a request waits for a slot.
func (p *Pool) putIdle(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.registry.Ready(conn.name, conn.instance) || !p.trusted(conn) || p.connectionSlots.Waiting(p.service) > 0 {
		p.discard(conn)
		return
	}
	conn.idleSince = time.Now()
	p.idle[conn.name] = append(p.idle[conn.name], conn)
}

// discard closes a connection and releases its slot.
func (p *Pool) discard(conn *pooledConn) {
	conn.closeSocket()
	p.prewarming.count(conn.name, -1)
	p.connectionSlots.Release(p.service, 1)
}

// trusted reports whether the connection would still be accepted now: the authority that signed its certificate may have been removed.
func (p *Pool) trusted(conn *pooledConn) bool {
	return conn.tlsConn == nil || p.tlsClient.StillTrusted(conn.tlsConn, conn.instance)
}

// IdleCount returns the number of connections that are open and not in use.
func (p *Pool) IdleCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		n += len(idle)
	}
	return n
}

// CloseUpstream closes an upstream's idle connections. Connections in use are closed when their exchanges end.
func (p *Pool) CloseUpstream(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[name] {
		p.discard(conn)
	}
	delete(p.idle, name)
}

// Sweep closes idle connections until ctx ends: connections that upstreams are about to close or have closed, that are no longer trusted,
// or that have received bytes. It blocks; the owner runs it on its own goroutine.
func (p *Pool) Sweep(ctx context.Context) {
	ticker := time.NewTicker(p.sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sweepOnce()
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) sweepOnce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, idle := range p.idle {
		p.setIdleLocked(name, slices.DeleteFunc(idle, func(conn *pooledConn) bool {
			expired := time.Since(conn.idleSince) >= p.idleTimeout || !p.trusted(conn) || !conn.isIdle()
			if expired {
				p.discard(conn)
			}
			return expired
		}))
	}
}
