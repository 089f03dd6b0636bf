package grpcbalancer_test

import (
	"testing"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// With [service.subset], calls go only to a subset of the endpoints, also after another list is set.
func TestSubset(t *testing.T) {
	options := make([]fakes.NodeOptions, 24)
	f := newFleet(t, options...)
	file := base.File(t, "o.toml", []byte("[[service]]\nname = \"service\"\n[service.subset]\non = true\nleast = 4\nmost = 4\nsidecars = 3\nindex = 1\naway = 0.0\n"))
	conn, p := f.dial(t, func(o *grpcbalancer.Options) { o.File = file })
	callNodes := func() map[string]bool {
		names := map[string]bool{}
		for range 200 {
			name, err := invoke(t.Context(), conn, search)
			if err != nil {
				t.Fatal(err)
			}
			names[name] = true
		}
		return names
	}
	first := callNodes()
	if len(first) < 2 || len(first) > 4 {
		t.Errorf("%d nodes got calls, want 2 to 4", len(first))
	}
	rest := f.endpoints[:0:0]
	for _, e := range f.endpoints {
		if !first[e.Name] {
			rest = append(rest, e)
		}
	}
	if err := p.SetEndpoints(rest); err != nil {
		t.Fatal(err)
	}
	second := callNodes()
	for name := range second {
		if first[name] {
			t.Errorf("node %s got calls although the endpoint list does not contain it any more", name)
		}
	}
	if len(second) < 2 || len(second) > 4 {
		t.Errorf("%d nodes of the second list got calls, want 2 to 4", len(second))
	}
}
