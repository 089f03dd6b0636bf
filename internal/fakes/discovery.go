package fakes

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"orchiddrift/internal/endpoints"
)

// Discovery is a fake of the platform's discovery service: it keeps an endpoint list and serves polls and watches. Entries
// can be set, drained and removed. The service can stop answering, break its watches, go down and move to another address.
type Discovery struct {
	// Heartbeat is the interval at which watches send an empty line. NewDiscovery sets it to 200 ms. Set it before Listen.
	Heartbeat time.Duration
	// Rate is the number of calls per second that the service processes, one after another. The service rejects a call at once if
	// the call would wait for longer than Timeout. If Rate is 0, the service answers all calls at once. Set both before Listen.
	Rate    float64
	Timeout time.Duration
	Indent  bool // writes lists as indented JSON over several lines; set before Listen
	// Wrote is called after each write of a list, with the address that served the list and the version that the reader now has.
	// It must not call methods of the Discovery. Set it before Listen.
	Wrote func(address string, version int64)

	mu             sync.Mutex
	changed        *sync.Cond
	index          int64
	entries        map[string]versionedEndpoint
	silent         bool
	down           bool
	breaks         int // increased to end all open watches; a watch ends once it differs from its value at the watch's start
	muted          int // calls whose number is at most muted receive nothing more
	answerDelay    time.Duration
	busyUntil      time.Time // time at which all calls so far are processed, if Rate is set
	rejections     int       // number of calls to reject at each address, set by RejectNext
	rejectionsUsed map[string]int
	calls          []time.Time
	current        int // number of watches that have received the current version
	srv            *http.Server
	joined         map[string]*http.Server // servers at additional addresses
	address        string
	serving        sync.WaitGroup
	closed         bool
	firstNotified  map[string]time.Time // time at which a status of an entry was first written to a client, by "name status"
}

// versionedEndpoint is an entry with the version of the list that last changed it.
type versionedEndpoint struct {
	endpoint endpoints.Endpoint
	version  int64
}

// NewDiscovery returns a service with the given entries, at version 1. It does not listen until Listen is called.
func NewDiscovery(entries ...endpoints.Endpoint) *Discovery {
	d := &Discovery{index: 1, entries: map[string]versionedEndpoint{}, joined: map[string]*http.Server{}, Heartbeat: 200 * time.Millisecond, firstNotified: map[string]time.Time{}}
	d.changed = sync.NewCond(&d.mu)
	for _, e := range entries {
		d.entries[e.Name] = versionedEndpoint{e, 1}
	}
	return d
}

// Listen serves at address and returns the address. "127.0.0.1:0" stands for a free port. A further call moves the service:
// the old address accepts no new connections, and its watches end.
func (d *Discovery) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	d.mu.Lock()
	old := d.srv
	d.srv, d.address = srv, l.Addr().String()
	d.mu.Unlock()
	d.serving.Go(func() { _ = srv.Serve(l) }) // ends with Close
	if old != nil {
		old.Close()
	}
	return d.Address(), nil
}

// Join serves at a free port in addition to the other addresses, until Retire or Close, and returns the new address.
func (d *Discovery) Join() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	d.mu.Lock()
	d.joined[l.Addr().String()] = srv
	d.mu.Unlock()
	d.serving.Go(func() { _ = srv.Serve(l) }) // ends with Close
	return l.Addr().String(), nil
}

