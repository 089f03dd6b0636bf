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

// EurekaOptions are the parameters of a Eureka.
type EurekaOptions struct {
	CacheFor         time.Duration // time for which an answer stays cached (30 s on real servers); 0 disables the cache
	KeepDelta        time.Duration // time for which /apps/delta lists a change; 0 means three minutes
	SelfPreservation bool          // if more than 15% of the leases expire at once, all of them are kept
	NumbersAsText    bool          // numbers in JSON are written as strings
	User             string        // if set, requests need basic authentication with User and Password
	Password         string
	Now              func() time.Time // returns the current time; if nil, time.Now is used
}

// Eureka is a registry: the server side of Eureka's REST operations, with leases, overrides, a queue of changes, a response
// cache and scripted faults. Its documents and its hash code follow the published formats alone. Several Eurekas become
// replicas of one registry through Replicate; without it they are independent.
type Eureka struct {
	Base string // base URL: http://address/eureka

	options EurekaOptions
	srv     *http.Server
	done    chan struct{}

	bytes         atomic.Int64 // total size of the response bodies
	mu            sync.Mutex
	apps          map[string]map[string]*EurekaInstance
	queue         []eurekaChange
	version       int
	cache         map[string]eurekaAnswer
	peers         []*Eureka
	fault         func(path string) EurekaFault
	calls         map[string]int
	firstNotified map[int]time.Time // by version: time right before the first answer with this version or a later one was written
	lastNotified  int               // highest version that was sent to a client
}

// EurekaInstance is the registration of one instance.
type EurekaInstance struct {
	App, ID, Host, IP, VIP string
	Status, Overridden     string
	Port, SecurePort       int
	PortOff, SecureOn      bool
	Metadata               map[string]string
	Up                     time.Time // value of serviceUpTimestamp
	Lease                  time.Duration

	registered, renewed time.Time
	action              string
}

type eurekaChange struct {
	at time.Time
	i  EurekaInstance // registration after the change
}

type eurekaAnswer struct {
	at      time.Time
	body    []byte
	version int
}

// EurekaFault is a fault of one answer.
type EurekaFault int

// The faults.
const (
	EurekaFine      EurekaFault = iota
	EurekaDown                  // the answer has status 503
	EurekaCut                   // the connection closes after half of the body
	EurekaHTML                  // the answer is an HTML page, as of a proxy, with status 200
	EurekaHangs                 // there is no answer until the client closes the connection
	EurekaWrongSum              // the apps__hashcode does not match the listed instances
	EurekaHuge                  // the document contains 20 MiB of spaces
	EurekaNoDelta               // /apps/delta answers with status 403
	EurekaLostDelta             // the delta lists no changes although its hash code is right, as if changes were lost
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

// Close stops the registry and closes its connections.
func (e *Eureka) Close() {
	_ = e.srv.Close()
	<-e.done
}

// Restart discards all registrations and changes, as a restart of a server does.
func (e *Eureka) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apps, e.queue, e.version, e.cache = map[string]map[string]*EurekaInstance{}, nil, 0, map[string]eurekaAnswer{}
	e.firstNotified, e.lastNotified = map[int]time.Time{}, 0
}

// Replicate makes later registrations, status changes and cancellations apply to peers too. Renewals are not replicated.
func (e *Eureka) Replicate(peers ...*Eureka) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

// Fault sets the function that chooses the fault of each later answer to a GET request. A nil function means no faults.
func (e *Eureka) Fault(script func(path string) EurekaFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = script
}

// Calls returns the number of requests with a given method and path. The path is relative to the base URL, as in "GET /apps".
func (e *Eureka) Calls(methodAndPath string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[methodAndPath]
}

// ServeHTTP answers Eureka's REST operations below /eureka and /eureka/v2.
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
	notFoundUnless := func(found bool) {
		if !found {
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
		notFoundUnless(e.renew(part[1], part[2]))
	case r.Method == http.MethodPut && len(part) == 4 && part[3] == "status":
		notFoundUnless(e.Override(part[1], part[2], r.URL.Query().Get("value")))
	case r.Method == http.MethodDelete && len(part) == 4 && part[3] == "status":
		notFoundUnless(e.Override(part[1], part[2], ""))
	case r.Method == http.MethodDelete && len(part) == 3:
		notFoundUnless(e.Cancel(part[1], part[2]))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// get answers a GET request from the response cache or with a new document, and applies the scripted fault.
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

// compressed returns a body compressed with gzip.
func compressed(body []byte) []byte {
	var buffer bytes.Buffer
	zipper := gzip.NewWriter(&buffer)
	_, _ = zipper.Write(body) // writes to memory do not fail
	_ = zipper.Close()
	return buffer.Bytes()
}

// Bytes returns the total size of all response bodies.
func (e *Eureka) Bytes() int64 { return e.bytes.Load() }

// Version returns the number of changes so far.
func (e *Eureka) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// FirstNotified returns the time right before the first answer with this version or a later one was written. It returns the
// zero time if there was no such answer.
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
