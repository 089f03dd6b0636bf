package raftgroup

import (
	"context"
	"time"

	"orchiddrift/internal/lease"
)

const (
	maxUnreadReplies   = 16 // largest number of replies, and of errors, that the driver has not read yet
	maxTrackedReleases = 9  // largest number of requests that end a lease or a wait and whose answers the driver awaits before it returns
	longPollTenths     = 9  // tenths of the retry interval for which a waiter's reply may be delayed; the waiter repeats its request soon after
)

// RunWhileHeld acquires a lease, runs the work while the lease is held, and acquires it again after it was lost, until ctx ends. It returns when
// the work has ended and the lease has been released, or when the release got no reply within one retry interval.
func RunWhileHeld(ctx context.Context, requester Requester, options lease.HolderOptions, work Work) {
	// The context of the requests outlives ctx, because the lease is released after ctx has ended.
	requestCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d := &holderDriver{ctx: requestCtx, options: options, requester: requester, work: work, holder: lease.NewHolder(options),
		replies: make(chan lease.Reply, maxUnreadReplies), errors: make(chan error, maxUnreadReplies)}
	d.run(ctx.Done())
}

// holderDriver drives a lease.Holder. Its methods run on the goroutine of RunWhileHeld; send starts one more goroutine for each request.
type holderDriver struct {
	ctx       context.Context // context of the requests
	options   lease.HolderOptions
	requester Requester
	work      Work
	holder    *lease.Holder
	replies   chan lease.Reply
	errors    chan error
	stopped   <-chan struct{} // closed when stopping work has ended; nil if no work is stopping
	token     lease.Token     // the token under which the work was started
	until     time.Duration   // the end of the grant of which the work was last notified
	releases  []chan struct{} // one for each request that ends a lease or a wait, closed when it was answered or failed
}

// run drives the holder until done is closed and the work has ended.
func (d *holderDriver) run(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	d.perform(d.holder.Acquire(BootTime()))
	releasing := false
	for !releasing || d.stopped != nil {
		if next, ok := d.holder.Next(); ok {
			timer.Reset(max(0, next-BootTime()))
		}
		select {
		case <-done:
			done, releasing = nil, true
			d.perform(d.holder.Release(BootTime(), ""))
		case <-timer.C:
			d.perform(d.holder.Tick(BootTime()))
		case reply := <-d.replies:
			d.perform(d.holder.HandleReply(BootTime(), reply))
		case err := <-d.errors:
			d.work.Unreachable(err)
		case <-d.stopped:
			d.stopped = nil
			d.perform(d.holder.WorkStopped(BootTime()))
		}
		d.extendWork()
	}
	d.awaitReleases()
}

// perform carries out the holder's actions.
func (d *holderDriver) perform(actions []lease.Action) {
	for _, action := range actions {
		switch action.Kind {
		case lease.ActionSend:
			d.send(action.Request)
		case lease.ActionStartWork:
			d.token, d.until = action.Token, action.Until
			d.work.Start(action.Token, action.Until)
		case lease.ActionStopWork:
			d.stopped = d.work.Stop(action.Reason)
		case lease.ActionReportRejection:
			d.work.Rejected(action.Reason)
		}
	}
}

// extendWork notifies the work that its grant was extended.
func (d *holderDriver) extendWork() {
	if token, until, ok := d.holder.Held(BootTime()); ok && token == d.token && until > d.until {
		d.until = until
		d.work.Extend(until)
	}
}

// send sends a request on its own goroutine, so that a request that hangs does not delay others.
func (d *holderDriver) send(request lease.Request) {
	longPoll := time.Duration(0)
	if request.Kind == lease.Acquire && request.Wait {
		longPoll = d.options.RetryInterval * longPollTenths / 10
	}
	answered := make(chan struct{})
	if request.Kind != lease.Acquire && request.Kind != lease.Renew {
		d.releases = append(d.releases[max(0, len(d.releases)-maxTrackedReleases+1):], answered)
	}
	go func() {
		defer close(answered)
		reply, err := d.requester.Request(d.ctx, request, longPoll, d.options.RetryInterval)
		if err != nil {
			select {
			case d.errors <- err:
			case <-d.ctx.Done():
			}
			return
		}
		select {
		case d.replies <- reply:
		case <-d.ctx.Done():
		}
	}()
}

// awaitReleases waits until the requests in releases were answered, for at most one retry interval.
func (d *holderDriver) awaitReleases() {
	timeout := time.After(d.options.RetryInterval)
	for _, answered := range d.releases {
		for waiting := true; waiting; {
			select {
			case <-answered:
				waiting = false
			case <-d.replies: // read and dropped, so that the goroutines of send do not block
			case <-d.errors:
			case <-timeout:
				return
			}
		}
	}
}
