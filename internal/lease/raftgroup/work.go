package raftgroup

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"orchiddrift/internal/lease"
)

// Requester sends requests to the group that replicates the lease table. Client implements it.
type Requester interface {
	// Request returns the group's reply. A member may delay a reply with the status lease.Waiting for at most longPoll. A call to one member takes at
	// most longPoll plus timeout.
	Request(ctx context.Context, request lease.Request, longPoll, timeout time.Duration) (lease.Reply, error)
}

// Work is the work that RunWhileHeld runs while a lease is held. RunWhileHeld calls its methods from one goroutine, and they must not block. Times
// are by BootTime.
type Work interface {
	// Start starts the work under a fencing token. The parameter until is the time by which the work must have ended, unless Extend sets a later
	// time.
	Start(token lease.Token, until time.Duration)
	// Extend sets a later end of the grant.
	Extend(until time.Duration)
	// Stop makes the work end within the margin. The channel is closed when the work has ended.
	Stop(reason lease.Reason) <-chan struct{}
	// Rejected reports that the lease was not granted. RunWhileHeld repeats the request.
	Rejected(reason lease.Reason)
	// Unreachable reports that a request got no reply. RunWhileHeld repeats it.
	Unreachable(err error)
}

// maxHostNameLength is the largest number of characters of the host's name in a client id.
const maxHostNameLength = 64

// NewClientID returns a client id for one incarnation of a process. Its random part makes it different from every other client id.
func NewClientID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	host, err := os.Hostname()
	if err != nil {
		host = "?"
	}
	return fmt.Sprintf("%.*s-%d-%s", maxHostNameLength, host, os.Getpid(), hex.EncodeToString(random[:]))
}
