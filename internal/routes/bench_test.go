package routes

import (
	"fmt"
	"net/http"
	"testing"
)

// BenchmarkDecide shows that the cost of a decision does not depend on the number of routes.
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

// BenchmarkNew shows that a table of many routes is checked quickly.
func BenchmarkNew(b *testing.B) {
	var all []*Route
	for i := range 10_000 {
		all = append(all, &Route{Pattern: pattern(b, fmt.Sprintf("/svc%d/{id}/", i), nil), Class: &safe})
	}
	for b.Loop() {
		if _, bad := New(all); bad != nil {
			b.Fatal(bad)
		}
	}
}
