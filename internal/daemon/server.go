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

// writeTimeout is how long a client may take for its answer.
const writeTimeout = 5 * time.Second

// server takes the clients' requests, has the engine of their service answer them, and words the answers as the
// platform's protocol says.
type server struct {
	daemon *daemon
	ids    *requestIDs
	*lifecycleDriver
}

// RoundTrip is engine.Transport's.
func (x *transport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
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

// clientRequest is one request of a client, on its way to its answer.
type clientRequest struct {
	*server
	w           http.ResponseWriter
	r           *http.Request
	startedAt   time.Duration // its last byte came; before that, its head
	body        []byte
	bodyRead    bool // the body has been, or its beginning
	bodyStreams bool // it goes on
	bodyReader  *clientBody
	cancel      context.CancelFunc // ends r's context: its client is known to have gone
	metric      metrics.Request
	truncated   bool // its answer can't be had whole, and its client is to see that

	spooled int64 // of what bodies share

	entryMetrics []metrics.Request // of a GraphQL request's operations
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !downstream.StartRequest(r.Context()) { // it came as its connection was shut: its client sends it again
		panic(http.ErrAbortHandler)
	}
	if s.aborted.Load() {
		w.Header().Set("Connection", "close")
		s.writeAnswer(w, engine.Answer{Kind: engine.EngineClosed})
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		s.serveOwn(w, r)
		return
	}
	ctx, leave := context.WithCancel(r.Context())
	defer leave()
	r = r.WithContext(ctx)
	v := &clientRequest{server: s, w: w, r: r, cancel: leave, startedAt: s.daemon.shared.clock.Now()}
	defer v.releaseSpool()
	for {
		routing := s.daemon.routing.Load()
		req, bad := routing.checker.Check(r, downstream.UnambiguousFraming(r.Context()))
		if bad != nil {
			s.reject(w, bad)
			break
		}
		svc := routing.services[req.Route.Service]
		if !svc.acquire() { // a reload has just taken it away: the routing is another one by now
			continue
		}
		again := v.serve(routing, svc, req)
		svc.release()
		if !again {
			break
		}
	}
	v.metric.Finish(metrics.Failed) // where it had no end yet
	for i := range v.entryMetrics {
		v.entryMetrics[i].Finish(metrics.Failed)
	}
	if v.truncated {
		panic(http.ErrAbortHandler) // has the library reset the connection
	}
}

// serve answers a request by its service, or tells that it is to be decided anew: its route ended before anything was
// sent.
func (v *clientRequest) serve(routing *routing, svc *service, req downstream.Request) (again bool) {
	w, r, sh := v.w, v.r, v.daemon.shared
	if sh.inFlight != nil {
		if !sh.inFlight.TryAcquire(svc.name, 1) {
			if v.daemon.routing.Load() != routing { // a reload has just ended the service
				return true
			}
			v.rejectOverloaded(svc, &req, "requests")
			return false
		}
		defer sh.inFlight.Release(svc.name, 1)
		if n := r.ContentLength; n != 0 {
			if n = min(n, alwaysBufferedBytes); n < 0 {
				n = alwaysBufferedBytes
			}
			if !sh.bodyBytes.TryAcquire(svc.name, n) {
				if v.daemon.routing.Load() != routing {
					return true
				}
				v.rejectOverloaded(svc, &req, "bytes")
				return false
			}
			defer sh.bodyBytes.Release(svc.name, n)
		}
	}
	e, keeper := routing.graphql[req.Route.Endpoint], svc.executorFor(req.Class, req.IdempotencyKey)
	if !v.bodyRead {
		if bad := v.readBody(&req, routing.bodyTimeout, e != nil || keeper != nil); bad != nil {
			v.reject(w, bad)
			return false
		}
		v.bodyRead = true
		if !v.bodyStreams {
			downstream.OnClientGone(r.Context(), v.cancel)
		}
		v.startedAt = sh.clock.Now()
	}
	id := req.ID
	if id == "" {
		id = v.ids.next()
		if len(req.Header[httpheader.RequestID]) == 0 {
			req.Header[httpheader.RequestID] = []string{id}
		}
	}
	lease := routing.gates[req.Route]
	if e != nil { // its operations are counted each
		c := &graphqlCall{server: v.server, w: w, r: r, cancel: v.cancel, service: svc, req: req, id: id, endpoint: e, gate: lease, startedAt: v.startedAt,
			entryMetrics: &v.entryMetrics}
		return c.serve(v.body)
	}
	if !v.metric.Open() {
		v.metric = v.daemon.metrics.Start(req.Class.Name)
	}
	call := engine.Call{ID: id, Class: req.Class.Name, Tenant: req.Tenant, CostHint: req.CostHint, Deadline: v.startedAt + req.Timeout}
	ctx := r.Context()
	var out *upstream.Request
	if v.bodyStreams {
		out = v.upload(&req, &call)
		defer out.Upload.End()
	} else {
		out = upstream.NewRequest(req.Method, req.Target, req.Host, req.Header, v.body)
	}
	out.Gate, out.Written = &clientGate{routeGate: lease, ctx: ctx, cancel: v.cancel}, v.daemon.metrics.AttemptSent
	x := &transport{pool: svc.pool, request: out, engine: svc.engine}
	defer x.release()
	pass, refused := v.awaitAdmission(r, svc, &req, v.startedAt, len(v.body))
	if refused != nil {
		if refused.Kind == engine.Rejected && lease.closed.Load() && !v.stopping.Load() {
			return true // its new route may have room
		}
		v.answerEarly(*refused, out.Upload)
		return false
	}
	if k := keeper; k != nil {
		out.CompleteOnly = true // a repeat is to get it too
		a, conflict := answerFor(svc.executeOnce(r.Context(), k, call, req.IdempotencyKey, req.Method, req.Target, v.body, func() (engine.Transport, func()) {
			x := &transport{pool: svc.pool, request: out}
			return x, x.release
		}))
		pass.Done(controller.OutcomeOf(a))
		switch {
		case conflict != 0:
			v.writeText(w, conflict, conflictText(conflict))
			return false
		case a.Kind == engine.ClientGone:
			w.Header().Set("Connection", "close")
		}
		v.answer(a)
		return false
	}
	svc.loadProbing.beforeRequest(r.Context())
	a := svc.engine.Do(ctx, call, x)
	pass.Done(controller.OutcomeOf(a))
	if v.bodyStreams && a.Kind != engine.Served {
		v.answerEarly(a, out.Upload)
		return false
	}
	if (a.Kind == engine.Rejected || a.Kind == engine.Failed || a.Kind == engine.EngineClosed) && lease.closed.Load() &&
		x.started.Load() == 0 && r.Context().Err() == nil && !v.stopping.Load() {
		return true // nothing was sent: it is as new
	}
	if a.Kind == engine.ClientGone { // should the client be there after all, it is told
		w.Header().Set("Connection", "close")
	}
	v.answer(a)
	return false
}

// answerEarly gives a request its final answer whose body may not have come whole, and that was not served; up is nil where it has.
// What the client still sends is read for a while, so that a reset does not take the answer from it.
func (v *clientRequest) answerEarly(a engine.Answer, up *upstream.Upload) {
	switch {
	case up == nil:
		v.answer(a)
	case up.Broken(): // no upstream has begun it
		v.reject(v.w, bodyRejection(v.bodyReader.failure))
	default:
		v.releaseSpool()
		v.w.Header().Set("Connection", "close")
		v.bodyReader.interruptBy(time.Now().Add(lingering))
		v.answer(a)
		_ = http.NewResponseController(v.w).Flush() // a client that does not take its answer has gone
		up.Drain()
	}
}

// answer gives the request its final answer.
func (v *clientRequest) answer(a engine.Answer) {
	if a.Kind == engine.Served {
		if rep := a.Value.(*upstream.Response); rep.Remainder != nil {
			v.passThrough(a, rep)
			return
		}
	}
	v.writeAnswer(v.w, a)
	v.metric.Finish(metricOutcome(a.Kind))
}

// passThroughTimeout is how long a client may take nothing of an answer that is passed on to it.
const passThroughTimeout = 10 * time.Second

// passThroughBuffers holds buffers for answers that are passed on.
var passThroughBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// passThrough passes an answer on as it comes, no faster than the client takes it. One that breaks off is cut, so that the client can
// tell.
func (v *clientRequest) passThrough(a engine.Answer, rep *upstream.Response) {
	header, conn := v.w.Header(), http.NewResponseController(v.w)
	maps.Copy(header, rep.Header)
	header.Del("Content-Length")
	if rep.Remainder.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(rep.Remainder.Length, 10))
	}
	if v.closeAfterAnswer.Load() {
		header.Set("Connection", "close")
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	write := func(b []byte, more bool) error {
		_ = conn.SetWriteDeadline(time.Now().Add(passThroughTimeout)) // see write
		if _, err := v.w.Write(b); err != nil || more {
			return err
		}
		return conn.Flush()
	}
	v.w.WriteHeader(rep.Status)
	err := write(rep.Body, false)
	buffer := passThroughBuffers.Get().(*[32 << 10]byte)
	defer passThroughBuffers.Put(buffer)
	for err == nil {
		n, end := rep.Remainder.Read(buffer[:])
		if n > 0 {
			if err = write(buffer[:n], rep.Remainder.Buffered() > 0); err != nil {
				break
			}
			v.daemon.shared.yieldAfter(n)
		}
		if end != nil {
			err = end
		}
	}
	a.EndStream(rep.Remainder.Result())
	if err != io.EOF {
		v.daemon.log.Info("a long answer is cut", "id", v.r.Header.Get(httpheader.RequestID), "path", v.r.URL.Path, "reason", err)
		v.truncated = true
		v.metric.Finish(metrics.Failed)
		return
	}
	v.metric.Finish(metrics.Completed)
}

