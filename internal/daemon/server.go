package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/doorkeeper"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/figures"
	"orchiddrift/internal/httphead"
	"orchiddrift/internal/intake"
	"orchiddrift/internal/upstream"
)

// writePatience is how long a client may take for its answer.
const writePatience = 5 * time.Second

// server takes the clients' requests, has the engine of their service answer them, and words the answers as the
// platform's protocol says.
type server struct {
	d   *daemon
	ids *ids
	*course
}

// Carry is engine.Carrier's.
func (x *exchange) Carry(ctx context.Context, a engine.Attempt) engine.Reply {
	rep := x.pool.Attempt(ctx, a.Upstream, x.request, a.Deadline)
	if rep.Result != balancer.Moot && rep.Result != balancer.ConnectFailed {
		x.begun.Add(1)
	}
	if rep.Result != balancer.OK {
		return engine.Reply{Result: rep.Result}
	}
	x.keep(rep)
	return engine.Reply{Result: balancer.OK, Value: &rep}
}

// visit is one request of a client, on its way to its answer.
type visit struct {
	*server
	w     http.ResponseWriter
	r     *http.Request
	begun time.Duration // its last byte came; before that, its head
	body  []byte
	read  bool // the body has been
	taken figures.Taken

	entries []figures.Taken // of a GraphQL request's operations
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") {
		s.own(w, r)
		return
	}
	v := &visit{server: s, w: w, r: r, begun: s.d.shared.clock.Now()}
	for {
		routing := s.d.routing.Load()
		req, bad := routing.checker.Check(r)
		if bad != nil {
			s.turnDown(w, bad)
			break
		}
		svc := routing.services[req.Route.Service]
		if !svc.enter() { // a reload has just taken it away: the routing is another one by now
			continue
		}
		again := v.serve(routing, svc, req)
		svc.leave()
		if !again {
			break
		}
	}
	v.taken.End(figures.Failed) // where it had no end yet
	for i := range v.entries {
		v.entries[i].End(figures.Failed)
	}
}

// serve answers a request by its service, or tells that it is to be decided anew: its route ended before anything was
// sent.
func (v *visit) serve(routing *routing, svc *service, req intake.Request) (again bool) {
	w, r, sh := v.w, v.r, v.d.shared
	if sh.inHand != nil {
		if !sh.inHand.TryAcquire(svc.name, 1) {
			if v.d.routing.Load() != routing { // a reload has just ended the service
				return true
			}
			v.crowded(svc, &req, "requests")
			return false
		}
		defer sh.inHand.Release(svc.name, 1)
		if n := r.ContentLength; n > 0 {
			if !sh.bytes.TryAcquire(svc.name, n) {
				if v.d.routing.Load() != routing {
					return true
				}
				v.crowded(svc, &req, "bytes")
				return false
			}
			defer sh.bytes.Release(svc.name, n)
		}
	}
	if !v.read {
		var bad *intake.Rejection
		if v.body, bad = v.takeBody(w, r, routing.body); bad != nil {
			v.turnDown(w, bad)
			return false
		}
		v.read = true
		v.begun = sh.clock.Now()
	}
	id := req.ID
	if id == "" {
		id = v.ids.next()
		if len(req.Header[httphead.ID]) == 0 {
			req.Header[httphead.ID] = []string{id}
		}
	}
	lease := routing.leases[req.Route]
	if e := routing.graphql[req.Route.Endpoint]; e != nil { // its operations are counted each
		c := &graphqlCall{server: v.server, w: w, r: r, svc: svc, req: req, id: id, endpoint: e, lease: lease, begun: v.begun,
			taken: &v.entries}
		return c.serve(v.body)
	}
	if !v.taken.Counts() {
		v.taken = v.d.figures.Take(req.Class.Name)
	}
	out := upstream.NewRequest(req.Method, req.Target, req.Host, req.Header, v.body)
	out.Gate, out.Written = lease, v.d.figures.Sent
	x := &exchange{pool: svc.pool, request: out}
	defer x.end()
	pass, refused := v.door(r, svc, &req, v.begun, len(v.body))
	if refused != nil {
		if refused.Kind == engine.Refused && lease.ended.Load() && !v.stopping.Load() {
			return true // its new route may have room
		}
		v.end(*refused)
		return false
	}
	call := engine.Call{ID: id, Class: req.Class.Name, Tenant: req.Tenant, Hint: req.Hint, Expires: v.begun + req.Timeout}
	if k := svc.keyed(req.Class, req.Key); k != nil {
		a, conflict := answerOf(svc.once(r.Context(), k, call, req.Key, req.Method, req.Target, v.body, func() (engine.Carrier, func()) {
			x := &exchange{pool: svc.pool, request: out}
			return x, x.end
		}))
		pass.Done(doorkeeper.Ended(a))
		switch {
		case conflict != 0:
			v.say(w, conflict, conflictText(conflict))
			return false
		case a.Kind == engine.Abandoned:
			w.Header().Set("Connection", "close")
		}
		v.end(a)
		return false
	}
	svc.probes.before(r.Context())
	a := svc.engine.Do(r.Context(), call, x)
	pass.Done(doorkeeper.Ended(a))
	if (a.Kind == engine.Refused || a.Kind == engine.Failed || a.Kind == engine.Closed) && lease.ended.Load() &&
		x.begun.Load() == 0 && r.Context().Err() == nil && !v.stopping.Load() {
		return true // nothing was sent: it is as new
	}
	if a.Kind == engine.Abandoned { // should the client be there after all, it is told
		w.Header().Set("Connection", "close")
	}
	v.end(a)
	return false
}

