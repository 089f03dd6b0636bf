package membership

import (
	"fmt"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
)

const benchmarkEntries = 5000 // per source; there are two sources

// BenchmarkMerge measures three inputs: the first lists of two sources, a snapshot that equals the previous one, and a change of one entry.
//
//	go test -run '^$' -bench Merge -benchmem ./internal/discovery/membership
func BenchmarkMerge(b *testing.B) {
	list := func(prefix string) (all []endpoints.Endpoint) {
		for i := range benchmarkEntries {
			all = append(all, endpoints.Endpoint{Name: fmt.Sprint(prefix, i), Address: fmt.Sprintf("10.1.%d.%d:80", i/256, i%256), Status: ready,
				StartedMs: epochMs})
		}
		return all
	}
	now := time.UnixMilli(epochMs)
	lists := [][]endpoints.Endpoint{list("n"), list("i")}
	newMerge := func() *Merge {
		m := New(Default())
		for i, s := range []string{"list", "eureka"} {
			_ = m.AddSource(s, false)
			m.Update(now, s, &endpoints.List{Snapshot: true, Endpoints: lists[i]})
		}
		return m
	}
	b.Run("first", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			newMerge()
		}
	})
	m := newMerge()
	b.Run("again", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.Update(now, "eureka", &endpoints.List{Snapshot: true, Endpoints: lists[1]})
		}
	})
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			now = now.Add(time.Second)
			e := lists[1][n%benchmarkEntries]
			e.Status = []string{ready, draining}[n/benchmarkEntries%2]
			m.Update(now, "eureka", &endpoints.List{Endpoints: []endpoints.Endpoint{e}})
		}
	})
}
