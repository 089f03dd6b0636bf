// Package upstream carries out attempts over HTTP/1.1: a bounded pool of connections, each with one request at a
// time, and the exchange on one of them, with its outcome told as the bytes on the socket bear it out.
package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"orchiddrift/internal/bulkhead"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/upstream/prewarm"
)

const (
	idleTimeoutFraction = 0.6 // idle connections are retired after this part of the time after which upstreams close them
	sweepFraction       = 0.1 // and looked through this often, as a part of the same
	defaultRestTime     = 5 * time.Millisecond

	handshakeGrace = 100 * time.Millisecond // how long an encrypted connection that was called off may still be made
)

// Options are a Pool's parameters.
type Options struct {
	Registry       *endpoints.Registry
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // upstreams close connections that are idle for this long
	MaxConnections int           // open at once, at most; not used where Slots is given
	MaxAnswerBytes int           // bytes of an answer's body, at most

	ConnectionSlots *bulkhead.Semaphore  // of connections, shared with other services
	Service         string               // the name that Slots knows this one by
	AnswerBytes     *bulkhead.Semaphore  // of answers in hand, shared with other services; nil: not counted
	SuccessStatuses *httpheader.Statuses // what counts as served; nil: 200 alone
	TLS             TLSClient            // nil: connections are not encrypted
	Prewarmer       *prewarm.Prewarmer   // has Prewarm open connections ahead of use; nil: none are
}

// TLSClient encrypts connections.
type TLSClient interface {
	// Client makes a fresh connection one to the upstream at that place, and proves that it is that upstream. It ends
	// with ctx.
	Handshake(ctx context.Context, conn net.Conn, at endpoints.Instance) (*tls.Conn, error)
	// Trusts tells whether a connection made earlier would still be made now.
	StillTrusted(conn *tls.Conn, at endpoints.Instance) bool
}

// Pool holds the connections to upstreams. It is safe for concurrent use.
type Pool struct {
	registry        *endpoints.Registry
	connectTimeout  time.Duration
	idleTimeout     time.Duration
	sweepInterval   time.Duration
	restTime        time.Duration       // of a connection between an answer and the next request, see take
	maxAnswerBytes  int                 // bytes
	connectionSlots *bulkhead.Semaphore // one for each connection that is open
	service         string
	answerBytes     *bulkhead.Semaphore
	successStatuses *httpheader.Statuses
	tlsClient       TLSClient
	connectTimes    connectTimes
	dialTCP         func(ctx context.Context, address string) (net.Conn, error)

	mu         sync.Mutex
	idle       map[string][]*pooledConn // by upstream, the one idle for longest first
	abandoned  map[*AttemptOptions]bool // attempts under way whose callers have left
	closed     bool
	prewarming *prewarming // nil: nothing is opened ahead
}

// New returns an empty Pool. Whoever owns the Directory tells it of upstreams whose connections are no longer
// wanted, by Drop.
func New(o Options) *Pool {
	u := &Pool{registry: o.Registry, connectTimeout: o.ConnectTimeout, connectionSlots: o.ConnectionSlots, service: o.Service, answerBytes: o.AnswerBytes,
		restTime: defaultRestTime, maxAnswerBytes: o.MaxAnswerBytes, successStatuses: o.SuccessStatuses, tlsClient: o.TLS,
		idleTimeout:   time.Duration(float64(o.IdleTimeout) * idleTimeoutFraction),
		sweepInterval: time.Duration(float64(o.IdleTimeout) * sweepFraction), idle: map[string][]*pooledConn{}, abandoned: map[*AttemptOptions]bool{}}
	u.dialTCP = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	if o.Prewarmer != nil {
		u.prewarming = &prewarming{prewarmer: o.Prewarmer, open: map[string]int{}, used: map[string]bool{}}
	}
	if u.successStatuses == nil {
		u.successStatuses = httpheader.Only200()
	}
	if u.connectionSlots == nil {
		var err error
		u.connectionSlots, err = bulkhead.NewSemaphore(int64(max(1, o.MaxConnections)), 1, []bulkhead.Share{{Name: o.Service, Weight: 1}})
		if err != nil { // one service has all of it
			panic(err)
		}
	}
	u.EvictOnContention()
	return u
}

// EvictOnContention makes this pool the one that is asked for idle connections of its service, in place of another of that name.
func (u *Pool) EvictOnContention() { u.connectionSlots.OnContention(u.service, u.evict) }

// Close closes all idle connections; those in use end with what they carry. Nothing is sent after it, since the
// Directory is empty by then or its owner's Gates are shut.
func (u *Pool) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for name, idle := range u.idle {
		for _, c := range idle {
			u.discard(c)
		}
		delete(u.idle, name)
	}
}

// SetRegistry names the Directory, where that was made after the Pool. It comes before the first attempt.
func (u *Pool) SetRegistry(d *endpoints.Registry) { u.registry = d }

