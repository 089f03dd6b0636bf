package discovery

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/endpoints"
)

// scripted is a Source that a test speaks for.
type scripted struct {
	up   chan struct{}
	sink Sink
	asks int
}

func (s *scripted) Run(ctx context.Context, sink Sink) {
	s.sink = sink
	close(s.up)
	<-ctx.Done()
}

func (s *scripted) Refresh() { s.asks++ }

// Guards against nodes that a registry's absence takes away in minutes, against a merged list that stands still when only
// time passes, and against a list that a change of sources loses. The time is virtual.
func TestMergedThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := func(entries ...string) *endpoints.List {
			l := &endpoints.List{Index: new(int64), Snapshot: true}
			for _, e := range entries {
				name, status, _ := strings.Cut(e, " ")
				l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Name: name, Address: "127.0.0.2:" + name[1:], Status: status})
			}
			return l
		}
		own, registry, next := &scripted{up: make(chan struct{})}, &scripted{up: make(chan struct{})}, &scripted{up: make(chan struct{})}
		m, err := NewMergedSource(membership.Default(), nil,
			NamedSource{Name: "list", Source: own, Initial: list("n1 Ready"), Primary: true}, NamedSource{Name: "eureka", Source: registry})
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		failed := 0
		dir := endpoints.New(clock.New(), nil)
		feed := NewRegistrySink(dir, func(m balancer.EndpointUpdate) {
			mu.Lock()
			defer mu.Unlock()
			if m.Kind == balancer.UpdateFailed {
				failed++
			}
		})
		feed.Apply(m.Load())
		ctx, stop := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { m.Run(ctx, feed) })
		<-own.up
		<-registry.up
		takes := func(step string, want ...string) {
			t.Helper()
			synctest.Wait()
			var got []string
			for name := range dir.Instances() {
				got = append(got, name)
			}
			if slices.Sort(got); !slices.Equal(got, want) {
				t.Errorf("%s: requests go to %v, want %v", step, got, want)
			}
		}
		takes("known", "n1")
		registry.sink.Update(list("n1 Ready", "n2 Ready", "n3 Ready", "n4 Ready"))
		takes("all", "n1", "n2", "n3", "n4")
		for range 60 { // of ten minutes
			registry.sink.Lost(errors.New("unreachable"), true)
			own.sink.Current()
			time.Sleep(10 * time.Second)
		}
		takes("away for ten minutes", "n1", "n2", "n3", "n4")
		own.sink.Update(list("n1 Terminating"))
		takes("a drain meanwhile", "n2", "n3", "n4")
		time.Sleep(6 * time.Minute)
		takes("aged, and nobody else has one that is up", "n2", "n3", "n4")
		own.sink.Update(list("n1 Terminating", "n5 Ready"))
		time.Sleep(100 * time.Second)
		takes("aged: one goes at a time", "n3", "n4", "n5")
		own.sink.Update(list("n1 Terminating"))
		time.Sleep(2 * time.Minute) // all that it had: not believed for a minute
		registry.sink.Update(list("n2 Ready", "n3 Ready", "n4 Ready"))
		takes("back, without n1", "n2", "n3", "n4")
		registry.sink.Update(list())
		time.Sleep(59 * time.Second)
		takes("empty, and not believed", "n2", "n3", "n4")
		m.Replace("eureka", next)
		<-next.up
		takes("another server, nothing told yet", "n2", "n3", "n4")
		time.Sleep(2 * time.Second)
		takes("empty for a minute: believed")
		next.sink.Update(list("n4 Ready"))
		takes("and filled", "n4")
		m.Refresh()
		own.sink.Lost(errors.New("broken"), false)
		synctest.Wait()
		if own.asks != 1 || next.asks != 0 || failed != 1 {
			t.Errorf("%d and %d asked, %d losses told", own.asks, next.asks, failed)
		}
		m.Update("list", list("n5 Ready"))
		takes("told in the source's place", "n4", "n5")
		m.Remove("eureka")
		takes("its source is removed", "n5")
		stop()
		run.Wait()
		m.Update("list", list("n6 Ready"))
		takes("after the end", "n5")
	})
}
