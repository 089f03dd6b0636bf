package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"orchiddrift/internal/endpoints"
)

// handshakeGrace is how long the setup of a TLS connection may go on after its attempt was cancelled. Most of the cost of the setup has
// been paid by then, and later requests can use the connection.
const handshakeGrace = 100 * time.Millisecond

// errSaturated reports that no connection slot, file descriptor or port became free in time. This is not a failure of the upstream.
var errSaturated = errors.New("no connection slot, file descriptor or port became free in time")

// connection returns an idle connection to an upstream, or a new one. It waits for a connection slot until ctx or caller ends; caller may
// be nil.
func (p *Pool) connection(ctx, caller context.Context, name string, instance endpoints.Instance) (conn *pooledConn, reused bool, err error) {
	if conn = p.takeIdle(name, instance); conn != nil {
		return conn, true, nil
	}
	if caller != nil && caller.Done() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(caller, cancel)()
	}
	if err = p.acquireSlot(ctx); err != nil {
		return nil, false, err
	}
	if conn, err = p.connect(ctx, name, instance); err != nil {
		return nil, false, fmt.Errorf("connecting to %s: %w", name, err)
	}
	return conn, false, nil
}

// acquireSlot acquires a connection slot, and waits for one until ctx ends.
func (p *Pool) acquireSlot(ctx context.Context) error {
	if p.connectionSlots.TryAcquire(p.service, 1) {
		return nil
	}
	if p.connectionSlots.Acquire(ctx, p.service, 1) != nil {
		return errSaturated
	}
	return nil
}

// connect dials with a slot that its caller has acquired, and releases the slot on failure.
func (p *Pool) connect(ctx context.Context, name string, instance endpoints.Instance) (*pooledConn, error) {
	if p.tlsClient != nil {
		return p.connectTLS(ctx, name, instance)
	}
	conn, err := p.dial(ctx, name, instance)
	if err != nil {
		p.connectionSlots.Release(p.service, 1)
	}
	return conn, err
}

// dialResult is the result of a dial that runs on its own goroutine.
type dialResult struct {
	conn *pooledConn
	err  error
}

// connectTLS does the same as connect for an encrypted connection. If ctx ends first, the setup may go on for handshakeGrace, and the
// connection then goes to the pool.
func (p *Pool) connectTLS(ctx context.Context, name string, instance endpoints.Instance) (*pooledConn, error) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan dialResult, 1)
	go func() {
		conn, err := p.dial(detached, name, instance)
		done <- dialResult{conn, err}
	}()
	select {
	case result := <-done:
		cancel()
		if result.err != nil {
			p.connectionSlots.Release(p.service, 1)
		}
		return result.conn, result.err
	case <-ctx.Done():
	}
	go func() {
		defer cancel()
		defer time.AfterFunc(handshakeGrace, cancel).Stop()
		result := <-done
		if result.err != nil {
			p.connectionSlots.Release(p.service, 1)
			return
		}
		p.putIdle(result.conn)
	}()
	return nil, ctx.Err()
}

// dial opens a connection and performs its TLS handshake. No byte of a request is sent before it returns.
func (p *Pool) dial(ctx context.Context, name string, instance endpoints.Instance) (*pooledConn, error) {
	connectCtx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	socket, err := p.dialSocket(connectCtx, instance.Address)
	if err != nil {
		return nil, err
	}
	conn := &pooledConn{Conn: socket, name: name, instance: instance}
	p.prewarming.count(name, 1)
	if err := p.secure(connectCtx, conn, socket); err != nil {
		socket.Close()
		p.prewarming.count(name, -1)
		return nil, err
	}
	return conn, nil
}

// dialSocket opens a TCP connection within the timeout that connectTimes derives from recent connect durations. It retries with backoff if this
// machine lacked resources.
func (p *Pool) dialSocket(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimes.timeout(p.connectTimeout))
	defer cancel()
	started := time.Now()
	socket, err := p.dialTCP(ctx, address)
	for backoff := minDialBackoff; isLocalError(err); backoff = min(2*backoff, maxDialBackoff) {
		if err = p.awaitResources(ctx, backoff, err); err != nil {
			return nil, err
		}
		started = time.Now()
		socket, err = p.dialTCP(ctx, address)
	}
	if err != nil {
		return nil, err
	}
	p.connectTimes.record(time.Since(started))
	return socket, nil
}

// secure performs the TLS handshake if the pool encrypts its connections, and sets the fields of conn that belong to the socket.
func (p *Pool) secure(ctx context.Context, conn *pooledConn, socket net.Conn) (err error) {
	if conn.rawSocket, err = socket.(*net.TCPConn).SyscallConn(); err != nil || p.tlsClient == nil {
		return err
	}
	conn.tlsSocket = &countingConn{Conn: socket}
	if conn.tlsConn, err = p.tlsClient.Handshake(ctx, conn.tlsSocket, conn.instance); err != nil {
		return err
	}
	conn.Conn = conn.tlsConn
	return nil
}
