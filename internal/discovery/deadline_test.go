package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil"
)

// pipes is a network without sockets, so that a test's time is its own.
type pipes struct {
	conns chan net.Conn
	over  func()
}

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { p.over(); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }
func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	p.conns <- there
	return here, nil
}

// says is what a discovery does with its n-th call, from 1 up, made so long after the start. It holds the call until it returns.
type says func(n int, after time.Duration, r *http.Request, send func(string))

// played runs a watcher that knows upstream a before a discovery in virtual time, for as long as play does.
func played(t *testing.T, o staleness.Options, do says, play func(w *Watcher, dir *endpoints.Registry, start time.Time, log func() string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		conns := make(chan net.Conn, 16)
		net := pipes{conns, sync.OnceFunc(func() { close(conns) })}
		var mu sync.Mutex
		n, start := 0, time.Now()
		var served sync.WaitGroup
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served.Add(1) // before Serve's own is done
			defer served.Done()
			mu.Lock()
			n++
			call := n
			mu.Unlock()
			do(call, time.Since(start), r, func(text string) {
				_, _ = fmt.Fprint(w, text)
				_ = http.NewResponseController(w).Flush()
			})
		})}
		served.Go(func() { _ = srv.Serve(net) }) // ends with Close
		var lines strings.Builder
		w := New(Options{Address: "127.0.0.1:1", Index: 1, Staleness: o, Log: logging.NewFunc(func(line string) {
			mu.Lock()
			defer mu.Unlock()
			lines.WriteString(line + "\n")
		})})
		w.client.Transport.(*http.Transport).DialContext = net.dial
		dir := endpoints.New(clock.New(), nil)
		feed := NewRegistrySink(dir, func(balancer.EndpointUpdate) {})
		feed.Apply(testutil.EndpointList(t, 1, true, testutil.Entry("a", "127.0.0.2:1", "Ready")))
		ctx, cancel := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		runs.Go(func() { w.Run(ctx, feed) })
		play(w, dir, start, func() string {
			mu.Lock()
			defer mu.Unlock()
			return lines.String()
		})
		cancel()
		runs.Wait()
		srv.Close()
		served.Wait()
	})
}

func has(dir *endpoints.Registry, name string) bool {
	_, ok := dir.Instance(name)
	return ok
}

// forgets waits until a drains, and returns how long that took.
func forgets(t *testing.T, dir *endpoints.Registry, start time.Time) time.Duration {
	t.Helper()
	for has(dir, "a") {
		if time.Since(start) > time.Minute {
			t.Fatal("the drain is never heard of")
		}
		time.Sleep(time.Millisecond) // of the test's own time
	}
	return time.Since(start)
}

var (
	drained = testutil.List(7, false, testutil.Entry("a", "127.0.0.2:1", "Terminating")) + "\n"
	none    = testutil.List(6, false) + "\n"
)

