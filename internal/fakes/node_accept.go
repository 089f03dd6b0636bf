package fakes

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"
)

// listen accepts connections at address. It returns the address with the actual port.
func (n *Node) listen(address string, serve func(net.Conn)) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("node %s: listening: %w", n.options.Name, err)
	}
	n.accept(l, serve)
	return l.Addr().String(), nil
}

// accept serves the connections of a listener until the listener closes. If the node is down, it resets them.
func (n *Node) accept(l net.Listener, serve func(net.Conn)) {
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			down := n.down
			if !down {
				n.conns[c] = true
				n.wg.Go(func() {
					if n.options.TLS != nil {
						serve(tls.Server(c, n.options.TLS))
					} else {
						serve(c)
					}
					c.Close()
					n.mu.Lock()
					delete(n.conns, c)
					n.mu.Unlock()
				})
			}
			n.mu.Unlock()
			if down {
				reset(c)
			}
		}
	})
}

// reset closes a connection, with a TCP reset if it is a plain TCP connection.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // after an error the connection closes without a reset
	}
	c.Close()
}

// activeFault reports whether an active fault of the given kind affects a request of the class, and returns the
// Factor of that fault.
func (n *Node) activeFault(kind FaultKind, class string) (float64, bool) {
	t := time.Since(n.createdAt)
	for i := range n.options.Faults {
		f := &n.options.Faults[i]
		if f.Kind != kind || f.Class != "" && f.Class != class {
			continue
		}
		if isActive, _ := f.active(t); !isActive {
			continue
		}
		if f.Share > 0 {
			n.mu.Lock()
			hit := n.rng.Float64() < f.Share
			n.mu.Unlock()
			if !hit {
				continue
			}
		}
		return f.Factor, true
	}
	return 0, false
}

// waitWhileFrozen waits until no Freeze fault is active.
func (n *Node) waitWhileFrozen(ctx context.Context) error {
	for {
		frozenUntil := time.Duration(-1)
		t := time.Since(n.createdAt)
		for i := range n.options.Faults {
			if f := &n.options.Faults[i]; f.Kind == Freeze {
				if isActive, change := f.active(t); isActive {
					frozenUntil = change
				}
			}
		}
		switch {
		case frozenUntil < 0:
			return ctx.Err()
		case frozenUntil == 0: // the fault never ends
			<-ctx.Done()
			return ctx.Err()
		}
		if err := sleep(ctx, frozenUntil-t); err != nil {
			return err
		}
	}
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
