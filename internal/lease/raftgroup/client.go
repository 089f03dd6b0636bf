package raftgroup

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"orchiddrift/internal/lease"
)

// Client sends lease requests to a raft group. It is safe for concurrent use.
type Client struct {
	fleet string
	peers []Peer
	conns []*grpc.ClientConn // by index of peers

	mu    sync.Mutex
	first int // index of the member to ask first
}

// NewClient returns a client of a group. The client connects to a member with its first request to it.
func NewClient(fleet string, peers []Peer) (*Client, error) {
	c := &Client{fleet: fleet, peers: peers}
	for _, peer := range peers {
		conn, err := dial(peer.Address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("creating the connection to member %s: %w", peer.Name, err), c.Close())
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close closes the client's connections.
func (c *Client) Close() (err error) {
	for _, conn := range c.conns {
		err = errors.Join(err, conn.Close())
	}
	return err
}

// Request implements Requester. It first asks the member that answered the last request. A member that does not lead answers with the leader's name
// if it knows that name. Request then asks the leader, or otherwise the next member in the list.
func (c *Client) Request(ctx context.Context, request lease.Request, longPoll, timeout time.Duration) (lease.Reply, error) {
	var lastErr error = ErrNoLeader
	member := c.firstMember()
	for range len(c.peers) + 1 {
		answer, err := c.requestFrom(ctx, member, request, longPoll, timeout)
		if err == nil && answer.Reply.Status != 0 {
			c.setFirstMember(member)
			return answer.Reply, nil
		}
		if ctx.Err() != nil {
			return lease.Reply{}, ctx.Err()
		}
		if err != nil {
			lastErr = err
		}
		member = c.nextMember(member, answer.Leader)
	}
	c.setFirstMember(member)
	return lease.Reply{}, fmt.Errorf("lease request: no member answers for the raft group: %w", lastErr)
}

// requestFrom sends the request to one member.
func (c *Client) requestFrom(ctx context.Context, member int, request lease.Request, longPoll, timeout time.Duration) (requestAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, longPoll+timeout)
	defer cancel()
	return call[requestAnswer](ctx, c.conns[member], methodAsk, requestCall{c.header(), request, longPoll})
}

// nextMember returns the index of the member to ask after a member that gave no reply: the leader that this member named, or the next member in the
// list.
func (c *Client) nextMember(member int, leader string) int {
	for i, peer := range c.peers {
		if peer.Name == leader && i != member {
			return i
		}
	}
	return (member + 1) % len(c.peers)
}

func (c *Client) firstMember() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

func (c *Client) setFirstMember(member int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = member
}

func (c *Client) header() callHeader { return callHeader{Version: protocolVersion, Fleet: c.fleet} }

// Info returns the report of each member, in the order of the peers. The entry of a member that does not answer is nil.
func (c *Client) Info(ctx context.Context) []*Info {
	infos := make([]*Info, len(c.peers))
	var calls sync.WaitGroup
	for i := range c.peers {
		calls.Go(func() {
			if info, err := call[Info](ctx, c.conns[i], methodInfo, c.header()); err == nil {
				infos[i] = &info
			}
		})
	}
	calls.Wait()
	return infos
}

// Revoke revokes the current grant of a lease, so that its holder cannot renew it. timeout bounds the call to each member.
func Revoke(ctx context.Context, requester Requester, name string, timeout time.Duration) (lease.Reply, error) {
	return requester.Request(ctx, lease.Request{Kind: lease.Revoke, Name: name, Client: NewClientID(), SendNumber: 1}, 0, timeout)
}
