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
	idlePart  = 0.6 // idle connections are retired after this part of the time after which upstreams close them
	sweepPart = 0.1 // and looked through this often, as a part of the same
	restFor   = 5 * time.Millisecond

	handshakeFor = 100 * time.Millisecond // how long an encrypted connection that was called off may still be made
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
	dir            *endpoints.Registry
	connectTimeout time.Duration
	maxIdle        time.Duration
	sweepEvery     time.Duration
	rest           time.Duration       // of a connection between an answer and the next request, see take
	maxAnswer      int                 // bytes
	slots          *bulkhead.Semaphore // one for each connection that is open
	service        string
	bytes          *bulkhead.Semaphore
	answers        *httpheader.Statuses
	secure         TLSClient
	connects       connects
	dialTCP        func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      map[string][]*poolConn   // by upstream, the one idle for longest first
	abandoned map[*AttemptOptions]bool // attempts under way whose callers have left
	closed    bool
	warm      *warming // nil: nothing is opened ahead
}

// New returns an empty Pool. Whoever owns the Directory tells it of upstreams whose connections are no longer
// wanted, by Drop.
func New(o Options) *Pool {
	u := &Pool{dir: o.Registry, connectTimeout: o.ConnectTimeout, slots: o.ConnectionSlots, service: o.Service, bytes: o.AnswerBytes,
		rest: restFor, maxAnswer: o.MaxAnswerBytes, answers: o.SuccessStatuses, secure: o.TLS,
		maxIdle:    time.Duration(float64(o.IdleTimeout) * idlePart),
		sweepEvery: time.Duration(float64(o.IdleTimeout) * sweepPart), idle: map[string][]*poolConn{}, abandoned: map[*AttemptOptions]bool{}}
	u.dialTCP = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	if o.Prewarmer != nil {
		u.warm = &warming{w: o.Prewarmer, open: map[string]int{}, used: map[string]bool{}}
	}
	if u.answers == nil {
		u.answers = httpheader.Only200()
	}
	if u.slots == nil {
		var err error
		u.slots, err = bulkhead.NewSemaphore(int64(max(1, o.MaxConnections)), 1, []bulkhead.Share{{Name: o.Service, Weight: 1}})
		if err != nil { // one service has all of it
			panic(err)
		}
	}
	u.EvictOnContention()
	return u
}

// EvictOnContention makes this pool the one that is asked for idle connections of its service, in place of another of that name.
func (u *Pool) EvictOnContention() { u.slots.OnContention(u.service, u.evict) }

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
func (u *Pool) SetRegistry(d *endpoints.Registry) { u.dir = d }

// poolConn is one connection. Nothing reads from it between exchanges: see quiet.
type poolConn struct {
	net.Conn                 // what requests are written to
	raw      syscall.RawConn // of the socket below
	secure   *tls.Conn       // nil: not encrypted
	below    *counted        // what secure writes to
	name     string
	at       endpoints.Instance
	since    time.Time // when it became idle
	unused   bool      // it was opened ahead, and no request has gone out on it
}

var errSaturated = errors.New("all upstream connections that the limits allow are busy")

// quiet tells whether the connection is open and brought nothing since its last answer. What came after that
// belongs to no request: it would be read as the answer to the next.
func (c *poolConn) quiet() bool {
	var err error
	if failed := c.raw.Read(func(fd uintptr) bool {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); failed != nil {
		return false
	}
	if err != syscall.EAGAIN || c.secure == nil {
		return err == syscall.EAGAIN
	}
	// What was taken off the socket with the answer's last record waits within the library.
	if c.secure.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	n, err := c.secure.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.secure.SetReadDeadline(time.Time{}) == nil
}

// connection returns a connection to an upstream: the one that was used last of those that have rested, or a new
// one. At the limit it closes the one idle for longest, and where all are busy it waits until ctx ends.
func (u *Pool) connection(ctx context.Context, name string, at endpoints.Instance) (c *poolConn, reused bool, err error) {
	return u.connectionFor(ctx, nil, name, at)
}

// connectionFor is connection for a caller: where one has to be waited for, the wait ends with the caller too.
func (u *Pool) connectionFor(ctx, caller context.Context, name string, at endpoints.Instance) (c *poolConn, reused bool, err error) {
	if c = u.take(name, at); c != nil {
		return c, true, nil
	}
	if caller != nil && caller.Done() != nil {
		var end context.CancelFunc
		ctx, end = context.WithCancel(ctx)
		defer end()
		defer context.AfterFunc(caller, end)()
	}
	if err = u.slot(ctx); err != nil {
		return nil, false, err
	}
	if c, err = u.connect(ctx, name, at); err != nil {
		return nil, false, fmt.Errorf("connecting to %s: %w", name, err)
	}
	return c, false, nil
}

// connect dials within a slot, and gives that back where there is no connection. An encrypted connection that is called
// off while it is made may be had in handshakeFor for requests to come: most of its cost is paid by then.
func (u *Pool) connect(ctx context.Context, name string, at endpoints.Instance) (*poolConn, error) {
	if u.secure == nil {
		c, err := u.dial(ctx, name, at)
		if err != nil {
			u.slots.Release(u.service, 1)
		}
		return c, err
	}
	type made struct {
		c   *poolConn
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
			u.slots.Release(u.service, 1)
		}
		return m.c, m.err
	case <-ctx.Done():
	}
	go func() {
		defer end()
		late := time.AfterFunc(handshakeFor, end)
		defer late.Stop()
		if m := <-done; m.err != nil {
			u.slots.Release(u.service, 1)
		} else {
			u.put(m.c)
		}
	}()
	return nil, ctx.Err()
}

