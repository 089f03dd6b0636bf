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

// Asker is where leases are kept: a Client, or another home of the record.
type Asker interface {
	// Ask brings an ask to the record. The answer may be held back for hold, and take patience beside that.
	Ask(ctx context.Context, a lease.Ask, hold, patience time.Duration) (lease.Reply, error)
}

// Task is what is done while a lease is held. Its methods are called one after the other, and return at once.
type Task interface {
	// Begin begins the act under a token; it may go on until then, by Boottime.
	Begin(token lease.Token, until time.Duration)
	// Extend says that it may go on for longer.
	Extend(until time.Duration)
	// End has the act end, within the margin. The channel is closed once it has.
	End(why lease.Why) <-chan struct{}
	// Turned tells that the lease is not to be had now.
	Turned(why lease.Why)
	// Unreached tells that nobody answered.
	Unreached(err error)
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

// Keep wants a lease until ctx ends, and has the task act while it is held. It returns once the act has ended and the lease was given back, or
// that was tried.
func Keep(ctx context.Context, at Asker, o lease.HolderOptions, task Task) {
	k := &keeping{o: o, at: at, task: task, h: lease.NewHolder(o), replies: make(chan lease.Reply, 16), failed: make(chan error, 16)}
	asking, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	k.ctx = asking
	timer := time.NewTimer(0)
	defer timer.Stop()
	k.do(k.h.Want(Boottime()))
	done, leaving := ctx.Done(), false
	for {
		if leaving && k.stopped == nil {
			k.wait()
			return
		}
		if at, ok := k.h.Next(); ok {
			timer.Reset(max(0, at-Boottime()))
		}
		select {
		case <-done:
			done, leaving = nil, true
			k.do(k.h.Leave(Boottime(), ""))
		case <-timer.C:
			k.do(k.h.Tick(Boottime()))
		case r := <-k.replies:
			k.do(k.h.Heard(Boottime(), r))
		case err := <-k.failed:
			k.task.Unreached(err)
		case <-k.stopped:
			k.stopped = nil
			k.do(k.h.Stopped(Boottime()))
		}
		if token, until, ok := k.h.May(Boottime()); ok && token == k.token && until > k.until {
			k.until = until
			k.task.Extend(until)
		}
	}
}

type keeping struct {
	o       lease.HolderOptions
	at      Asker
	task    Task
	h       *lease.Holder
	ctx     context.Context
	replies chan lease.Reply
	failed  chan error
	stopped <-chan struct{} // the act's end that is waited for; nil: none is
	token   lease.Token
	until   time.Duration
	last    []chan struct{} // asks that give back
}

func (k *keeping) do(acts []lease.Act) {
	for _, a := range acts {
		switch a.Do {
		case lease.Send:
			k.send(a.Ask)
		case lease.Begin:
			k.token, k.until = a.Token, a.Until
			k.task.Begin(a.Token, a.Until)
		case lease.End:
			k.stopped = k.task.End(a.Why)
		case lease.Turned:
			k.task.Turned(a.Why)
		}
	}
}

// send asks on a goroutine of its own: an ask that hangs holds nobody up.
func (k *keeping) send(a lease.Ask) {
	hold := time.Duration(0)
	if a.Kind == lease.Acquire && a.Wait {
		hold = k.o.Retry * 9 / 10 // until it asks again
	}
	over := make(chan struct{})
	if a.Kind != lease.Acquire && a.Kind != lease.Renew {
		k.last = append(k.last[max(0, len(k.last)-8):], over)
	}
	go func() {
		defer close(over)
		r, err := k.at.Ask(k.ctx, a, hold, k.o.Retry)
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
func (k *keeping) wait() {
	late := time.After(k.o.Retry)
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
