package lease

import (
	"container/heap"
	"time"
)

// reproposalDelay is the time after which a proposed expiry that is not applied yet is proposed again: the proposal may have been lost.
const reproposalDelay = time.Second

// Expirations is the leader's own state beside the Table: when each grant and each wait expires by the leader's clock. It is not replicated: a
// new leader creates its own and restarts every timer. It is not safe for concurrent use.
//
// The states of a timer:
//
//	running ── the holder renews, the waiter repeats its Acquire ──▶ running, for another duration
//	running ── the deadline passes: Expired proposes the end ──────▶ proposed
//	proposed ── the proposal is applied ───────────────────────────▶ removed, or running for the next holder
//	proposed ── reproposalDelay passes ────────────────────────────▶ proposed again
//
// A grant whose expiry was proposed is never renewed: the proposal cannot be taken back.
type Expirations struct {
	table  *Table
	drift  float64 // largest relative error of a process's clock rate
	timers map[string]*expiryTimer
	queue  timerQueue // the same timers, by deadline
}

// NewExpirations returns the Expirations of a new leader: the timer of each grant and of each wait in the table starts anew. The parameter now is the
// time at which the leader begins to lead, and drift is the largest relative error of a process's clock rate.
func NewExpirations(now time.Duration, table *Table, drift float64) *Expirations {
	x := &Expirations{table: table, drift: drift, timers: map[string]*expiryTimer{}}
	for _, entry := range table.entries {
		x.restartHolder(now, entry)
		for _, waiter := range entry.Waiters {
			x.restartWaiter(now, entry.Name, waiter)
		}
	}
	return x
}

// Applied updates the timers after the table has applied a request. reply and granted are the results of Table.Apply. Applied returns the reply for
// the request's client: NotHeld if a holder repeats its Acquire after its expiry was proposed, and otherwise reply.
func (x *Expirations) Applied(now time.Duration, request Request, reply Reply, granted *Entry) Reply {
	entry := x.table.entries[request.Name]
	switch {
	case entry == nil:
		x.remove(request.Name, "")
	case granted != nil:
		x.restartHolder(now, entry)
		x.remove(request.Name, entry.Holder)
	case reply.Status == Granted:
		if timer := x.timers[timerKey(request.Name, "")]; timer == nil || timer.proposed {
			return request.Reply(NotHeld)
		}
		x.restartHolder(now, entry)
	}
	switch {
	case reply.Status == Waiting:
		x.restartWaiter(now, request.Name, entry.Waiters[reply.Position-1])
	case request.Kind == RemoveWaiter:
		if timer := x.timers[timerKey(request.Name, request.Client)]; timer != nil && timer.sequence == request.Sequence {
			x.remove(request.Name, request.Client)
		}
	}
	return reply
}

// Renew answers a holder that wants its grant extended. The caller must have confirmed, after the request arrived, that it still leads, and must
// have applied everything that was committed before. Nothing is written to the log: a new leader restarts the timer anyway.
func (x *Expirations) Renew(now time.Duration, request Request) Reply {
	entry, timer := x.table.entries[request.Name], x.timers[timerKey(request.Name, "")]
	if !entry.isHeldBy(request.Client, request.Token) || timer == nil || entry.Revoked || timer.proposed {
		return request.Reply(NotHeld)
	}
	x.restartHolder(now, entry)
	return entry.GrantedReply(request)
}

// AnswerRepeated answers an Acquire that its client sent before. Such a request changes nothing in the record and need not be proposed. The wait or
// the grant of the client is extended, and a holder gets its grant once more because the earlier reply may have been lost. ok is false if the request
// has to be proposed. The caller must have confirmed its leadership as for Renew.
func (x *Expirations) AnswerRepeated(now time.Duration, request Request) (reply Reply, ok bool) {
	entry := x.table.entries[request.Name]
	if request.Kind != Acquire || entry == nil {
		return Reply{}, false
	}
	if entry.Holder == request.Client && entry.Sequence == request.Sequence && !entry.TransferPending {
		request.Token = entry.Token
		return x.Renew(now, request), true
	}
	i := entry.waiterIndex(request.Client)
	if i < 0 || entry.Waiters[i].Sequence != request.Sequence {
		return Reply{}, false
	}
	if timer := x.timers[timerKey(request.Name, request.Client)]; timer == nil || timer.proposed {
		return Reply{}, false
	}
	x.restartWaiter(now, request.Name, entry.Waiters[i])
	return entry.waitingReply(request, i), true
}

// Expired returns the requests that end the grants and waits whose deadlines have passed. The leader proposes these requests; they must be
// applied only in the raft term in which it led.
func (x *Expirations) Expired(now time.Duration) (requests []Request) {
	for len(x.queue) > 0 && x.queue[0].deadline <= now {
		timer := x.queue[0]
		timer.proposed, timer.deadline = true, now+reproposalDelay
		heap.Fix(&x.queue, 0)
		if timer.client == "" {
			requests = append(requests, Request{Kind: Expire, Name: timer.name, Token: timer.token})
		} else {
			requests = append(requests, Request{Kind: RemoveWaiter, Name: timer.name, Client: timer.client, Sequence: timer.sequence})
		}
	}
	return requests
}

// Next returns the earliest time at which Expired may return requests. It returns false if there is no timer.
func (x *Expirations) Next() (time.Duration, bool) {
	if len(x.queue) == 0 {
		return 0, false
	}
	return x.queue[0].deadline, true
}

// Remaining returns how long the grant of a name still lasts. It returns 0 if the name is free.
func (x *Expirations) Remaining(now time.Duration, name string) time.Duration {
	if timer := x.timers[timerKey(name, "")]; timer != nil {
		return max(0, timer.deadline-now)
	}
	return 0
}

// restartHolder starts or restarts the timer of a name's grant.
func (x *Expirations) restartHolder(now time.Duration, entry *Entry) {
	x.restart(now, expiryTimer{name: entry.Name, token: entry.Token}, entry.Duration)
}

// restartWaiter starts or restarts the timer of a wait.
func (x *Expirations) restartWaiter(now time.Duration, name string, waiter Waiter) {
	x.restart(now, expiryTimer{name: name, client: waiter.Client, sequence: waiter.Sequence}, waiter.Duration)
}

// restart starts a timer, which replaces the timer with the same key.
func (x *Expirations) restart(now time.Duration, started expiryTimer, duration time.Duration) {
	key := timerKey(started.name, started.client)
	timer := x.timers[key]
	if timer == nil {
		timer = &expiryTimer{}
		x.timers[key] = timer
		heap.Push(&x.queue, timer)
	}
	started.index, started.deadline = timer.index, now+x.withDrift(duration)
	*timer = started
	heap.Fix(&x.queue, timer.index)
}

// withDrift returns how long the leader waits for a duration to pass by its own clock, so that a holder with a slow clock has stopped by then.
func (x *Expirations) withDrift(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*x.drift)
}

// remove stops a timer.
func (x *Expirations) remove(name, client string) {
	key := timerKey(name, client)
	if timer := x.timers[key]; timer != nil {
		delete(x.timers, key)
		heap.Remove(&x.queue, timer.index)
	}
}
