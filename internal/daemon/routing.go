package daemon

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"orchiddrift/internal/graphql"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/upstream"
)

const (
	// gateDrainTimeout is how long closeGates waits for attempts that are being written. A write that takes longer began before the
	// gates closed, and closeGates does not wait for it.
	gateDrainTimeout = 250 * time.Millisecond
	// gatePollInterval is how often closeGates checks whether requests are still being written.
	gatePollInterval = 100 * time.Microsecond
)

// routing is the state by which requests are routed. It is immutable; a reload replaces it.
type routing struct {
	checker     *downstream.Checker
	table       *routes.Table
	services    map[string]*service
	gates       map[*routes.Route]*routeGate
	graphql     map[string]*graphql.Endpoint // by Route.Endpoint
	bodyTimeout time.Duration                // time that a client may take for a request's body
}

var _ upstream.Gate = (*routeGate)(nil)

// routeGate decides whether requests of a route may still be sent. A reload that removes or changes a route closes the route's gate, and
// nothing is sent by that route once the reload has returned. A routeGate is safe for concurrent use.
type routeGate struct {
	closed  atomic.Bool
	writing atomic.Int64 // number of attempts whose request is being written
}

// Enter implements upstream.Gate.
func (g *routeGate) Enter() bool {
	g.writing.Add(1)
	if g.closed.Load() {
		g.writing.Add(-1)
		return false
	}
	return true
}

// Leave implements upstream.Gate.
func (g *routeGate) Leave() { g.writing.Add(-1) }

// closeGates closes gates and waits for writes in progress.
func closeGates(gates []*routeGate) {
	for _, g := range gates {
		g.closed.Store(true)
	}
	deadline := time.Now().Add(gateDrainTimeout)
	for _, g := range gates {
		for g.writing.Load() > 0 && time.Now().Before(deadline) {
			time.Sleep(gatePollInterval)
		}
	}
}

// next returns the routing for a table and its services. An unchanged route to a service that stays keeps its gate. closing has the gates
// of all other routes of r. r is nil if the result is the first routing.
func (r *routing) next(table *routes.Table, services map[string]*service, endpoints map[string]*graphql.Endpoint,
	bodyTimeout time.Duration) (n *routing, closing []*routeGate) {
	n = &routing{checker: downstream.NewChecker(table), table: table, services: services, bodyTimeout: bodyTimeout,
		gates: make(map[*routes.Route]*routeGate, len(table.Routes())), graphql: maps.Clone(endpoints)}
	previous := map[string]*routes.Route{}
	if r != nil {
		for fingerprint := range n.graphql { // endpoints that stay keep their caches
			if r.graphql[fingerprint] != nil {
				n.graphql[fingerprint] = r.graphql[fingerprint]
			}
		}
		for _, old := range r.table.Routes() {
			previous[routeKey(old)] = old
		}
	}
	reusedGates := map[*routeGate]bool{}
	for _, route := range table.Routes() {
		old := previous[routeKey(route)]
		if old != nil && r.services[old.Service] == services[route.Service] && sameRoute(old, route) {
			n.gates[route] = r.gates[old]
			reusedGates[r.gates[old]] = true
			continue
		}
		n.gates[route] = &routeGate{}
	}
	if r != nil {
		for _, gate := range r.gates {
			if !reusedGates[gate] {
				closing = append(closing, gate)
			}
		}
	}
	return n, closing
}

// routeKey identifies a route within its table.
func routeKey(r *routes.Route) string {
	text := r.Pattern.String()
	for _, name := range slices.Sorted(maps.Keys(r.Pattern.Headers)) {
		text += "\x00" + name + "\x00" + strings.ToLower(r.Pattern.Headers[name])
	}
	return text
}

func sameRoute(a, b *routes.Route) bool { return reflect.DeepEqual(a, b) }