// Guards against requests to upstreams announced as leaving: what a silent call misses counts as told 6 s after it fell silent, and
// the grace is 250 ms. The first case is the one that was found in service: a call refused, the next one silent before its first
// word; 5 s were waited for that word, then the module's second wait, 2.2 s that time, and the list was 7.2 s old.
func TestNewsComeInTimeAfterASilence(t *testing.T) {
	for _, c := range []struct {
		name   string
		o      staleness.Options
		silent time.Duration // from the start
		do     says
	}{
		{"before the first word", staleness.Options{FleetSize: 6}, 500 * time.Millisecond, func(n int, after time.Duration, r *http.Request, send func(string)) {
			switch {
			case n == 1:
				panic(http.ErrAbortHandler)
			case after < 2*time.Second:
				<-r.Context().Done()
			default:
				send(drained)
				<-r.Context().Done()
			}
		}},
		{"after a beat, the next call refused twice", staleness.Options{FleetSize: 350}, 2 * time.Second, func(n int, _ time.Duration, r *http.Request, send func(string)) {
			switch n {
			case 1:
				send(none)
				time.Sleep(2 * time.Second)
				send("\n")
			case 2, 3:
				panic(http.ErrAbortHandler)
			default:
				send(drained)
			}
			<-r.Context().Done()
		}},
		{"in the middle of a line that goes on for ever", staleness.Options{FleetSize: 350}, 0, func(n int, _ time.Duration, r *http.Request, send func(string)) {
			if n > 1 {
				send(drained)
				<-r.Context().Done()
				return
			}
			send(none + drained[:20])
			for r.Context().Err() == nil {
				time.Sleep(time.Second)
				send(" ")
			}
		}},
		{"the next call late and silent again", staleness.Options{FleetSize: 350}, 0, func(n int, _ time.Duration, r *http.Request, send func(string)) {
			switch n {
			case 1:
				send(none)
			case 3:
				time.Sleep(time.Second)
				send(drained)
			}
			<-r.Context().Done()
		}},
		{"pushed, the agent's first call silent", staleness.Options{Pushed: true}, -6 * time.Second, func(n int, _ time.Duration, r *http.Request, send func(string)) {
			if n > 1 {
				send(drained)
			}
			<-r.Context().Done()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			played(t, c.o, c.do, func(_ *Watcher, dir *endpoints.Registry, start time.Time, _ func() string) {
				if took := forgets(t, dir, start); took > c.silent+6*time.Second+200*time.Millisecond {
					t.Errorf("the drain is heard of %v after the silence", took-c.silent)
				}
			})
		})
	}
}

// Guards against an upstream that comes back by an answer that was written before the news of its drain, and read after it.
func TestAnOlderAnswerBringsNothingBack(t *testing.T) {
	played(t, staleness.Options{}, func(n int, _ time.Duration, r *http.Request, send func(string)) {
		switch n {
		case 1:
			send(none)
			time.Sleep(2700 * time.Millisecond) // another call is made at 2.5 s
			send(drained)
		case 2:
			time.Sleep(500 * time.Millisecond)
			send(testutil.List(6, true, testutil.Entry("a", "127.0.0.2:1", "Ready")) + "\n")
			time.Sleep(time.Second)
			send(testutil.List(8, false, testutil.Entry("b", "127.0.0.2:2", "Ready")) + "\n")
		}
		<-r.Context().Done()
	}, func(w *Watcher, dir *endpoints.Registry, start time.Time, _ func() string) {
		forgets(t, dir, start)
		for !has(dir, "b") {
			if has(dir, "a") {
				t.Fatalf("it is back %v after the start", time.Since(start))
			}
			time.Sleep(time.Millisecond)
		}
		if has(dir, "a") {
			t.Error("it is back")
		}
	})
}

// Guards against a list that nobody knows to be old: its age is told, and logged once when it may be too old and once when it is
// current again. A discovery that counts anew is believed.
func TestTheAgeOfTheListIsTold(t *testing.T) {
	played(t, staleness.Options{}, func(n int, after time.Duration, r *http.Request, send func(string)) {
		switch {
		case n == 1:
			send(none)
		case after > 30*time.Second:
			send(testutil.List(2, true, testutil.Entry("c", "127.0.0.2:3", "Ready")) + "\n")
		}
		<-r.Context().Done()
	}, func(w *Watcher, dir *endpoints.Registry, start time.Time, log func() string) {
		time.Sleep(5 * time.Second)
		if age, overdue := w.Age(); age < 4*time.Second || overdue {
			t.Errorf("after 5 s: age %v, overdue %v", age, overdue)
		}
		time.Sleep(20 * time.Second)
		if age, overdue := w.Age(); age < 24*time.Second || !overdue {
			t.Errorf("after 25 s: age %v, overdue %v", age, overdue)
		}
		for !has(dir, "c") {
			time.Sleep(time.Millisecond)
		}
		if age, overdue := w.Age(); age > 100*time.Millisecond || overdue || has(dir, "a") {
			t.Errorf("age %v, overdue %v, a listed %v", age, overdue, has(dir, "a"))
		}
		for _, line := range []string{"the list may be too old", "the list is current again"} {
			if strings.Count(log(), line) != 1 {
				t.Errorf("%q is logged %d times", line, strings.Count(log(), line))
			}
		}
	})
}
