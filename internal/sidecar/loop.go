package sidecar

import (
	"context"
	"log"
	"sync/atomic"
	"time"

	"granitehinge/balancer"
)

// loop owns the Balancer: one goroutine that turns what happens into events and carries out the actions,
// without waiting for anything.
type loop struct {
	clock   clock
	b       *balancer.Balancer
	send    func(ctx context.Context, upstream string, r *clientRequest) reply
	ask     func()
	started atomic.Bool // the known list is in

	lists  chan balancer.Members
	events chan any // arrival, gone, ended, abort
	stop   <-chan struct{}

	flights map[string]*flight
	acts    []balancer.Action
	timer   *time.Timer
}

// flight is a request that the module knows. It stays until it has its final answer and all outcomes.
type flight struct {
	request  *clientRequest
	attempts []flightAttempt
	out      int
	done     bool
}

type flightAttempt struct {
	sent   time.Duration
	cancel context.CancelFunc
}

// answer is the final answer to a request.
type answer struct {
	kind    answerKind
	retryIn time.Duration // of a refusal
	reply   reply         // of one that was served
}

type answerKind int

const (
	served answerKind = iota
	refused
	failed
	duplicate // another request of this id is in hand
)

type arrival struct{ request *clientRequest }

// gone says that the client of a request has left.
type gone struct{ request *clientRequest }

type ended struct {
	flight  *flight
	attempt int
	at      time.Duration
	reply   reply
}

// abort fails all requests in hand: the process is about to be killed.
type abort struct{}

func newLoop(b *balancer.Balancer, clk clock, stop <-chan struct{}) *loop {
	l := &loop{clock: clk, b: b, lists: make(chan balancer.Members, 16), events: make(chan any, 256), stop: stop,
		flights: map[string]*flight{}, timer: time.NewTimer(time.Hour)}
	l.timer.Stop()
	return l
}

// post reports an event to the loop; false once the loop has ended.
func (l *loop) post(e any) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stop:
		return false
	}
}

func (l *loop) postList(m balancer.Members) {
	select {
	case l.lists <- m:
	case <-l.stop:
	}
}

// run handles events until stop, beginning with the list as it was last known. News of the list comes before
// requests that wait: it may forbid what they would be sent to.
func (l *loop) run(known balancer.Members) {
	l.handle(known)
	l.started.Store(true)
	for {
		select {
		case m := <-l.lists:
			l.handle(m)
			continue
		default:
		}
		select {
		case m := <-l.lists:
			l.handle(m)
		case e := <-l.events:
			l.event(e)
		case <-l.timer.C:
			l.handle(balancer.Wake{})
		case <-l.stop:
			return
		}
	}
}

func (l *loop) event(e any) {
	switch e := e.(type) {
	case arrival:
		r := e.request
		if l.flights[r.id] != nil {
			r.answer <- answer{kind: duplicate}
			return
		}
		l.flights[r.id] = &flight{request: r}
		l.handle(balancer.Request{ID: r.id, Class: r.class, Tenant: r.tenant, Expires: r.expires, Hint: r.hint})
		l.forget(r.id)
	case gone:
		if f := l.flights[e.request.id]; f != nil && f.request == e.request && !f.done {
			f.done = true
			l.handle(balancer.Gone{ID: e.request.id})
			l.forget(e.request.id)
		}
	case ended:
		l.ended(e)
	case abort:
		for id, f := range l.flights {
			if !f.done {
				l.finish(id, answer{kind: failed})
				l.handle(balancer.Gone{ID: id})
				l.forget(id)
			}
		}
	}
}

// ended reports an attempt's one outcome; the first that was served is the final answer.
func (l *loop) ended(e ended) {
	f, id := e.flight, e.flight.request.id
	f.out--
	f.attempts[e.attempt].cancel()
	if e.reply.result == balancer.OK {
		l.finish(id, answer{kind: served, reply: e.reply})
	}
	l.handle(balancer.Outcome{ID: id, Attempt: e.attempt, Result: e.reply.result,
		Elapsed: e.at - f.attempts[e.attempt].sent, Finished: f.done})
	l.forget(id)
}

// handle runs one decision.
func (l *loop) handle(e balancer.Event) {
	l.acts = l.b.Handle(l.clock.now(), e, l.acts[:0])
	for i := range l.acts {
		l.act(&l.acts[i])
	}
}

func (l *loop) act(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		l.start(a)
	case balancer.Cancel:
		if f := l.flights[a.ID]; f != nil && a.Attempt < len(f.attempts) {
			f.attempts[a.Attempt].cancel()
		}
	case balancer.Refuse:
		l.finish(a.ID, answer{kind: refused, retryIn: a.RetryIn})
	case balancer.Fail:
		l.finish(a.ID, answer{kind: failed})
	case balancer.SetTimer:
		l.timer.Reset(a.At - l.clock.now())
	case balancer.Subscribe:
		l.ask()
	case balancer.Log:
		log.Print(a.Text)
	}
}

// start begins an attempt, which reports its end as an event.
func (l *loop) start(a *balancer.Action) {
	f := l.flights[a.ID]
	if f == nil {
		return
	}
	now := l.clock.now()
	limit := f.request.expires - now
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	n, upstream := len(f.attempts), a.Upstream
	f.attempts = append(f.attempts, flightAttempt{sent: now, cancel: cancel})
	f.out++
	go func() {
		rep := l.send(ctx, upstream, f.request)
		l.post(ended{f, n, l.clock.now(), rep})
	}()
}

// finish gives a request its final answer, unless it has one or its client has gone.
func (l *loop) finish(id string, a answer) {
	if f := l.flights[id]; f != nil && !f.done {
		f.done = true
		f.request.answer <- a
	}
}

func (l *loop) forget(id string) {
	if f := l.flights[id]; f != nil && f.done && f.out == 0 {
		delete(l.flights, id)
	}
}
