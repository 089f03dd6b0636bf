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

// Requester is where leases are kept: a Client, or another home of the record.
type Requester interface {
	// Ask brings an ask to the record. The answer may be held back for hold, and take patience beside that.
	Request(ctx context.Context, a lease.Request, hold, patience time.Duration) (lease.Reply, error)
}

// Work is what is done while a lease is held. Its methods are called one after the other, and return at once.
type Work interface {
	// Begin begins the act under a token; it may go on until then, by Boottime.
	Start(token lease.Token, until time.Duration)
	// Extend says that it may go on for longer.
	Extend(until time.Duration)
	// End has the act end, within the margin. The channel is closed once it has.
	Stop(why lease.Reason) <-chan struct{}
	// Turned tells that the lease is not to be had now.
	Rejected(why lease.Reason)
	// Unreached tells that nobody answered.
	Unreachable(err error)
}

// NewClientID names one life of one process: it is never used again.
func NewClientID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it does not fail
	host, err := os.Hostname()
	if err != nil {
		host = "?"
	}
	return fmt.Sprintf("%.64s-%d-%s", host, os.Getpid(), hex.EncodeToString(b[:]))
}

// RunWhileHeld wants a lease until ctx ends, and has the task act while it is held. It returns once the act has ended and the lease was given back, or
// that was tried.
func RunWhileHeld(ctx context.Context, at Requester, o lease.HolderOptions, task Work) {
	k := &holderDriver{o: o, at: at, task: task, h: lease.NewHolder(o), replies: make(chan lease.Reply, 16), failed: make(chan error, 16)}
	asking, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	k.ctx = asking
	timer := time.NewTimer(0)
	defer timer.Stop()
	k.do(k.h.Acquire(BootTime()))
	done, leaving := ctx.Done(), false
	for {
		if leaving && k.stopped == nil {
			k.wait()
			return
		}
		if at, ok := k.h.Next(); ok {
			timer.Reset(max(0, at-BootTime()))
		}
		select {
		case <-done:
			done, leaving = nil, true
			k.do(k.h.Release(BootTime(), ""))
		case <-timer.C:
			k.do(k.h.Tick(BootTime()))
		case r := <-k.replies:
			k.do(k.h.HandleReply(BootTime(), r))
		case err := <-k.failed:
			k.task.Unreachable(err)
		case <-k.stopped:
			k.stopped = nil
			k.do(k.h.WorkStopped(BootTime()))
		}
		if token, until, ok := k.h.Held(BootTime()); ok && token == k.token && until > k.until {
			k.until = until
			k.task.Extend(until)
		}
	}
}

type holderDriver struct {
	o       lease.HolderOptions
	at      Requester
	task    Work
	h       *lease.Holder
	ctx     context.Context
	replies chan lease.Reply
	failed  chan error
	stopped <-chan struct{} // the act's end that is waited for; nil: none is
	token   lease.Token
	until   time.Duration
	last    []chan struct{} // asks that give back
}

func (k *holderDriver) do(acts []lease.Action) {
	for _, a := range acts {
		switch a.Kind {
		case lease.ActionSend:
			k.send(a.Request)
		case lease.ActionStartWork:
			k.token, k.until = a.Token, a.Until
			k.task.Start(a.Token, a.Until)
		case lease.ActionStopWork:
			k.stopped = k.task.Stop(a.Reason)
		case lease.ActionReportRejection:
			k.task.Rejected(a.Reason)
		}
	}
}

// send asks on a goroutine of its own: an ask that hangs holds nobody up.
func (k *holderDriver) send(a lease.Request) {
	hold := time.Duration(0)
	if a.Kind == lease.Acquire && a.Wait {
		hold = k.o.RetryInterval * 9 / 10 // until it asks again
	}
	over := make(chan struct{})
	if a.Kind != lease.Acquire && a.Kind != lease.Renew {
		k.last = append(k.last[max(0, len(k.last)-8):], over)
	}
	go func() {
		defer close(over)
		r, err := k.at.Request(k.ctx, a, hold, k.o.RetryInterval)
		if err != nil {
			select {
			case k.failed <- err:
			case <-k.ctx.Done():
			}
			return
		}
		select {
		case k.replies <- r:
		case <-k.ctx.Done():
		}
	}()
}

// wait gives what is being given back a moment to arrive.
func (k *holderDriver) wait() {
	late := time.After(k.o.RetryInterval)
	for _, over := range k.last {
		for waits := true; waits; {
			select {
			case <-over:
				waits = false
			case <-k.replies:
			case <-k.failed:
			case <-late:
				return
			}
		}
	}
}