// dial makes a connection; its handshake, too, is a part of connecting: nothing of a request has been sent before it
// has ended.
func (u *Pool) dial(ctx context.Context, name string, at endpoints.Instance) (*poolConn, error) {
	whole, cancel := context.WithTimeout(ctx, u.connectTimeout)
	defer cancel()
	ctx, cancel = context.WithTimeout(whole, u.connects.patience(u.connectTimeout))
	defer cancel()
	begun := time.Now()
	conn, err := u.dialTCP(ctx, at.Address)
	for wait := dialAgainFirst; isLocal(err); wait = min(2*wait, dialAgainMost) {
		if err = u.awaitResources(ctx, wait, err); err != nil {
			return nil, err
		}
		begun = time.Now()
		conn, err = u.dialTCP(ctx, at.Address)
	}
	if err != nil {
		return nil, err
	}
	u.connects.took(time.Since(begun))
	ctx = whole // a handshake takes what it takes
	c := &poolConn{Conn: conn, name: name, at: at}
	u.warm.opened(name, 1)
	if c.raw, err = conn.(*net.TCPConn).SyscallConn(); err == nil && u.secure != nil {
		c.below = &counted{Conn: conn}
		if c.secure, err = u.secure.Handshake(ctx, c.below, at); err == nil {
			c.Conn = c.secure
		}
	}
	if err != nil {
		conn.Close()
		u.warm.opened(name, -1)
		return nil, err
	}
	return c, nil
}

// slot makes room for one more connection.
func (u *Pool) slot(ctx context.Context) error {
	if u.slots.TryAcquire(u.service, 1) {
		return nil
	}
	if u.slots.Acquire(ctx, u.service, 1) != nil {
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

// follow has an attempt give its connection up once its caller has left and another waits for one. The returned function ends that.
func (u *Pool) follow(t *AttemptOptions) (end func()) {
	left := func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if t.over {
			return
		}
		if u.abandoned[t] = true; u.slots.Waiting(u.service) > 0 {
			u.evictLocked()
		}
	}
	stop := context.AfterFunc(t.Caller, left)
	return func() {
		if !stop() {
			u.mu.Lock()
			defer u.mu.Unlock()
			t.over = true
			delete(u.abandoned, t)
		}
	}
}

// evictLocked closes the connection that is worth least: one that was opened ahead and never used, else the one that has been
// idle for longest, else one whose request nobody waits for.
func (u *Pool) evictLocked() bool {
	var oldest *poolConn
	for _, idle := range u.idle {
		if c := idle[0]; oldest == nil || c.unused && !oldest.unused || c.unused == oldest.unused && c.since.Before(oldest.since) {
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

func (u *Pool) setIdleLocked(name string, idle []*poolConn) {
	if len(idle) == 0 {
		delete(u.idle, name) // names are ever new
	} else {
		u.idle[name] = idle
	}
}

// take returns the upstream's connection that was used last, or nil. Guards against answers that are not this
// request's: a second copy or noise behind an answer may come a moment after it, so a connection rests before
// its next request, and one that brought anything meanwhile is closed.
func (u *Pool) take(name string, at endpoints.Instance) *poolConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.warm.use(name)
	idle := u.idle[name]
	defer func() { u.setIdleLocked(name, idle) }()
	now := time.Now()
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if now.Sub(c.since) < u.rest && !c.unused { // nothing can come behind an answer that there was not
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		if c.at == at && u.trusted(c) && c.quiet() {
			c.unused = false
			return c
		}
		u.discard(c)
	}
	return nil
}

func (u *Pool) put(c *poolConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || !u.dir.Ready(c.name, c.at) || !u.trusted(c) || u.slots.Waiting(u.service) > 0 {
		u.discard(c)
		return
	}
	c.since = time.Now()
	u.idle[c.name] = append(u.idle[c.name], c)
}

func (u *Pool) discard(c *poolConn) {
	c.end()
	u.warm.opened(c.name, -1)
	u.slots.Release(u.service, 1)
}

// end closes the socket without a word on the encrypted layer: that could wait for one who does not read.
func (c *poolConn) end() {
	if c.secure != nil {
		c.secure.NetConn().Close()
		return
	}
	c.Close()
}

// trusted tells whether the connection would still be made: the authority that vouched for it may have been withdrawn.
func (u *Pool) trusted(c *poolConn) bool {
	return c.secure == nil || u.secure.StillTrusted(c.secure, c.at)
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
	tick := time.NewTicker(u.sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		u.mu.Lock()
		for name, idle := range u.idle {
			u.setIdleLocked(name, slices.DeleteFunc(idle, func(c *poolConn) bool {
				done := time.Since(c.since) >= u.maxIdle || !u.trusted(c) || !c.quiet()
				if done {
					u.discard(c)
				}
				return done
			}))
		}
		u.mu.Unlock()
	}
}