// Retire stops serving at an address that Join returned: it closes the listener and all connections of that address.
func (d *Discovery) Retire(address string) {
	d.mu.Lock()
	srv := d.joined[address]
	delete(d.joined, address)
	d.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// RejectNext makes the next n calls at each address fail with status 503 at once.
func (d *Discovery) RejectNext(n int) {
	d.change(func() { d.rejections, d.rejectionsUsed = n, map[string]int{} })
}

// takeRejection reports whether RejectNext applies to a call at an address, and counts the rejection.
func (d *Discovery) takeRejection(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rejectionsUsed == nil || d.rejectionsUsed[address] >= d.rejections {
		return false
	}
	d.rejectionsUsed[address]++
	return true
}

// Address returns the address at which Listen serves. Addresses that Join added are not included.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// Close stops the service at all addresses and waits until the servers have ended.
func (d *Discovery) Close() {
	d.mu.Lock()
	servers := slices.Collect(maps.Values(d.joined))
	if d.srv != nil {
		servers = append(servers, d.srv)
	}
	d.closed = true
	d.changed.Broadcast()
	d.mu.Unlock()
	for _, srv := range servers {
		srv.Close()
	}
	d.serving.Wait()
}

// Set adds or changes entries, all of them in one new version of the list.
func (d *Discovery) Set(entries ...endpoints.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range entries {
		d.entries[e.Name] = versionedEndpoint{e, d.index}
	}
	d.changed.Broadcast()
}

// Drain sets the status of entries to terminating: these upstreams should receive no new requests.
func (d *Discovery) Drain(names ...string) { d.status(endpoints.StatusTerminating, names...) }

// Remove sets the status of an entry to gone.
func (d *Discovery) Remove(name string) { d.status(endpoints.StatusGone, name) }

func (d *Discovery) status(status string, names ...string) {
	d.mu.Lock()
	entries := make([]endpoints.Endpoint, len(names))
	for i, name := range names {
		entries[i] = d.entries[name].endpoint
		entries[i].Name, entries[i].Status = name, status
	}
	d.mu.Unlock()
	d.Set(entries...)
}

// Silence turns silence on or off. While it is on, watches stay open but send nothing, and new calls wait for an answer.
func (d *Discovery) Silence(on bool) { d.change(func() { d.silent = on }) }

// Down turns an outage on or off. During an outage all watches are ended and all calls are rejected with status 503.
func (d *Discovery) Down(on bool) { d.change(func() { d.down = on; d.breaks++ }) }

// Break ends all open watches.
func (d *Discovery) Break() { d.change(func() { d.breaks++ }) }

// Mute makes the calls and watches that are open now send nothing more, without ending them. Later calls are answered.
func (d *Discovery) Mute() { d.change(func() { d.muted = len(d.calls) }) }

// DelayAnswers delays the answers to calls made from now on.
func (d *Discovery) DelayAnswers(by time.Duration) { d.change(func() { d.answerDelay = by }) }

// Calls returns the arrival time of each call, rejected calls included.
func (d *Discovery) Calls() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// Current returns the number of watches whose clients have the present version.
func (d *Discovery) Current() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// schedule returns a call's number and how long it has to wait; a negative wait means that the call is rejected.
func (d *Discovery) schedule() (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.calls = append(d.calls, now)
	if d.Rate <= 0 {
		return len(d.calls), d.answerDelay
	}
	free := d.busyUntil
	if free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(float64(time.Second) / d.Rate))
	if free.Sub(now) > d.Timeout {
		return len(d.calls), -1
	}
	d.busyUntil = free
	return len(d.calls), free.Sub(now) + d.answerDelay
}

func (d *Discovery) change(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	d.changed.Broadcast()
}

// FirstNotified returns the time at which a list with this status of an upstream was first written to a client. It returns
// false if no such list was written yet.
func (d *Discovery) FirstNotified(name, status string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.firstNotified[name+" "+status]
	return at, ok
}

// Version returns the present version of the list.
func (d *Discovery) Version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.index
}

// List returns the full list in the format of the known list in a configuration.
func (d *Discovery) List() *endpoints.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since returns the changes after a version, or the full list if the version is negative. The caller holds mu.
func (d *Discovery) since(from int64) *endpoints.List {
	index := d.index
	l := &endpoints.List{Index: &index, Snapshot: from < 0, Endpoints: []endpoints.Endpoint{}}
	for _, v := range d.entries {
		if v.version > from && (!l.Snapshot || v.endpoint.Status != endpoints.StatusGone) {
			l.Endpoints = append(l.Endpoints, v.endpoint)
		}
	}
	return l
}

// ServeHTTP answers polls and watches.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	call, wait := d.schedule()
	address := ""
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		address = local.String()
	}
	if d.takeRejection(address) {
		wait = -1
	}
	if wait < 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	wake := func() {
		d.mu.Lock()
		d.changed.Broadcast()
		d.mu.Unlock()
	}
	defer context.AfterFunc(r.Context(), wake)()
	for (d.silent || call <= d.muted) && !d.closed && r.Context().Err() == nil {
		d.changed.Wait()
	}
	if d.down || d.closed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		_ = d.write(w, address, d.since(-1))
		return
	}
	d.serveWatch(w, r, call, address)
}

// write sends a list and records when the status of each entry was first written. The caller holds mu throughout, so
// FirstNotified never returns a time before the list was written.
func (d *Discovery) write(w http.ResponseWriter, address string, l *endpoints.List) error {
	out := json.NewEncoder(w)
	if d.Indent {
		out.SetIndent("", "  ")
	}
	if err := out.Encode(l); err != nil {
		return err
	}
	err := http.NewResponseController(w).Flush()
	now := time.Now()
	if err == nil && d.Wrote != nil {
		d.Wrote(address, *l.Index)
	}
	for _, e := range l.Endpoints {
		if key := e.Name + " " + e.Status; d.firstNotified[key].IsZero() {
			d.firstNotified[key] = now
		}
	}
	return err
}
