package routes

import (
	"fmt"
	"net/http"
	"testing"
)

// BenchmarkDecide measures a decision with 1 to 10,000 routes. The cost of a decision must not depend on
// their number.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []*Route
			for i := range n {
				all = append(all, &Route{Pattern: pattern(b, fmt.Sprintf("/svc%d/{id}/items/", i), nil), Class: &safe, MaxBody: 1})
			}
			table, bad := New(all)
			if bad != nil {
				b.Fatal(bad)
			}
			q := Request{Method: "GET", Target: fmt.Sprintf("/svc%d/77/items/4", n/2), Header: http.Header{"X-A": {"b"}}}
			b.ReportAllocs()
			for b.Loop() {
				if _, bad := table.Decide(q); bad != nil {
					b.Fatal(bad)
				}
			}
		})
	}
}

// BenchmarkNew measures the check of a table of 10,000 routes for conflicts.
func BenchmarkNew(b *testing.B) {
	var all []*Route
	for i := range 10_000 {
		all = append(all, &Route{Pattern: pattern(b, fmt.Sprintf("/svc%d/{id}/", i), nil), Class: &safe})
	}
	for b.Loop() {
		if _, conflicting := New(all); conflicting != nil {
			b.Fatal(conflicting)
		}
	}
}