// end gives the request its final answer.
func (v *visit) end(a engine.Answer) {
	v.finish(v.w, a)
	v.taken.End(endOf(a.Kind))
}

// turnDown answers a request that is not taken.
func (s *server) turnDown(w http.ResponseWriter, bad *intake.Rejection) {
	w.Header().Set("Connection", "close")
	if bad.Allow != "" {
		w.Header().Set("Allow", bad.Allow)
	}
	// The library reads on for a while, so that the answer is not lost to a reset.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingering))
	s.say(w, bad.Status, bad.Text)
}

// lingering is how long a request that is turned down is read on.
const lingering = 900 * time.Millisecond

// crowded answers a request whose service holds as much as the bulkhead lets it. The module has not seen it, so that this
// is no refusal of its.
func (v *visit) crowded(svc *service, req *intake.Request, what string) {
	if !v.taken.Counts() {
		v.taken = v.d.figures.Take(req.Class.Name)
	}
	v.d.log.Warn("bulkhead", "service", svc.plan.Name, "reason", "no more "+what+" in hand")
	v.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(v.w).SetReadDeadline(time.Now().Add(lingering))
	v.say(v.w, http.StatusInternalServerError, "not done: the service has all that it may hold in hand")
}

// own serves the sidecar's own pages.
func (s *server) own(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/-/ready":
		s.say(w, http.StatusNotFound, "no such page")
	case !s.wanted.Load() || !s.d.ready():
		s.say(w, http.StatusServiceUnavailable, "not ready")
	default:
		s.say(w, http.StatusOK, "ready")
	}
}

// finish words the final answer as the protocol says.
func (s *server) finish(w http.ResponseWriter, a engine.Answer) {
	switch a.Kind {
	case engine.Served:
		rep := a.Value.(*upstream.Reply)
		maps.Copy(w.Header(), rep.Header)
		s.write(w, rep.Status, rep.Body)
	case engine.Refused:
		if a.RetryIn > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryIn.Seconds(), 'f', -1, 64))
		}
		s.say(w, http.StatusServiceUnavailable, "refused: not done, trying again is harmless")
	case engine.Duplicate:
		s.say(w, http.StatusConflict, "a request of this id is in hand")
	case engine.Closed:
		s.say(w, http.StatusInternalServerError, "stopped")
	default:
		s.say(w, http.StatusBadGateway, "failed")
	}
}

// say answers with a line of the sidecar's own.
func (s *server) say(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, status, []byte(line+"\n"))
}

func (s *server) write(w http.ResponseWriter, status int, body []byte) {
	// Deadlines can't fail on a server's own connections; should they, the write shows it.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writePatience))
	if s.last.Load() {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // none is guessed
	}
	switch { // an answer to HEAD, or without a body, keeps the length that it came with
	case status == http.StatusNoContent || status == http.StatusNotModified:
		w.Header().Del("Content-Length")
	case len(body) > 0 || w.Header().Get("Content-Length") == "":
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that does not take its answer has gone
}

// takeBody takes in a request's body.
func (s *server) takeBody(w http.ResponseWriter, r *http.Request, patience time.Duration) ([]byte, *intake.Rejection) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	// Without a body the library already reads on, to see whether the client leaves.
	conn, end := http.NewResponseController(w), time.Now().Add(patience)
	_ = conn.SetReadDeadline(end)  // see write
	_ = conn.SetWriteDeadline(end) // reading may first write 100 Continue
	// It is at most what the head says, and takes memory as it comes: the head may be all that does.
	body, err := io.ReadAll(r.Body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &intake.Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	case err != nil:
		return nil, &intake.Rejection{Status: http.StatusBadRequest, Text: fmt.Sprintf("reading the body: %v", err)}
	}
	_ = conn.SetReadDeadline(time.Time{})
	return body, nil
}

// ready tells whether some service has an upstream.
func (d *daemon) ready() bool {
	for _, s := range d.routing.Load().services {
		if s.dir.Len() > 0 {
			return true
		}
	}
	return false
}

// ids makes ids for requests that bring none. It is safe for concurrent use.
type ids struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newIDs(seed uint64) *ids { return &ids{rng: rand.New(rand.NewPCG(seed, 0x6f72636869646964))} }

func (i *ids) next() string {
	i.mu.Lock()
	a, b := i.rng.Uint64(), i.rng.Uint64()
	i.mu.Unlock()
	return fmt.Sprintf("%016x%016x", a, b)
}
