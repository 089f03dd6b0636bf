package lease

import (
	"container/heap"
	"time"
)

// Expirations is what the leader alone knows of the record: when each holder's term is over, and when each waiter was last heard of, by its own
// clock. Nothing of it survives the leader: its successor counts all anew. It is for one goroutine.
type Expirations struct {
	table *Table
	drift float64
	live  map[string]*alive
	due   ends
}

// alive is the holder's, or a waiter's, of a name.
type alive struct {
	name   string
	client string // of a waiter; "": the holder's
	seq    uint64
	token  Token
	at     time.Duration // it is over
	asked  bool          // its end was asked for: it can't be taken back
	index  int           // in due
}

func key(name, client string) string { return name + "\x00" + client }

// NewExpirations begins to lead: every term and every wait begins now. drift bounds how far a clock's rate is from true time, as a part.
func NewExpirations(now time.Duration, t *Table, drift float64) *Expirations {
	c := &Expirations{table: t, drift: drift, live: map[string]*alive{}}
	for _, e := range t.names {
		c.holds(now, e)
		for _, w := range e.Waiters {
			c.waits(now, e.Name, w)
		}
	}
	return c
}

func (c *Expirations) lasts(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*c.drift)
}

func (c *Expirations) set(now time.Duration, a alive, term time.Duration) {
	k := key(a.name, a.client)
	x := c.live[k]
	if x == nil {
		x = &alive{}
		c.live[k] = x
		heap.Push(&c.due, x)
	}
	a.index, a.at = x.index, now+c.lasts(term)
	*x = a
	heap.Fix(&c.due, x.index)
}

func (c *Expirations) holds(now time.Duration, e *Entry) {
	c.set(now, alive{name: e.Name, token: e.Token}, e.Duration)
}

func (c *Expirations) waits(now time.Duration, name string, w Waiter) {
	c.set(now, alive{name: name, client: w.Client, seq: w.Sequence}, w.Duration)
}

func (c *Expirations) forget(name, client string) {
	k := key(name, client)
	if x := c.live[k]; x != nil {
		delete(c.live, k)
		heap.Remove(&c.due, x.index)
	}
}

// Applied is told of each ask that the table has applied, with what came of it, and returns what its client may be told. A holder that has
// not heard of its grant gets no term any more once its end was asked for: that is on its way, and can't be taken back.
func (c *Expirations) Applied(now time.Duration, a Request, r Reply, granted *Entry) Reply {
	e := c.table.names[a.Name]
	switch {
	case e == nil:
		c.forget(a.Name, "")
	case granted != nil:
		c.holds(now, e)
		c.forget(a.Name, e.Holder)
	case r.Status == Granted:
		if x := c.live[key(a.Name, "")]; x == nil || x.asked {
			return a.reply(NotHeld)
		}
		c.holds(now, e)
	}
	switch {
	case r.Status == Waiting:
		c.waits(now, a.Name, e.Waiters[r.Position-1])
	case a.Kind == RemoveWaiter:
		if x := c.live[key(a.Name, a.Client)]; x != nil && x.seq == a.Sequence {
			c.forget(a.Name, a.Client)
		}
	}
	return r
}

// Renew answers a holder that wants another term. It is called only once the leader has made sure, after the ask came, that it leads still,
// and with all applied that was confirmed before. Nothing is written: a new leader counts anew.
func (c *Expirations) Renew(now time.Duration, a Request) Reply {
	e, x := c.table.names[a.Name], c.live[key(a.Name, "")]
	if e == nil || x == nil || e.Holder != a.Client || e.Token != a.Token || e.Revoked || x.asked {
		return a.reply(NotHeld)
	}
	c.holds(now, e)
	return e.granted(a)
}

// AnswerRepeated tells whether an Acquire changes nothing in the record: a waiter that says that it is still there, whose wait begins anew, or a
// holder that has not heard. Such an ask need not be applied; what Renew asks for is asked for here too.
func (c *Expirations) AnswerRepeated(now time.Duration, a Request) (Reply, bool) {
	e := c.table.names[a.Name]
	if a.Kind != Acquire || e == nil {
		return Reply{}, false
	}
	if e.Holder == a.Client && e.Sequence == a.Sequence && !e.TransferPending {
		a.Token = e.Token
		return c.Renew(now, a), true
	}
	for i, w := range e.Waiters {
		if x := c.live[key(a.Name, a.Client)]; w.Client == a.Client && w.Sequence == a.Sequence && x != nil && !x.asked {
			c.waits(now, a.Name, w)
			r := a.reply(Waiting)
			r.Position, r.Holder = i+1, e.Holder
			return r, true
		}
	}
	return Reply{}, false
}

// askAgain is how long an end that was asked for may take to be applied: what was asked may have been lost on the way.
const askAgain = time.Second

// Expired returns the asks by which the leader ends what is over. They are to be applied as any other, unless the one who asks leads no longer.
func (c *Expirations) Expired(now time.Duration) (out []Request) {
	for len(c.due) > 0 && c.due[0].at <= now {
		x := c.due[0]
		x.asked, x.at = true, now+askAgain
		heap.Fix(&c.due, 0)
		if x.client == "" {
			out = append(out, Request{Kind: Expire, Name: x.name, Token: x.token})
		} else {
			out = append(out, Request{Kind: RemoveWaiter, Name: x.name, Client: x.client, Sequence: x.seq})
		}
	}
	return out
}

// Next is when Due may have something; false: not before something else happens.
func (c *Expirations) Next() (time.Duration, bool) {
	if len(c.due) == 0 {
		return 0, false
	}
	return c.due[0].at, true
}

// Remaining is how much of a name's term there is.
func (c *Expirations) Remaining(now time.Duration, name string) time.Duration {
	if x := c.live[key(name, "")]; x != nil {
		return max(0, x.at-now)
	}
	return 0
}

// ends is a heap by time.
type ends []*alive

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, j int) bool { return h[i].at < h[j].at }
func (h ends) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *ends) Push(x any) {
	a := x.(*alive)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *ends) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}