// pooledConn is one connection. Nothing reads from it between exchanges: see quiet.
type pooledConn struct {
	net.Conn                  // what requests are written to
	rawSocket syscall.RawConn // of the socket below
	tlsConn   *tls.Conn       // nil: not encrypted
	tlsSocket *countingConn   // what secure writes to
	name      string
	instance  endpoints.Instance
	idleSince time.Time // when it became idle
	prewarmed bool      // it was opened ahead, and no request has gone out on it
}

var errSaturated = errors.New("all upstream connections that the limits allow are busy")

// isIdle tells whether the connection is open and brought nothing since its last answer. What came after that
// belongs to no request: it would be read as the answer to the next.
func (c *pooledConn) isIdle() bool {
	var err error
	if failed := c.rawSocket.Read(func(fd uintptr) bool {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); failed != nil {
		return false
	}
	if err != syscall.EAGAIN || c.tlsConn == nil {
		return err == syscall.EAGAIN
	}
	// What was taken off the socket with the answer's last record waits within the library.
	if c.tlsConn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	n, err := c.tlsConn.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.tlsConn.SetReadDeadline(time.Time{}) == nil
}

// connection returns a connection to an upstream: the one that was used last of those that have rested, or a new
// one. At the limit it closes the one idle for longest, and where all are busy it waits until ctx ends.
func (u *Pool) connection(ctx context.Context, name string, at endpoints.Instance) (c *pooledConn, reused bool, err error) {
	return u.connectionWithCaller(ctx, nil, name, at)
}

// connectionWithCaller is connection for a caller: where one has to be waited for, the wait ends with the caller too.
func (u *Pool) connectionWithCaller(ctx, caller context.Context, name string, at endpoints.Instance) (c *pooledConn, reused bool, err error) {
	if c = u.takeIdle(name, at); c != nil {
		return c, true, nil
	}
	if caller != nil && caller.Done() != nil {
		var end context.CancelFunc
		ctx, end = context.WithCancel(ctx)
		defer end()
		defer context.AfterFunc(caller, end)()
	}
	if err = u.acquireSlot(ctx); err != nil {
		return nil, false, err
	}
	if c, err = u.connect(ctx, name, at); err != nil {
		return nil, false, fmt.Errorf("connecting to %s: %w", name, err)
	}
	return c, false, nil
}

// connect dials within a slot, and gives that back where there is no connection. An encrypted connection that is called
// off while it is made may be had in handshakeGrace for requests to come: most of its cost is paid by then.
func (u *Pool) connect(ctx context.Context, name string, at endpoints.Instance) (*pooledConn, error) {
	if u.tlsClient == nil {
		c, err := u.dial(ctx, name, at)
		if err != nil {
			u.connectionSlots.Release(u.service, 1)
		}
		return c, err
	}
	type made struct {
		c   *pooledConn
		err error
	}
	apart, end := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan made, 1)
	go func() {
		c, err := u.dial(apart, name, at)
		done <- made{c, err}
	}()
	select {
	case m := <-done:
		end()
		if m.err != nil {
			u.connectionSlots.Release(u.service, 1)
		}
		return m.c, m.err
	case <-ctx.Done():
	}
	go func() {
		defer end()
		late := time.AfterFunc(handshakeGrace, end)
		defer late.Stop()
		if m := <-done; m.err != nil {
			u.connectionSlots.Release(u.service, 1)
		} else {
			u.putIdle(m.c)
		}
	}()
	return nil, ctx.Err()
}

// dial makes a connection; its handshake, too, is a part of connecting: nothing of a request has been sent before it
// has ended.
func (u *Pool) dial(ctx context.Context, name string, at endpoints.Instance) (*pooledConn, error) {
	whole, cancel := context.WithTimeout(ctx, u.connectTimeout)
	defer cancel()
	ctx, cancel = context.WithTimeout(whole, u.connectTimes.timeout(u.connectTimeout))
	defer cancel()
	begun := time.Now()
	conn, err := u.dialTCP(ctx, at.Address)
	for wait := minDialBackoff; isLocalError(err); wait = min(2*wait, maxDialBackoff) {
		if err = u.awaitResources(ctx, wait, err); err != nil {
			return nil, err
		}
		begun = time.Now()
		conn, err = u.dialTCP(ctx, at.Address)
	}
	if err != nil {
		return nil, err
	}
	u.connectTimes.record(time.Since(begun))
	ctx = whole // a handshake takes what it takes
	c := &pooledConn{Conn: conn, name: name, instance: at}
	u.prewarming.count(name, 1)
	if c.rawSocket, err = conn.(*net.TCPConn).SyscallConn(); err == nil && u.tlsClient != nil {
		c.tlsSocket = &countingConn{Conn: conn}
		if c.tlsConn, err = u.tlsClient.Handshake(ctx, c.tlsSocket, at); err == nil {
			c.Conn = c.tlsConn
		}
	}
	if err != nil {
		conn.Close()
		u.prewarming.count(name, -1)
		return nil, err
	}
	return c, nil
}

