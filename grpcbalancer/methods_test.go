package grpcbalancer_test

import (
	"testing"

	"orchiddrift/balancer"
	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
)

// The mapping of a method takes precedence over its descriptor, and calls of an unknown method are not retried.
func TestMethodsMapToClasses(t *testing.T) {
	for _, c := range []struct {
		method  string
		mapping map[string]string
		classes []balancer.Class // if nil, the classes of settings
		retried bool
	}{
		{search, nil, nil, true},
		{confirm, nil, nil, false},
		{"/other.Service/Get", nil, nil, false},
		{"/booking.Seats/Unheard", nil, nil, false},
		{"/other.Service/Get", map[string]string{"/other.Service/*": "search"}, nil, true},
		{"/other.Service/Put", map[string]string{"/other.Service/*": "search", "/other.Service/Put": "confirm"}, nil, false},
		{search, map[string]string{search: "confirm"}, nil, false},
		{confirm, nil, settings().Classes[:1], false}, // there is no non-idempotent class, so one is added
	} {
		f := newFleet(t, withFault(fakes.Fail), withFault(fakes.Fail))
		conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
			o.Methods = c.mapping
			if c.classes != nil {
				o.Settings.Classes = c.classes
			}
		})
		_, _ = invoke(t.Context(), conn, c.method) // fails after one attempt or more
		n := f.ledger.Nodes()
		if retried := n["n0"].Executed+n["n1"].Executed > 1; retried != c.retried {
			t.Errorf("%s with the mapping %v: retried is %v, want the opposite", c.method, c.mapping, retried)
		}
	}
}
