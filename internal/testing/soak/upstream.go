package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a fake upstream. It records the arrival of each request and answers with the request's ID.
type upstream struct {
	name    string
	address string
	server  *http.Server
	record  *recorder

	mu      sync.Mutex
	rng     *rand.Rand
	hangs   time.Time // requests that arrive before this time are not answered
	resets  time.Time // connections of requests that arrive before this time are closed without a response
	release chan struct{}
}

const (
	minServiceTime     = 2 * time.Millisecond
	maxServiceTime     = 40 * time.Millisecond
	longOneIn          = 8 // on average, one in this many requests takes up to maxLongServiceTime
	maxLongServiceTime = 500 * time.Millisecond
)

func newUpstream(name string, seed uint64, record *recorder) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{name: name, address: l.Addr().String(), record: record, rng: rand.New(rand.NewPCG(seed, 0x7570)), release: make(chan struct{})}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }() // returns when the method close closes the server
	return u, nil
}

func (u *upstream) close() {
	close(u.release)
	_ = u.server.Close()
}

func (u *upstream) hang(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hangs = time.Now().Add(d)
}

func (u *upstream) reset(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.resets = time.Now().Add(d)
}

// behavior draws the service time of a request, and returns the faults that are active now.
func (u *upstream) behavior() (work time.Duration, hangs, resets bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	most := maxServiceTime
	if u.rng.IntN(longOneIn) == 0 {
		most = maxLongServiceTime
	}
	return between(u.rng, minServiceTime, most), now.Before(u.hangs), now.Before(u.resets)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is incomplete
	}
	id := RequestID(r.Header.Get("X-Request-ID"))
	if id == "" { // a request without an ID is a probe
		w.WriteHeader(http.StatusNotFound)
		return
	}
	announced := parseTimeout(r.Header.Get("X-Timeout"))
	u.record.do(func(record *Record) {
		record.Attempts = append(record.Attempts, Attempt{Request: id, Upstream: u.name, At: u.record.now(), Timeout: announced})
	})
	work, hangs, resets := u.behavior()
	var done <-chan time.Time
	if !hangs {
		done = time.After(work)
	}
	select {
	case <-done:
	case <-r.Context().Done():
		return
	case <-u.release:
		return
	}
	if resets {
		panic(http.ErrAbortHandler) // closes the connection
	}
	_, _ = io.WriteString(w, string(id))
}

// parseTimeout parses a value of X-Timeout, such as 250m for 250 ms or 250u for 250 us. It returns 0 for a malformed value.
func parseTimeout(text string) time.Duration {
	unit := time.Millisecond
	if strings.HasSuffix(text, "u") {
		unit = time.Microsecond
	}
	n, err := strconv.ParseFloat(strings.TrimRight(text, "mu"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(n * float64(unit))
}
