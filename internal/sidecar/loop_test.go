package sidecar

import (
	"context"
	"testing"
	"time"

	"granitehinge/balancer"
)

// testLoop is a loop whose attempts end as send says.
func testLoop(t *testing.T, send func(context.Context, string, *clientRequest) reply) *loop {
	t.Helper()
	c := testConfig(t, "127.0.0.1:1")
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(b, newClock(), t.Context().Done())
	l.send, l.ask = send, func() {}
	return l
}

func (l *loop) newRequest(id, class string) *clientRequest {
	return &clientRequest{id: id, class: class, expires: l.clock.now() + patience, answer: make(chan answer, 1)}
}

func member(name string, state balancer.State) balancer.Member {
	return balancer.Member{Upstream: name, Zone: "a", State: state}
}

// Guards against sends to what a list in the queue already forbids: news of the list goes first.
func TestListsGoBeforeRequests(t *testing.T) {
	sent := make(chan string, 8)
	l := testLoop(t, func(_ context.Context, upstream string, _ *clientRequest) reply {
		sent <- upstream
		return reply{result: balancer.OK}
	})
	for _, id := range []string{"1", "2", "3", "4"} {
		l.post(arrival{l.newRequest(id, "search")})
	}
	l.postList(balancer.Members{Kind: balancer.Change, Entries: []balancer.Member{member("drains", balancer.Leaving)}})
	go l.run(balancer.Members{Kind: balancer.Saved, Entries: []balancer.Member{
		member("drains", balancer.Active), member("stays", balancer.Active)}})
	for range 4 {
		if to := <-sent; to != "stays" {
			t.Errorf("sent to the one that %s", to)
		}
	}
}

// Guards against two answers: a second copy's answer, or one after the request was failed, goes nowhere; each
// attempt is still reported to the module, which then forgets the request.
func TestOneFinalAnswer(t *testing.T) {
	l := testLoop(t, func(ctx context.Context, _ string, _ *clientRequest) reply {
		<-ctx.Done()
		return reply{result: balancer.OK, body: []byte("late")}
	})
	l.handle(balancer.Members{Kind: balancer.Saved, Entries: []balancer.Member{member("s", balancer.Active)}})
	r := l.newRequest("1", "search")
	l.event(arrival{r})
	if len(l.flights["1"].attempts) != 1 {
		t.Fatal("not sent")
	}
	l.event(abort{})
	if a := <-r.answer; a.kind != failed {
		t.Errorf("answered %+v", a)
	}
	l.flights["1"].attempts[0].cancel()
	l.event(<-l.events)
	select {
	case a := <-r.answer:
		t.Errorf("answered again: %+v", a)
	default:
	}
	if len(l.flights) != 0 {
		t.Error("the request was not forgotten")
	}
}

// Guards against an attempt that outlasts its client: it ends when the client stops waiting, at the latest.
func TestAttemptEndsWithItsRequest(t *testing.T) {
	deadlines := make(chan time.Duration, 1)
	l := testLoop(t, func(ctx context.Context, _ string, _ *clientRequest) reply {
		d, _ := ctx.Deadline()
		deadlines <- time.Until(d)
		return reply{result: balancer.Timeout}
	})
	l.handle(balancer.Members{Kind: balancer.Saved, Entries: []balancer.Member{member("s", balancer.Active)}})
	r := l.newRequest("1", "confirm")
	r.expires = l.clock.now() + 3*time.Second
	l.event(arrival{r})
	if left := <-deadlines; left > 3*time.Second {
		t.Errorf("may take %v", left)
	}
	l.event(<-l.events)
	if a := <-r.answer; a.kind != failed {
		t.Errorf("answered %+v", a)
	}
}
