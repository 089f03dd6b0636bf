package fakes

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// EurekaOptions are an Eureka's parameters.
type EurekaOptions struct {
	CacheFor         time.Duration    // answers are made anew only so often, as real servers do every 30 s; 0: always
	KeepDelta        time.Duration    // how long a change stands in /apps/delta; 0: three minutes
	SelfPreservation bool             // self-preservation: where more than 15% of the leases run out at once, none does
	NumbersAsText    bool             // numbers in the JSON are texts
	User             string           // where set, basic authentication with
	Password         string           // this
	Now              func() time.Time // nil: time.Now
}

// Eureka is a registry: the server side of Eureka's REST operations, with leases, overrides, a queue of changes, an answer
// cache and scripted faults. Its documents and its sum are made from the published formats alone. Replicas are Eurekas
// that Replicate to each other; without that they disagree.
type Eureka struct {
	Base string // http://address/eureka

	options EurekaOptions
	srv     *http.Server
	done    chan struct{}

	bytes         atomic.Int64 // of answers' bodies
	mu            sync.Mutex
	apps          map[string]map[string]*EurekaInstance
	queue         []eurekaChange
	version       int
	cache         map[string]eurekaAnswer
	peers         []*Eureka
	fault         func(path string) EurekaFault
	calls         map[string]int
	firstNotified map[int]time.Time // by version: when the first answer that has it began to be written
	lastNotified  int               // the last version sent to a client
}

// EurekaInstance is one registration.
type EurekaInstance struct {
	App, ID, Host, IP, VIP string
	Status, Overridden     string
	Port, SecurePort       int
	PortOff, SecureOn      bool
	Metadata               map[string]string
	Up                     time.Time // serviceUpTimestamp
	Lease                  time.Duration

	registered, renewed time.Time
	action              string
}

type eurekaChange struct {
	at time.Time
	i  EurekaInstance
}

type eurekaAnswer struct {
	at      time.Time
	body    []byte
	version int
}

// EurekaFault is what goes wrong with one answer.
type EurekaFault int

// The faults.
const (
	EurekaFine      EurekaFault = iota
	EurekaDown                  // 503
	EurekaCut                   // half of the answer, and a close
	EurekaHTML                  // a proxy's page with 200
	EurekaHangs                 // nothing, until the client leaves
	EurekaWrongSum              // apps__hashcode of another registry
	EurekaHuge                  // 20 MB of blanks within the document
	EurekaNoDelta               // 403 for /apps/delta
	EurekaLostDelta             // the delta is empty, its sum is right: changes were lost
)

// NewEureka starts a registry at a free loopback port.
func NewEureka(o EurekaOptions) (*Eureka, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.KeepDelta == 0 {
		o.KeepDelta = 3 * time.Minute
	}
	e := &Eureka{Base: "http://" + l.Addr().String() + "/eureka", options: o, done: make(chan struct{}), calls: map[string]int{}}
	e.Restart()
	e.srv = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		defer close(e.done)
		_ = e.srv.Serve(l) // ends with Close
	}()
	return e, nil
}

// Close ends it.
func (e *Eureka) Close() {
	_ = e.srv.Close()
	<-e.done
}

// Restart forgets everything, as a server does that starts anew.
func (e *Eureka) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apps, e.queue, e.version, e.cache = map[string]map[string]*EurekaInstance{}, nil, 0, map[string]eurekaAnswer{}
	e.firstNotified, e.lastNotified = map[int]time.Time{}, 0
}

// Replicate has what is written here written to peers too.
func (e *Eureka) Replicate(peers ...*Eureka) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

// Fault sets what goes wrong with answers to GET from now on; nil: nothing.
func (e *Eureka) Fault(script func(path string) EurekaFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = script
}

// Calls is how often a method and path below the base were asked for.
func (e *Eureka) Calls(what string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[what]
}

