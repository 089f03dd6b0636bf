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

// Requester sends requests to the record of leases. Client implements it.
type Requester interface {
	// Request returns the record's reply. The reply may be held back for longPoll while its status would be lease.Waiting; timeout bounds what one member
	// takes beside that.
	Request(ctx context.Context, request lease.Request, longPoll, timeout time.Duration) (lease.Reply, error)
}

// Work is what is done while a lease is held. RunWhileHeld calls its methods from one goroutine; they must return at once. Times are by BootTime.
type Work interface {
	// Start starts the work under a token. It must have ended by until, unless Extend moves that.
	Start(token lease.Token, until time.Duration)
	// Extend moves the end of the grant.
	Extend(until time.Duration)
	// Stop makes the work end within the margin. The channel is closed once it has ended.
	Stop(reason lease.Reason) <-chan struct{}
	// Rejected reports that the lease is not to be had now. RunWhileHeld asks again.
	Rejected(reason lease.Reason)
	// Unreachable reports that a request got no reply. RunWhileHeld asks again.
	Unreachable(err error)
}

// maxHostNameLength is how much of the host's name a client id has, in characters.
const maxHostNameLength = 64

// NewClientID returns the name of a client, for one incarnation of one process. It never returns the same name again.
func NewClientID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // it never fails
	host, err := os.Hostname()
	if err != nil {
		host = "?"
	}
	return fmt.Sprintf("%.*s-%d-%s", maxHostNameLength, host, os.Getpid(), hex.EncodeToString(random[:]))
}
