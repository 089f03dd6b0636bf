package daemon

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/downstream"
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

// RoundTrip is engine.Transport's.
func (x *exchange) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	if up := x.request.Upload; up != nil { // its one attempt at a time
		up.Done = func() { x.engine.UploadDone(a, x.engine.Clock().Now()+up.Timeout) }
	}
	rep := x.attempt(ctx, a)
	if rep.Result != balancer.OK {
		return engine.AttemptResult{Result: rep.Result, BodyConsumed: rep.BodyConsumed}
	}
	x.keep(rep)
	return engine.AttemptResult{Result: balancer.OK, Value: &rep, Streaming: rep.Remainder != nil, PassThrough: true, BodyConsumed: rep.BodyConsumed}
}

// visit is one request of a client, on its way to its answer.
type visit struct {
	*server
	w     http.ResponseWriter
	r     *http.Request
	begun time.Duration // its last byte came; before that, its head
	body  []byte
	read  bool // the body has been, or its beginning
	rest  bool // it goes on
	paced *paced
	leave context.CancelFunc // ends r's context: its client is known to have gone
	taken metrics.Request
	cut   bool // its answer can't be had whole, and its client is to see that

	spooled int64 // of what bodies share

	entries []metrics.Request // of a GraphQL request's operations
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !downstream.StartRequest(r.Context()) { // it came as its connection was shut: its client sends it again
		panic(http.ErrAbortHandler)
	}
	if s.over.Load() {
		w.Header().Set("Connection", "close")
		s.finish(w, engine.Answer{Kind: engine.EngineClosed})
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		s.own(w, r)
		return
	}
	ctx, leave := context.WithCancel(r.Context())
	defer leave()
	r = r.WithContext(ctx)
	v := &visit{server: s, w: w, r: r, leave: leave, begun: s.d.shared.clock.Now()}
	defer v.letGo()
	for {
		routing := s.d.routing.Load()
		req, bad := routing.checker.Check(r, downstream.UnambiguousFraming(r.Context()))
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
	v.taken.Finish(metrics.Failed) // where it had no end yet
	for i := range v.entries {
		v.entries[i].Finish(metrics.Failed)
	}
	if v.cut {
		panic(http.ErrAbortHandler) // has the library reset the connection
	}
}

// serve answers a request by its service, or tells that it is to be decided anew: its route ended before anything was
// sent.
func (v *visit) serve(routing *routing, svc *service, req downstream.Request) (again bool) {
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
		if n := r.ContentLength; n != 0 {
			if n = min(n, keptAlways); n < 0 {
				n = keptAlways
			}
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
	e, keeper := routing.graphql[req.Route.Endpoint], svc.keyed(req.Class, req.IdempotencyKey)
	if !v.read {
		if bad := v.takeBody(&req, routing.body, e != nil || keeper != nil); bad != nil {
			v.turnDown(w, bad)
			return false
		}
		v.read = true
		if !v.rest {
			downstream.OnClientGone(r.Context(), v.leave)
		}
		v.begun = sh.clock.Now()
	}
	id := req.ID
	if id == "" {
		id = v.ids.next()
		if len(req.Header[httpheader.RequestID]) == 0 {
			req.Header[httpheader.RequestID] = []string{id}
		}
	}
	lease := routing.leases[req.Route]
	if e != nil { // its operations are counted each
		c := &graphqlCall{server: v.server, w: w, r: r, leave: v.leave, svc: svc, req: req, id: id, endpoint: e, lease: lease, begun: v.begun,
			taken: &v.entries}
		return c.serve(v.body)
	}
	if !v.taken.Open() {
		v.taken = v.d.figures.Start(req.Class.Name)
	}
	call := engine.Call{ID: id, Class: req.Class.Name, Tenant: req.Tenant, CostHint: req.CostHint, Deadline: v.begun + req.Timeout}
	ctx := r.Context()
	var out *upstream.Request
	if v.rest {
		out = v.upload(&req, &call)
		defer out.Upload.End()
	} else {
		out = upstream.NewRequest(req.Method, req.Target, req.Host, req.Header, v.body)
	}
	out.Gate, out.Written = &presence{lease: lease, ctx: ctx, leave: v.leave}, v.d.figures.AttemptSent
	x := &exchange{pool: svc.pool, request: out, engine: svc.engine}
	defer x.end()
	pass, refused := v.door(r, svc, &req, v.begun, len(v.body))
	if refused != nil {
		if refused.Kind == engine.Rejected && lease.ended.Load() && !v.stopping.Load() {
			return true // its new route may have room
		}
		v.endEarly(*refused, out.Upload)
		return false
	}
	if k := keeper; k != nil {
		out.CompleteOnly = true // a repeat is to get it too
		a, conflict := answerOf(svc.once(r.Context(), k, call, req.IdempotencyKey, req.Method, req.Target, v.body, func() (engine.Transport, func()) {
			x := &exchange{pool: svc.pool, request: out}
			return x, x.end
		}))
		pass.Done(controller.OutcomeOf(a))
		switch {
		case conflict != 0:
			v.say(w, conflict, conflictText(conflict))
			return false
		case a.Kind == engine.ClientGone:
			w.Header().Set("Connection", "close")
		}
		v.end(a)
		return false
	}
	svc.probes.before(r.Context())
	a := svc.engine.Do(ctx, call, x)
	pass.Done(controller.OutcomeOf(a))
	if v.rest && a.Kind != engine.Served {
		v.endEarly(a, out.Upload)
		return false
	}
	if (a.Kind == engine.Rejected || a.Kind == engine.Failed || a.Kind == engine.EngineClosed) && lease.ended.Load() &&
		x.begun.Load() == 0 && r.Context().Err() == nil && !v.stopping.Load() {
		return true // nothing was sent: it is as new
	}
	if a.Kind == engine.ClientGone { // should the client be there after all, it is told
		w.Header().Set("Connection", "close")
	}
	v.end(a)
	return false
}

// endEarly gives a request its final answer whose body may not have come whole, and that was not served; up is nil where it has.
// What the client still sends is read for a while, so that a reset does not take the answer from it.
func (v *visit) endEarly(a engine.Answer, up *upstream.Upload) {
	switch {
	case up == nil:
		v.end(a)
	case up.Broken(): // no upstream has begun it
		v.turnDown(v.w, rejected(v.paced.broke))
	default:
		v.letGo()
		v.w.Header().Set("Connection", "close")
		v.paced.hurry(time.Now().Add(lingering))
		v.end(a)
		_ = http.NewResponseController(v.w).Flush() // a client that does not take its answer has gone
		up.Drain()
	}
}

// end gives the request its final answer.
func (v *visit) end(a engine.Answer) {
	if a.Kind == engine.Served {
		if rep := a.Value.(*upstream.Response); rep.Remainder != nil {
			v.passOn(a, rep)
			return
		}
	}
	v.finish(v.w, a)
	v.taken.Finish(endOf(a.Kind))
}

// passPatience is how long a client may take nothing of an answer that is passed on to it.
const passPatience = 10 * time.Second

// passed holds buffers for answers that are passed on.
var passed = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// passOn passes an answer on as it comes, no faster than the client takes it. One that breaks off is cut, so that the client can
// tell.
func (v *visit) passOn(a engine.Answer, rep *upstream.Response) {
	header, conn := v.w.Header(), http.NewResponseController(v.w)
	maps.Copy(header, rep.Header)
	header.Del("Content-Length")
	if rep.Remainder.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(rep.Remainder.Length, 10))
	}
	if v.last.Load() {
		header.Set("Connection", "close")
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	write := func(b []byte, more bool) error {
		_ = conn.SetWriteDeadline(time.Now().Add(passPatience)) // see write
		if _, err := v.w.Write(b); err != nil || more {
			return err
		}
		return conn.Flush()
	}
	v.w.WriteHeader(rep.Status)
	err := write(rep.Body, false)
	buffer := passed.Get().(*[32 << 10]byte)
	defer passed.Put(buffer)
	for err == nil {
		n, end := rep.Remainder.Read(buffer[:])
		if n > 0 {
			if err = write(buffer[:n], rep.Remainder.Buffered() > 0); err != nil {
				break
			}
			v.d.shared.rest(n)
		}
		if end != nil {
			err = end
		}
	}
	a.EndStream(rep.Remainder.Result())
	if err != io.EOF {
		v.d.log.Info("a long answer is cut", "id", v.r.Header.Get(httpheader.RequestID), "path", v.r.URL.Path, "reason", err)
		v.cut = true
		v.taken.Finish(metrics.Failed)
		return
	}
	v.taken.Finish(metrics.Completed)
}

// turnDown answers a request that is not taken.
func (s *server) turnDown(w http.ResponseWriter, bad *downstream.Rejection) {
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
func (v *visit) crowded(svc *service, req *downstream.Request, what string) {
	if !v.taken.Open() {
		v.taken = v.d.figures.Start(req.Class.Name)
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
		rep := a.Value.(*upstream.Response)
		maps.Copy(w.Header(), rep.Header)
		s.write(w, rep.Status, rep.Body)
	case engine.Rejected:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
		s.say(w, http.StatusServiceUnavailable, "refused: not done, trying again is harmless")
	case engine.Duplicate:
		s.say(w, http.StatusConflict, "a request of this id is in hand")
	case engine.EngineClosed:
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

// ready tells whether some service has an upstream.
func (d *daemon) ready() bool {
	for _, s := range d.routing.Load().services {
		if s.dir.ReadyCount() > 0 {
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