// acquireSlot makes room for one more connection.
func (u *Pool) acquireSlot(ctx context.Context) error {
	if u.connectionSlots.TryAcquire(u.service, 1) {
		return nil
	}
	if u.connectionSlots.Acquire(ctx, u.service, 1) != nil {
		return errSaturated
	}
	return nil
}

// evict closes the connection that has been idle for longest, and tells whether there was one.
func (u *Pool) evict() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.evictLocked()
}

// watchCaller has an attempt give its connection up once its caller has left and another waits for one. The returned function ends that.
func (u *Pool) watchCaller(t *AttemptOptions) (end func()) {
	left := func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if t.ended {
			return
		}
		if u.abandoned[t] = true; u.connectionSlots.Waiting(u.service) > 0 {
			u.evictLocked()
		}
	}
	stop := context.AfterFunc(t.Caller, left)
	return func() {
		if !stop() {
			u.mu.Lock()
			defer u.mu.Unlock()
			t.ended = true
			delete(u.abandoned, t)
		}
	}
}

// evictLocked closes the connection that is worth least: one that was opened ahead and never used, else the one that has been
// idle for longest, else one whose request nobody waits for.
func (u *Pool) evictLocked() bool {
	var oldest *pooledConn
	for _, idle := range u.idle {
		if c := idle[0]; oldest == nil || c.prewarmed && !oldest.prewarmed || c.prewarmed == oldest.prewarmed && c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest != nil {
		u.setIdleLocked(oldest.name, slices.Delete(u.idle[oldest.name], 0, 1))
		u.discard(oldest)
		return true
	}
	for t := range u.abandoned {
		delete(u.abandoned, t)
		t.Cancel(context.Canceled)
		return true
	}
	return false
}

func (u *Pool) setIdleLocked(name string, idle []*pooledConn) {
	if len(idle) == 0 {
		delete(u.idle, name) // names are ever new
	} else {
		u.idle[name] = idle
	}
}

// takeIdle returns the upstream's connection that was used last, or nil. Guards against answers that are not this
// request's: a second copy or noise behind an answer may come a moment after it, so a connection rests before
// its next request, and one that brought anything meanwhile is closed.
func (u *Pool) takeIdle(name string, at endpoints.Instance) *pooledConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prewarming.markUsed(name)
	idle := u.idle[name]
	defer func() { u.setIdleLocked(name, idle) }()
	now := time.Now()
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if now.Sub(c.idleSince) < u.restTime && !c.prewarmed { // nothing can come behind an answer that there was not
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		if c.instance == at && u.trusted(c) && c.isIdle() {
			c.prewarmed = false
			return c
		}
		u.discard(c)
	}
	return nil
}

func (u *Pool) putIdle(c *pooledConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || !u.registry.Ready(c.name, c.instance) || !u.trusted(c) || u.connectionSlots.Waiting(u.service) > 0 {
		u.discard(c)
		return
	}
	c.idleSince = time.Now()
	u.idle[c.name] = append(u.idle[c.name], c)
}

func (u *Pool) discard(c *pooledConn) {
	c.closeSocket()
	u.prewarming.count(c.name, -1)
	u.connectionSlots.Release(u.service, 1)
}

// closeSocket closes the socket without a word on the encrypted layer: that could wait for one who does not read.
func (c *pooledConn) closeSocket() {
	if c.tlsConn != nil {
		c.tlsConn.NetConn().Close()
		return
	}
	c.Close()
}

// trusted tells whether the connection would still be made: the authority that vouched for it may have been withdrawn.
func (u *Pool) trusted(c *pooledConn) bool {
	return c.tlsConn == nil || u.tlsClient.StillTrusted(c.tlsConn, c.instance)
}

// IdleCount is how many connections are open and not in use.
func (u *Pool) IdleCount() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, idle := range u.idle {
		n += len(idle)
	}
	return n
}

// CloseUpstream closes an upstream's idle connections; those in use end with what they carry, see put.
func (u *Pool) CloseUpstream(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[name] {
		u.discard(c)
	}
	delete(u.idle, name)
}

// Sweep retires idle connections until ctx ends: those that upstreams are about to close, and those that have ended
// or brought something that nobody asked for.
func (u *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(u.sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		u.mu.Lock()
		for name, idle := range u.idle {
			u.setIdleLocked(name, slices.DeleteFunc(idle, func(c *pooledConn) bool {
				done := time.Since(c.idleSince) >= u.idleTimeout || !u.trusted(c) || !c.isIdle()
				if done {
					u.discard(c)
				}
				return done
			}))
		}
		u.mu.Unlock()
	}
}
