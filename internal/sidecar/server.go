package sidecar

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"granitehinge/balancer"
)

// clientRequest is a request that was taken from the client and checked.
type clientRequest struct {
	id, class, tenant string
	expires           time.Duration // clock time at which the client stops waiting
	hint              time.Duration // expected work; 0: unknown

	method, target, host string
	header               http.Header // what goes on to an upstream
	body                 []byte

	answer chan answer // holds the final answer
}

const (
	headerID      = "X-Request-Id"
	headerClass   = "X-Priority-Class"
	headerTenant  = "X-Tenant-Id"
	headerTimeout = "X-Timeout"
	headerCost    = "X-Cost"
	headerKey     = "Idempotency-Key"

	// Limits on clients are the sidecar's own: what they say of themselves may be wrong.
	headPatience  = 2 * time.Second        // for a request's head
	bodyPatience  = 900 * time.Millisecond // and for its body
	writePatience = 5 * time.Second        // for a client to take its answer
)

// hopByHop headers belong to one connection and do not go on.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEnd copies the headers that go on.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// server takes the client's requests and gives the answers.
type server struct {
	clock    clock
	classes  map[string]balancer.Class
	post     func(any) bool
	stop     <-chan struct{}
	ready    func() bool
	stopping atomic.Bool // connections are to end with their next answer
}

// rejection answers a malformed request, without the module.
type rejection struct {
	status int
	text   string
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") {
		s.own(w, r)
		return
	}
	req, bad := s.read(w, r)
	if bad != nil {
		w.Header().Set("Connection", "close")
		// The library reads on for a while, so that the answer is not lost to a reset.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyPatience))
		s.say(w, bad.status, bad.text)
		return
	}
	if !s.post(arrival{req}) {
		s.say(w, http.StatusInternalServerError, "stopped")
		return
	}
	select {
	case a := <-req.answer:
		s.finish(w, a)
	case <-r.Context().Done():
		s.post(gone{req})
		w.Header().Set("Connection", "close")
		s.finish(w, answer{kind: failed}) // should the client be there after all, it is told
	case <-s.stop:
		s.say(w, http.StatusInternalServerError, "stopped")
	}
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
func (s *server) finish(w http.ResponseWriter, a answer) {
	switch a.kind {
	case served:
		maps.Copy(w.Header(), a.reply.header)
		s.write(w, http.StatusOK, a.reply.body)
	case refused:
		if a.retryIn > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryIn.Seconds(), 'f', -1, 64))
		}
		s.say(w, http.StatusServiceUnavailable, "refused: not done, trying again is harmless")
	case duplicate:
		s.say(w, http.StatusConflict, "a request of this id is in hand")
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

// read takes in a whole request and checks what the module and the upstreams rely on.
func (s *server) read(w http.ResponseWriter, r *http.Request) (*clientRequest, *rejection) {
	reject := func(status int, format string, args ...any) (*clientRequest, *rejection) {
		return nil, &rejection{status, fmt.Sprintf(format, args...)}
	}
	if !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return reject(http.StatusBadRequest, "the request target is not a path")
	}
	// Guards against requests hidden in a body: two framings at once may be read in two ways, and of two the
	// library shows only the chunks. No client needs them, so none are taken.
	if len(r.TransferEncoding) > 0 {
		return reject(http.StatusLengthRequired, "the body needs a Content-Length, without Transfer-Encoding")
	}
	if !r.ProtoAtLeast(1, 1) { // there the library passes over Transfer-Encoding, and others may not
		return reject(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if len(r.Header[headerID]) != 1 || r.Header.Get(headerID) == "" {
		return reject(http.StatusBadRequest, "one X-Request-ID is needed")
	}
	inPath, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := cmp.Or(r.Header.Get(headerClass), inPath)
	class, known := s.classes[name]
	if !known {
		return reject(http.StatusNotFound, "unknown class %q", name)
	}
	if name != inPath { // the upstream may go by the other one, and that one may not be safe to repeat
		return reject(http.StatusBadRequest, "the header names class %q, the path %q", name, inPath)
	}
	method := http.MethodPost
	if class.Effect == balancer.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return reject(http.StatusMethodNotAllowed, "class %s is asked for with %s", name, method)
	}
	if keyed := class.Effect == balancer.Keyed; keyed != (r.Header.Get(headerKey) != "") {
		return reject(http.StatusBadRequest, "class %s: keyed is %v, and that is what an Idempotency-Key says", name, keyed)
	}
	if class.Effect == balancer.Safe && r.ContentLength != 0 {
		return reject(http.StatusBadRequest, "class %s has no body", name)
	}
	timeout := class.Deadline
	if text := r.Header.Get(headerTimeout); text != "" {
		var err error
		if timeout, err = parseTimeout(text); err != nil {
			return reject(http.StatusBadRequest, "X-Timeout: %v", err)
		}
		timeout = min(timeout, class.Deadline)
	}
	var hint time.Duration
	if text := r.Header.Get(headerCost); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0) || us > maxTimeout.Seconds()*1e6 {
			return reject(http.StatusBadRequest, "X-Cost: %q is not a usable number of microseconds", text)
		}
		hint = time.Duration(us * float64(time.Microsecond))
	}
	if r.ContentLength > maxBody {
		return reject(http.StatusRequestEntityTooLarge, "a body holds %d bytes at most", maxBody)
	}
	conn := http.NewResponseController(w)
	if r.ContentLength != 0 { // without a body the library already reads on, to see whether the client leaves
		end := time.Now().Add(bodyPatience)
		_ = conn.SetReadDeadline(end)  // see write
		_ = conn.SetWriteDeadline(end) // reading may first write 100 Continue
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return reject(http.StatusRequestEntityTooLarge, "a body holds %d bytes at most", maxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reject(http.StatusRequestTimeout, "the body did not come in time")
	case err != nil:
		return reject(http.StatusBadRequest, "reading the body: %v", err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	header := endToEnd(r.Header)
	header.Del(headerTimeout) // what is left of it goes with each attempt
	return &clientRequest{id: r.Header.Get(headerID), class: name, tenant: r.Header.Get(headerTenant),
		expires: s.clock.now() + timeout, hint: hint, method: r.Method, target: r.RequestURI, host: r.Host,
		header: header, body: body, answer: make(chan answer, 1)}, nil
}

const maxTimeout = time.Hour

// parseTimeout reads a number and a unit: m milliseconds or u microseconds.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if d := v * float64(unit); !ok || err != nil || math.IsNaN(v) || v < 0 || d > float64(maxTimeout) {
		return 0, fmt.Errorf("%q is not a usable number with the unit m or u", text)
	}
	return time.Duration(v * float64(unit)), nil
}
