package lease

import (
	"container/heap"
	"time"
)

// Expirations is what the leader alone knows of the record: when each holder's term is over, and when each waiter was last heard of, by its own
// clock. Nothing of it survives the leader: its successor counts all anew. It is for one goroutine.
type Expirations struct {
	table  *Table
	drift  float64
	timers map[string]*expiryTimer
	queue  timerQueue
}

// expiryTimer is the holder's, or a waiter's, of a name.
type expiryTimer struct {
	name     string
	client   string // of a waiter; "": the holder's
	sequence uint64
	token    Token
	deadline time.Duration // it is over
	proposed bool          // its end was asked for: it can't be taken back
	index    int           // in due
}

func timerKey(name, client string) string { return name + "\x00" + client }

// NewExpirations begins to lead: every term and every wait begins now. drift bounds how far a clock's rate is from true time, as a part.
func NewExpirations(now time.Duration, t *Table, drift float64) *Expirations {
	c := &Expirations{table: t, drift: drift, timers: map[string]*expiryTimer{}}
	for _, e := range t.entries {
		c.restartHolder(now, e)
		for _, w := range e.Waiters {
			c.restartWaiter(now, e.Name, w)
		}
	}
	return c
}

func (c *Expirations) withDrift(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*c.drift)
}

func (c *Expirations) restart(now time.Duration, a expiryTimer, term time.Duration) {
	k := timerKey(a.name, a.client)
	x := c.timers[k]
	if x == nil {
		x = &expiryTimer{}
		c.timers[k] = x
		heap.Push(&c.queue, x)
	}
	a.index, a.deadline = x.index, now+c.withDrift(term)
	*x = a
	heap.Fix(&c.queue, x.index)
}

func (c *Expirations) restartHolder(now time.Duration, e *Entry) {
	c.restart(now, expiryTimer{name: e.Name, token: e.Token}, e.Duration)
}

func (c *Expirations) restartWaiter(now time.Duration, name string, w Waiter) {
	c.restart(now, expiryTimer{name: name, client: w.Client, sequence: w.Sequence}, w.Duration)
}

func (c *Expirations) remove(name, client string) {
	k := timerKey(name, client)
	if x := c.timers[k]; x != nil {
		delete(c.timers, k)
		heap.Remove(&c.queue, x.index)
	}
}

// Applied is told of each ask that the table has applied, with what came of it, and returns what its client may be told. A holder that has
// not heard of its grant gets no term any more once its end was asked for: that is on its way, and can't be taken back.
func (c *Expirations) Applied(now time.Duration, a Request, r Reply, granted *Entry) Reply {
	e := c.table.entries[a.Name]
	switch {
	case e == nil:
		c.remove(a.Name, "")
	case granted != nil:
		c.restartHolder(now, e)
		c.remove(a.Name, e.Holder)
	case r.Status == Granted:
		if x := c.timers[timerKey(a.Name, "")]; x == nil || x.proposed {
			return a.reply(NotHeld)
		}
		c.restartHolder(now, e)
	}
	switch {
	case r.Status == Waiting:
		c.restartWaiter(now, a.Name, e.Waiters[r.Position-1])
	case a.Kind == RemoveWaiter:
		if x := c.timers[timerKey(a.Name, a.Client)]; x != nil && x.sequence == a.Sequence {
			c.remove(a.Name, a.Client)
		}
	}
	return r
}

// Renew answers a holder that wants another term. It is called only once the leader has made sure, after the ask came, that it leads still,
// and with all applied that was confirmed before. Nothing is written: a new leader counts anew.
func (c *Expirations) Renew(now time.Duration, a Request) Reply {
	e, x := c.table.entries[a.Name], c.timers[timerKey(a.Name, "")]
	if e == nil || x == nil || e.Holder != a.Client || e.Token != a.Token || e.Revoked || x.proposed {
		return a.reply(NotHeld)
	}
	c.restartHolder(now, e)
	return e.grantedReply(a)
}

// AnswerRepeated tells whether an Acquire changes nothing in the record: a waiter that says that it is still there, whose wait begins anew, or a
// holder that has not heard. Such an ask need not be applied; what Renew asks for is asked for here too.
func (c *Expirations) AnswerRepeated(now time.Duration, a Request) (Reply, bool) {
	e := c.table.entries[a.Name]
	if a.Kind != Acquire || e == nil {
		return Reply{}, false
	}
	if e.Holder == a.Client && e.Sequence == a.Sequence && !e.TransferPending {
		a.Token = e.Token
		return c.Renew(now, a), true
	}
	for i, w := range e.Waiters {
		if x := c.timers[timerKey(a.Name, a.Client)]; w.Client == a.Client && w.Sequence == a.Sequence && x != nil && !x.proposed {
			c.restartWaiter(now, a.Name, w)
			r := a.reply(Waiting)
			r.Position, r.Holder = i+1, e.Holder
			return r, true
		}
	}
	return Reply{}, false
}

// reproposalDelay is how long an end that was asked for may take to be applied: what was asked may have been lost on the way.
const reproposalDelay = time.Second

// Expired returns the asks by which the leader ends what is over. They are to be applied as any other, unless the one who asks leads no longer.
func (c *Expirations) Expired(now time.Duration) (out []Request) {
	for len(c.queue) > 0 && c.queue[0].deadline <= now {
		x := c.queue[0]
		x.proposed, x.deadline = true, now+reproposalDelay
		heap.Fix(&c.queue, 0)
		if x.client == "" {
			out = append(out, Request{Kind: Expire, Name: x.name, Token: x.token})
		} else {
			out = append(out, Request{Kind: RemoveWaiter, Name: x.name, Client: x.client, Sequence: x.sequence})
		}
	}
	return out
}

// Next is when Due may have something; false: not before something else happens.
func (c *Expirations) Next() (time.Duration, bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	return c.queue[0].deadline, true
}

// Remaining is how much of a name's term there is.
func (c *Expirations) Remaining(now time.Duration, name string) time.Duration {
	if x := c.timers[timerKey(name, "")]; x != nil {
		return max(0, x.deadline-now)
	}
	return 0
}

// timerQueue is a heap by time.
type timerQueue []*expiryTimer

func (h timerQueue) Len() int           { return len(h) }
func (h timerQueue) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h timerQueue) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerQueue) Push(x any) {
	a := x.(*expiryTimer)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *timerQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}