func (e *Eureka) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/eureka")
	if path = strings.TrimSuffix(strings.TrimPrefix(path, "/v2"), "/"); !ok {
		http.NotFound(w, r)
		return
	}
	if user, password, _ := r.BasicAuth(); e.options.User != "" && (user != e.options.User || password != e.options.Password) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	e.mu.Lock()
	e.calls[r.Method+" "+path]++
	e.mu.Unlock()
	part := strings.Split(strings.TrimPrefix(path, "/"), "/")
	known := func(there bool) {
		if !there {
			w.WriteHeader(http.StatusNotFound)
		}
	}
	switch {
	case r.Method == http.MethodGet:
		e.get(w, r, path, part)
	case r.Method == http.MethodPost && len(part) == 2:
		i, err := readEurekaInstance(r.Body)
		if err != nil || !strings.EqualFold(i.App, part[1]) {
			http.Error(w, fmt.Sprint("no instance of that application: ", err), http.StatusBadRequest)
			return
		}
		e.Put(i)
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut && len(part) == 3:
		known(e.renew(part[1], part[2]))
	case r.Method == http.MethodPut && len(part) == 4 && part[3] == "status":
		known(e.Override(part[1], part[2], r.URL.Query().Get("value")))
	case r.Method == http.MethodDelete && len(part) == 4 && part[3] == "status":
		known(e.Override(part[1], part[2], ""))
	case r.Method == http.MethodDelete && len(part) == 3:
		known(e.Cancel(part[1], part[2]))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// get answers a GET from the response cache or anew, with the scripted fault.
func (e *Eureka) get(w http.ResponseWriter, r *http.Request, path string, part []string) {
	e.mu.Lock()
	fault := EurekaFine
	if e.fault != nil {
		fault = e.fault(path)
	}
	now := e.options.Now()
	asXML := !strings.Contains(r.Header.Get("Accept"), "json")
	key := fmt.Sprint(path, asXML, fault == EurekaWrongSum, fault == EurekaLostDelta)
	a, cached := e.cache[key]
	if !cached || now.Sub(a.at) >= e.options.CacheFor {
		e.expire(now)
		body, ok := e.document(part, asXML, fault)
		if !ok {
			e.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		a = eurekaAnswer{now, body, e.version}
		e.cache[key] = a
	}
	e.mu.Unlock()
	body := a.body
	switch {
	case fault == EurekaDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == EurekaNoDelta && path == "/apps/delta":
		w.WriteHeader(http.StatusForbidden)
		return
	case fault == EurekaHangs:
		<-r.Context().Done()
		return
	case fault == EurekaHTML:
		w.Header().Set("Content-Type", "text/html")
		_, _ = io.WriteString(w, "<html><body>Bad gateway</body></html>")
		return
	case fault == EurekaHuge:
		body = slices.Concat(body[:1], bytes.Repeat([]byte(" "), 20<<20), body[1:])
	}
	w.Header().Set("Content-Type", "application/json")
	if asXML {
		w.Header().Set("Content-Type", "application/xml")
	}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		body = compressed(body)
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.bytes.Add(int64(len(body)))
	if fault == EurekaFine {
		e.recordNotified(a.version)
	}
	if fault == EurekaCut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// compressed returns a body in gzip.
func compressed(body []byte) []byte {
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, _ = z.Write(body) // into memory: it cannot fail
	_ = z.Close()
	return packed.Bytes()
}

// Bytes is what the bodies of all answers came to.
func (e *Eureka) Bytes() int64 { return e.bytes.Load() }

// Version counts the changes so far.
func (e *Eureka) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// FirstNotified is the time right before the first byte of the first answer with a version or a later one; zero: there was none.
func (e *Eureka) FirstNotified(version int) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.firstNotified[version]
}

func (e *Eureka) recordNotified(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for ; e.lastNotified < version; e.lastNotified++ {
		e.firstNotified[e.lastNotified+1] = now
	}
}