// reject answers a request that is not taken.
func (s *server) reject(w http.ResponseWriter, bad *downstream.Rejection) {
	w.Header().Set("Connection", "close")
	if bad.Allow != "" {
		w.Header().Set("Allow", bad.Allow)
	}
	// The library reads on for a while, so that the answer is not lost to a reset.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingering))
	s.writeText(w, bad.Status, bad.Text)
}

// lingering is how long a request that is turned down is read on.
const lingering = 900 * time.Millisecond

// rejectOverloaded answers a request whose service holds as much as the bulkhead lets it. The module has not seen it, so that this
// is no refusal of its.
func (v *clientRequest) rejectOverloaded(svc *service, req *downstream.Request, what string) {
	if !v.metric.Open() {
		v.metric = v.daemon.metrics.Start(req.Class.Name)
	}
	v.daemon.log.Warn("bulkhead", "service", svc.plan.Name, "reason", "no more "+what+" in hand")
	v.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(v.w).SetReadDeadline(time.Now().Add(lingering))
	v.writeText(v.w, http.StatusInternalServerError, "not done: the service has all that it may hold in hand")
}

// serveOwn serves the sidecar's own pages.
func (s *server) serveOwn(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/-/ready":
		s.writeText(w, http.StatusNotFound, "no such page")
	case !s.ready.Load() || !s.daemon.ready():
		s.writeText(w, http.StatusServiceUnavailable, "not ready")
	default:
		s.writeText(w, http.StatusOK, "ready")
	}
}

