package raftgroup

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"orchiddrift/internal/lease"
)

// reconnectBackoff is how soon a broken connection to a member is made again.
var reconnectBackoff = backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// BootTime is the time since the machine started, which goes on while it sleeps.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had it since 2.6.39
	}
	return time.Duration(t.Nano())
}

// DeclaredPeers are the members that the operator's file names.
func DeclaredPeers(d *lease.Declaration) (out []Peer) {
	for _, m := range d.Members {
		out = append(out, Peer(m))
	}
	return out
}

// Client asks a group. It is safe for concurrent use.
type Client struct {
	fleet string
	peers []Peer
	conns []*grpc.ClientConn

	mu   sync.Mutex
	lead int // the member that is asked first
}

// NewClient returns a client of a group's members. It connects as it asks.
func NewClient(fleet string, peers []Peer) (*Client, error) {
	c := &Client{fleet: fleet, peers: peers}
	for _, p := range peers {
		conn, err := dial(p.Address)
		if err != nil {
			return nil, errors.Join(err, c.Close())
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close ends its connections.
func (c *Client) Close() (err error) {
	for _, conn := range c.conns {
		err = errors.Join(err, conn.Close())
	}
	return err
}

func (c *Client) hello() callHeader { return callHeader{Version: protocolVersion, Fleet: c.fleet} }

// Request asks the leader once, and each of the others at most once on the way to it. patience bounds what one member may take beside hold.
func (c *Client) Request(ctx context.Context, a lease.Request, hold, patience time.Duration) (lease.Reply, error) {
	c.mu.Lock()
	at := c.lead
	c.mu.Unlock()
	var last error = ErrNoLeader
	for range len(c.peers) + 1 {
		one, cancel := context.WithTimeout(ctx, hold+patience)
		r, err := call[requestAnswer](one, c.conns[at], "Ask", requestCall{c.hello(), a, hold})
		cancel()
		if err == nil && r.Reply.Status != 0 {
			c.mu.Lock()
			c.lead = at
			c.mu.Unlock()
			return r.Reply, nil
		}
		if ctx.Err() != nil {
			return lease.Reply{}, ctx.Err()
		}
		if err != nil {
			last = err
		}
		at = c.after(at, r.Leader)
	}
	c.mu.Lock()
	c.lead = at
	c.mu.Unlock()
	return lease.Reply{}, fmt.Errorf("no member answers for the group: %w", last)
}

// after is the member to ask next: the one that is said to lead, or the next in the list.
func (c *Client) after(at int, leader string) int {
	for i, p := range c.peers {
		if p.Name == leader && i != at {
			return i
		}
	}
	return (at + 1) % len(c.peers)
}

// Info is what each member says of itself, in their order; nil: it does not answer.
func (c *Client) Info(ctx context.Context) []*Info {
	out := make([]*Info, len(c.peers))
	var all sync.WaitGroup
	for i := range c.peers {
		all.Go(func() {
			if info, err := call[Info](ctx, c.conns[i], "Info", c.hello()); err == nil {
				out[i] = &info
			}
		})
	}
	all.Wait()
	return out
}
