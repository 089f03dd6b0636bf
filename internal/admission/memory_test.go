package admission

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// These are the bounds on the memory of a Queue that the package comment states.
const (
	principalBytes = 700 // of each known principal
	fixedBytes     = 1 << 20
)

// TestMemory guards against memory use over the bounds of the package comment. Thousands of principals send one request
// each and one principal sends as many, within the bound on principals and beyond it.
func TestMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("reads the heap")
	}
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, tt := range []struct {
		n     int
		flows bool
	}{{10_000, false}, {40_000, false}, {40_000, true}} {
		n := tt.n
		o := fixedLimitOptions(8, 1024)
		o.MaxRetryAfter = 4 * time.Minute
		before := heap()
		q := New(o, testClasses, 1)
		var actions []Action
		now := time.Hour
		for i := range n {
			name := "client-" + strings.Repeat("x", 50) + fmt.Sprintf("%07d", i) // maxNameLength bytes long
			flow := ""
			if tt.flows {
				flow = name + "f"
			}
			_, actions = q.Arrive(now, Arrival{Group: name, Flow: flow, Class: "search", ArrivedAt: now, Deadline: now + time.Second}, actions[:0])
			_, actions = q.Arrive(now, Arrival{Group: "flood", Class: "search", ArrivedAt: now, Deadline: now + time.Second}, actions[:0])
		}
		stats := q.Stats()
		used := heap() - before
		t.Logf("%d KB for %+v", used>>10, stats)
		if limit := int64(stats.Principals)*principalBytes + fixedBytes; used > limit {
			t.Errorf("%d bytes are used for %d principals, want at most %d", used, stats.Principals, limit)
		}
		if stats.Principals < min(n, o.MaxPrincipals)-1 {
			t.Errorf("only %d principals are known, want nearly all that sent a request, up to MaxPrincipals", stats.Principals)
		}
		runtime.KeepAlive(q)
	}
}

// BenchmarkRequest measures a request's arrival, admission and end while n principals have queued requests.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := fixedLimitOptions(64, 16_000)
			q := New(o, testClasses, 1)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("principal-", i)
			}
			now := time.Hour
			var actions []Action
			var running []Ticket
			for i := range max(n, 128) { // all but the first 64 are queued
				_, actions = q.Arrive(now, withoutTimeLimit(Arrival{Group: names[i%n], Class: "search"}), actions[:0])
				for _, action := range actions {
					running = append(running, action.Ticket)
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += 100 * time.Microsecond
				actions = q.Done(now, running[i%len(running)], Completed, actions[:0])
				for _, action := range actions {
					running[i%len(running)] = action.Ticket
				}
				_, actions = q.Arrive(now, withoutTimeLimit(Arrival{Group: names[i%n], Class: "search"}), actions[:0])
				i++
			}
		})
	}
}