// writeAnswer words the final answer as the protocol says.
func (s *server) writeAnswer(w http.ResponseWriter, a engine.Answer) {
	switch a.Kind {
	case engine.Served:
		rep := a.Value.(*upstream.Response)
		maps.Copy(w.Header(), rep.Header)
		s.write(w, rep.Status, rep.Body)
	case engine.Rejected:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
		s.writeText(w, http.StatusServiceUnavailable, "refused: not done, trying again is harmless")
	case engine.Duplicate:
		s.writeText(w, http.StatusConflict, "a request of this id is in hand")
	case engine.EngineClosed:
		s.writeText(w, http.StatusInternalServerError, "stopped")
	default:
		s.writeText(w, http.StatusBadGateway, "failed")
	}
}

// writeText answers with a line of the sidecar's own.
func (s *server) writeText(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, status, []byte(line+"\n"))
}

func (s *server) write(w http.ResponseWriter, status int, body []byte) {
	// Deadlines can't fail on a server's own connections; should they, the write shows it.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if s.closeAfterAnswer.Load() {
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
		if s.registry.ReadyCount() > 0 {
			return true
		}
	}
	return false
}

// requestIDs makes ids for requests that bring none. It is safe for concurrent use.
type requestIDs struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRequestIDs(seed uint64) *requestIDs {
	return &requestIDs{rng: rand.New(rand.NewPCG(seed, 0x6f72636869646964))}
}

func (i *requestIDs) next() string {
	i.mu.Lock()
	a, b := i.rng.Uint64(), i.rng.Uint64()
	i.mu.Unlock()
	return fmt.Sprintf("%016x%016x", a, b)
}
