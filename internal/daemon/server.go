package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/intake"
	"orchiddrift/internal/upstream"
)

const (
	// Limits on clients are the sidecar's own: what they say of themselves may be wrong.
	headPatience  = 2 * time.Second        // for a request's head
	bodyPatience  = 900 * time.Millisecond // and for its body
	writePatience = 5 * time.Second        // for a client to take its answer
)

// server takes the clients' requests, has the engine answer them, and words the answers as the platform's protocol
// says.
type server struct {
	engine   *engine.Engine
	pool     *upstream.Pool
	checker  *intake.Checker
	ready    func() bool
	stopping atomic.Bool // connections are to end with their next answer
}

// exchange carries out the attempts of one request.
type exchange struct {
	pool    *upstream.Pool
	request *upstream.Request
}

func (x *exchange) Carry(ctx context.Context, a engine.Attempt) engine.Reply {
	rep := x.pool.Attempt(ctx, a.Upstream, x.request, a.Deadline)
	if rep.Result != balancer.OK {
		return engine.Reply{Result: rep.Result}
	}
	return engine.Reply{Result: balancer.OK, Value: &rep}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") {
		s.own(w, r)
		return
	}
	req, bad := s.read(w, r)
	if bad != nil {
		w.Header().Set("Connection", "close")
		if bad.Allow != "" {
			w.Header().Set("Allow", bad.Allow)
		}
		// The library reads on for a while, so that the answer is not lost to a reset.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyPatience))
		s.say(w, bad.Status, bad.Text)
		return
	}
	call := engine.Call{ID: req.ID, Class: req.Class.Name, Tenant: req.Tenant, Hint: req.Hint,
		Expires: s.engine.Clock().Now() + req.Timeout}
	a := s.engine.Do(r.Context(), call, &exchange{s.pool,
		upstream.NewRequest(req.Method, req.Target, req.Host, req.Header, req.Body)})
	if a.Kind == engine.Abandoned { // should the client be there after all, it is told
		w.Header().Set("Connection", "close")
	}
	s.finish(w, a)
}

// own serves the sidecar's own pages.
func (s *server) own(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/-/ready":
		s.say(w, http.StatusNotFound, "no such page")
	case s.stopping.Load() || !s.ready():
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
		s.write(w, http.StatusOK, rep.Body)
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
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // none is guessed
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that does not take its answer has gone
}

// read takes in a whole request.
func (s *server) read(w http.ResponseWriter, r *http.Request) (intake.Request, *intake.Rejection) {
	req, bad := s.checker.Check(r)
	if bad != nil || r.ContentLength == 0 {
		return req, bad
	}
	// Without a body the library already reads on, to see whether the client leaves.
	conn, end := http.NewResponseController(w), time.Now().Add(bodyPatience)
	_ = conn.SetReadDeadline(end)  // see write
	_ = conn.SetWriteDeadline(end) // reading may first write 100 Continue
	// It is at most what the head says, and takes memory as it comes: the head may be all that does.
	body, err := io.ReadAll(r.Body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return req, &intake.Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	case err != nil:
		return req, &intake.Rejection{Status: http.StatusBadRequest, Text: fmt.Sprintf("reading the body: %v", err)}
	}
	req.Body = body
	_ = conn.SetReadDeadline(time.Time{})
	return req, nil
}
