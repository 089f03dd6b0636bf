package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	idlePart  = 0.6 // idle connections are retired after this part of the time after which upstreams close them
	sweepPart = 0.1 // and looked through this often, as a part of the same
	restFor   = 5 * time.Millisecond
)

// upstreams holds the connections to upstreams. Each carries one request at a time.
type upstreams struct {
	dir            *directory
	connectTimeout time.Duration
	maxIdle        time.Duration
	sweepEvery     time.Duration
	rest           time.Duration // of a connection between an answer and the next request, see take
	maxAnswer      int           // bytes
	slots          chan struct{} // holds one for each connection that is open; full at the limit

	mu      sync.Mutex
	idle    map[string][]*upstreamConn // by upstream, the one idle for longest first
	waiting int                        // attempts that wait for a slot
}

func newUpstreams(c *Config, clk clock, most int) *upstreams {
	u := &upstreams{connectTimeout: c.Settings.ConnectTimeout, slots: make(chan struct{}, most), rest: restFor,
		maxAnswer:  int(c.Limits.MemoryMB * (1 << 20) / answerPart),
		maxIdle:    time.Duration(float64(c.Settings.ConnIdle) * idlePart),
		sweepEvery: time.Duration(float64(c.Settings.ConnIdle) * sweepPart), idle: map[string][]*upstreamConn{}}
	u.dir = newDirectory(clk, u.drop)
	return u
}

// upstreamConn is one connection. Nothing reads from it between exchanges: see quiet.
type upstreamConn struct {
	net.Conn
	raw   syscall.RawConn
	name  string
	at    place
	since time.Time // when it became idle
}

var errSaturated = errors.New("all upstream connections that the limits allow are busy")

// quiet tells whether the connection is open and brought nothing since its last answer. What came after that
// belongs to no request: it would be read as the answer to the next.
func (c *upstreamConn) quiet() bool {
	var err error
	if failed := c.raw.Read(func(fd uintptr) bool {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); failed != nil {
		return false
	}
	return err == syscall.EAGAIN
}

// connection returns a connection to an upstream: the one that was used last of those that have rested, or a new
// one. At the limit it closes the one idle for longest, and where all are busy it waits until ctx ends.
func (u *upstreams) connection(ctx context.Context, name string, at place) (c *upstreamConn, reused bool, err error) {
	if c = u.take(name, at); c != nil {
		return c, true, nil
	}
	if err = u.slot(ctx); err != nil {
		return nil, false, err
	}
	dialer := net.Dialer{Timeout: u.connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", at.address)
	if err != nil {
		<-u.slots
		return nil, false, fmt.Errorf("connecting to %s: %w", name, err)
	}
	c = &upstreamConn{Conn: conn, name: name, at: at}
	if c.raw, err = conn.(*net.TCPConn).SyscallConn(); err != nil {
		u.discard(c)
		return nil, false, fmt.Errorf("connecting to %s: %w", name, err)
	}
	return c, false, nil
}

// slot makes room for one more connection.
func (u *upstreams) slot(ctx context.Context) error {
	select {
	case u.slots <- struct{}{}:
		return nil
	default:
	}
	u.mu.Lock()
	u.evictLocked()
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errSaturated
	}
}

// evictLocked closes the connection that has been idle for longest.
func (u *upstreams) evictLocked() {
	var oldest *upstreamConn
	for _, idle := range u.idle {
		if oldest == nil || idle[0].since.Before(oldest.since) {
			oldest = idle[0]
		}
	}
	if oldest != nil {
		u.setIdleLocked(oldest.name, slices.Delete(u.idle[oldest.name], 0, 1))
		u.discard(oldest)
	}
}

func (u *upstreams) setIdleLocked(name string, idle []*upstreamConn) {
	if len(idle) == 0 {
		delete(u.idle, name) // names are ever new
	} else {
		u.idle[name] = idle
	}
}

// take returns the upstream's connection that was used last, or nil. Guards against answers that are not this
// request's: a second copy or noise behind an answer may come a moment after it, so a connection rests before
// its next request, and one that brought anything meanwhile is closed.
func (u *upstreams) take(name string, at place) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	idle := u.idle[name]
	defer func() { u.setIdleLocked(name, idle) }()
	now := time.Now()
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if now.Sub(c.since) < u.rest {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		if c.at == at && c.quiet() {
			return c
		}
		u.discard(c)
	}
	return nil
}

func (u *upstreams) put(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting > 0 || !u.dir.ready(c.name, c.at) {
		u.discard(c)
		return
	}
	c.since = time.Now()
	u.idle[c.name] = append(u.idle[c.name], c)
}

func (u *upstreams) discard(c *upstreamConn) {
	c.Close()
	<-u.slots
}

// drop closes an upstream's idle connections; those in use end with what they carry, see put.
func (u *upstreams) drop(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[name] {
		u.discard(c)
	}
	delete(u.idle, name)
}

// sweep retires idle connections until ctx ends: those that upstreams are about to close, and those that have ended
// or brought something that nobody asked for.
func (u *upstreams) sweep(ctx context.Context) {
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
			u.setIdleLocked(name, slices.DeleteFunc(idle, func(c *upstreamConn) bool {
				done := time.Since(c.since) >= u.maxIdle || !c.quiet()
				if done {
					u.discard(c)
				}
				return done
			}))
		}
		u.mu.Unlock()
	}
}
