package daemon

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/upstream"
)

// routing is what requests are decided by at one time. It is immutable.
type routing struct {
	checker     *downstream.Checker
	table       *routes.Table
	services    map[string]*service
	gates       map[*routes.Route]*routeGate
	graphql     map[string]*graphql.Endpoint // by Route.Endpoint
	bodyTimeout time.Duration                // that a client may take for a request's body
}

// routeGate is a route's right to send. A route that a reload takes away or changes loses it: nothing is sent by it once the
// reload has returned.
type routeGate struct {
	closed  atomic.Bool
	writing atomic.Int64 // attempts whose request is being written
}

// Enter is upstream.Gate's.
func (l *routeGate) Enter() bool {
	l.writing.Add(1)
	if l.closed.Load() {
		l.writing.Add(-1)
		return false
	}
	return true
}

// Leave is upstream.Gate's.
func (l *routeGate) Leave() { l.writing.Add(-1) }

// clientGate is a lease for one request: an attempt begins only as long as its client is not known to have gone.
type clientGate struct {
	*routeGate
	ctx        context.Context // the request's
	cancel     context.CancelFunc
	clientGone atomic.Bool
}

// Enter is upstream.Gate's. The connection is looked at here because its reader does not see the end behind a request that waits on
// it. Where others wait for the same answer it is only told once, and attempts go on for them.
func (p *clientGate) Enter() bool {
	if !p.clientGone.Load() && downstream.ClientGone(p.ctx) {
		p.clientGone.Store(true)
		p.cancel()
		return false
	}
	return p.routeGate.Enter()
}

// gateDrainTimeout bounds how long the end of a lease waits for requests whose writing has begun: the first byte of those was
// written before.
const gateDrainTimeout = 250 * time.Millisecond

// closeGates takes leases away, and waits for writes under way.
func closeGates(leases []*routeGate) {
	for _, l := range leases {
		l.closed.Store(true)
	}
	end := time.Now().Add(gateDrainTimeout)
	for _, l := range leases {
		for l.writing.Load() > 0 && time.Now().Before(end) {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// next makes the routing for a table and its services. Routes that stay as they are, to a service that stays, keep their
// lease; ended are the leases of the others.
func (r *routing) next(table *routes.Table, services map[string]*service, endpoints map[string]*graphql.Endpoint,
	body time.Duration) (n *routing, ended []*routeGate) {
	n = &routing{checker: downstream.NewChecker(table), table: table, services: services,
		gates: make(map[*routes.Route]*routeGate, len(table.Routes())), graphql: maps.Clone(endpoints), bodyTimeout: body}
	for print := range n.graphql { // those that stay keep what they hold
		if r != nil && r.graphql[print] != nil {
			n.graphql[print] = r.graphql[print]
		}
	}
	before := map[string]*routes.Route{}
	if r != nil {
		for _, old := range r.table.Routes() {
			before[routeKey(old)] = old
		}
	}
	kept := map[*routeGate]bool{}
	for _, route := range table.Routes() {
		if old := before[routeKey(route)]; old != nil && r.services[old.Service] == services[route.Service] && sameRoute(old, route) {
			n.gates[route] = r.gates[old]
			kept[r.gates[old]] = true
		} else {
			n.gates[route] = &routeGate{}
		}
	}
	if r != nil {
		for _, l := range r.gates {
			if !kept[l] {
				ended = append(ended, l)
			}
		}
	}
	return n, ended
}

// routeKey tells routes of one table apart.
func routeKey(r *routes.Route) string {
	text := r.Pattern.String()
	for _, name := range slices.Sorted(maps.Keys(r.Pattern.Headers)) {
		text += "\x00" + name + "\x00" + strings.ToLower(r.Pattern.Headers[name])
	}
	return text
}

func sameRoute(a, b *routes.Route) bool { return reflect.DeepEqual(a, b) }

// transport carries out the attempts of one request.
type transport struct {
	pool    *upstream.Pool
	request *upstream.Request
	engine  *engine.Engine // where Upload is set in the request
	started atomic.Int32   // attempts that may have sent something, those in hand too

	mu        sync.Mutex
	done      bool                // the request has its answer
	responses []upstream.Response // what its attempts brought, to be given back with it
}

// attempt sends the request once. It counts before anything can be sent, and no more once that is proved not to have happened: whoever
// finds a count of 0 while another attempt is still out would take a request that runs for one that was never sent.
func (x *transport) attempt(ctx context.Context, a engine.Attempt) upstream.Response {
	x.started.Add(1)
	rep := x.pool.AttemptWithOptions(ctx, a.Upstream, x.request, upstream.AttemptOptions{Deadline: a.Deadline, SendBy: a.SendBy, Caller: a.Caller, Cancel: a.Cancel})
	if rep.Result == balancer.NotSent || rep.Result == balancer.ConnectFailed {
		x.started.Add(-1)
	}
	return rep
}

// keep holds on to an attempt's reply until the request is done.
func (x *transport) keep(r upstream.Response) {
	if r.ReservedBytes == 0 && r.Remainder == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		x.releaseResponse(r)
		return
	}
	x.responses = append(x.responses, r)
}

// release gives back what was held.
func (x *transport) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.done = true
	for _, r := range x.responses {
		x.releaseResponse(r)
	}
	x.responses = nil
}

func (x *transport) releaseResponse(r upstream.Response) {
	if r.Remainder != nil {
		r.Remainder.End()
	}
	x.pool.Free(r)
}

var _ engine.Transport = (*transport)(nil)
