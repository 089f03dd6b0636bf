package raftgroup

import (
	"context"
	"time"

	"orchiddrift/internal/lease"
)

const (
	maxUnreadReplies   = 16 // replies, and errors, that wait for the driver
	maxTrackedReleases = 9  // requests that give the lease back, which the driver waits for at its end
	longPollTenths     = 9  // tenths of the retry interval for which a waiter's reply may be held back: it repeats its request soon after
)

// RunWhileHeld acquires a lease, does the work while it is held, and acquires it again when it was lost, until ctx ends. It returns when the
// work has ended and the lease has been released, or after one retry interval without a reply to that.
func RunWhileHeld(ctx context.Context, requester Requester, options lease.HolderOptions, work Work) {
	// Requests outlive ctx: the lease is released after it has ended.
	requestCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d := &holderDriver{ctx: requestCtx, options: options, requester: requester, work: work, holder: lease.NewHolder(options),
		replies: make(chan lease.Reply, maxUnreadReplies), errors: make(chan error, maxUnreadReplies)}
	d.run(ctx.Done())
}

// holderDriver drives a lease.Holder. All but send's goroutines runs on the goroutine of RunWhileHeld.
type holderDriver struct {
	ctx       context.Context // of requests
	options   lease.HolderOptions
	requester Requester
	work      Work
	holder    *lease.Holder
	replies   chan lease.Reply
	errors    chan error
	stopped   <-chan struct{} // closed when the work has ended that is to stop; nil: no work is to stop
	token     lease.Token     // under which the work was started
	until     time.Duration   // that the work was last notified of
	releases  []chan struct{} // each closed when a request that gives the lease back was answered
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

// send sends a request on a goroutine of its own, so that one that hangs delays no other.
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

// awaitReleases waits until the last requests that give the lease back were answered, for one retry interval at most.
func (d *holderDriver) awaitReleases() {
	timeout := time.After(d.options.RetryInterval)
	for _, answered := range d.releases {
		for waiting := true; waiting; {
			select {
			case <-answered:
				waiting = false
			case <-d.replies: // drained, so that no request waits for room
			case <-d.errors:
			case <-timeout:
				return
			}
		}
	}
}
