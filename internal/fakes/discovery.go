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

// Discovery is a fake of the platform's discovery service: it keeps a list and serves polls and watches. Entries
// can be set, drained and removed; the service can fall silent, break its watches, go down and move.
type Discovery struct {
	Heartbeat time.Duration // an empty line so often while nothing changes; absent: 200 ms. Set before Listen.
	// Rate is how many calls it works through in a second, one after another; one that would wait for longer than Timeout is turned
	// away at once. Absent: all are answered at once. Set before Listen.
	Rate    float64
	Timeout time.Duration
	Indent  bool // lists are written on many lines. Set before Listen
	// Wrote is called after each message with entries or a version was written, with the address that served it and the version that
	// its reader has then. It must not call the Discovery. Set before Listen.
	Wrote func(address string, version int64)

	mu             sync.Mutex
	changed        *sync.Cond
	index          int64
	entries        map[string]versioned
	silent         bool
	down           bool
	breaks         int // watches that began before this number end
	muted          int // calls up to this number say nothing more
	answerDelay    time.Duration
	busyUntil      time.Time // when it has worked through all calls so far
	rejections     int       // of the calls at each address, how many are turned away from now on
	rejectionsLeft map[string]int
	calls          []time.Time
	current        int // watches that are up to date
	srv            *http.Server
	joined         map[string]*http.Server // at further addresses
	address        string
	serving        sync.WaitGroup
	closed         bool
	firstNotified  map[string]time.Time // when a state was first written to a watch, by "name status"
}

type versioned struct {
	e  endpoints.Endpoint
	at int64
}

// NewDiscovery returns one with these entries, at version 1; see Listen.
func NewDiscovery(entries ...endpoints.Endpoint) *Discovery {
	d := &Discovery{index: 1, entries: map[string]versioned{}, joined: map[string]*http.Server{}, Heartbeat: 200 * time.Millisecond, firstNotified: map[string]time.Time{}}
	d.changed = sync.NewCond(&d.mu)
	for _, e := range entries {
		d.entries[e.Name] = versioned{e, 1}
	}
	return d
}

// Listen serves at address ("127.0.0.1:0": a free port) and returns where. Called again it moves there: the old
// address takes no new connection, and its watches end.
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

// Join serves at one more address, a free port, beside those that there are, until Close.
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

// Retire ends serving at an address that Join returned: it takes no new connection, and those that are open are closed.
func (d *Discovery) Retire(address string) {
	d.mu.Lock()
	srv := d.joined[address]
	delete(d.joined, address)
	d.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// RejectNext makes the next n calls at each address fail with 503 at once.
func (d *Discovery) RejectNext(n int) {
	d.change(func() { d.rejections, d.rejectionsLeft = n, map[string]int{} })
}

// takeRejection reports whether a call at an address is rejected, and counts it against RejectNext.
func (d *Discovery) takeRejection(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rejectionsLeft == nil || d.rejectionsLeft[address] >= d.rejections {
		return false
	}
	d.rejectionsLeft[address]++
	return true
}

// Address is where it listens now.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// Close ends it and waits.
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

// Set adds or changes entries, all at one moment.
func (d *Discovery) Set(entries ...endpoints.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range entries {
		d.entries[e.Name] = versioned{e, d.index}
	}
	d.changed.Broadcast()
}

// Drain says that upstreams want nothing new.
func (d *Discovery) Drain(names ...string) { d.status(endpoints.StatusTerminating, names...) }

// Remove says that it is gone.
func (d *Discovery) Remove(name string) { d.status(endpoints.StatusGone, name) }

func (d *Discovery) status(status string, names ...string) {
	d.mu.Lock()
	entries := make([]endpoints.Endpoint, len(names))
	for i, name := range names {
		entries[i] = d.entries[name].e
		entries[i].Name, entries[i].Status = name, status
	}
	d.mu.Unlock()
	d.Set(entries...)
}

// Silence makes watches say nothing, without ending them; calls are not answered.
func (d *Discovery) Silence(on bool) { d.change(func() { d.silent = on }) }

// Down turns calls away and ends watches.
func (d *Discovery) Down(on bool) { d.change(func() { d.down = on; d.breaks++ }) }

// Break ends the watches that there are.
func (d *Discovery) Break() { d.change(func() { d.breaks++ }) }

// Mute makes the calls and watches that are open now say nothing more, without ending them; later ones are answered.
func (d *Discovery) Mute() { d.change(func() { d.muted = len(d.calls) }) }

// DelayAnswers has the answers to calls made from now on come so much later.
func (d *Discovery) DelayAnswers(by time.Duration) { d.change(func() { d.answerDelay = by }) }

// Calls is when each call came, whatever became of it.
func (d *Discovery) Calls() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// Current is the number of watches that are up to date.
func (d *Discovery) Current() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// turn is a call's number, and how long it has to wait; below 0: it is turned away.
func (d *Discovery) turn() (int, time.Duration) {
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

// FirstNotified is when a state of an upstream was first written to a watcher; false: not yet.
func (d *Discovery) FirstNotified(name, status string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.firstNotified[name+" "+status]
	return at, ok
}

// Version is the list's.
func (d *Discovery) Version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.index
}

// List is the full list, as a configuration's known list.
func (d *Discovery) List() *endpoints.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since is what changed after a version; below 0 the full list. The caller holds mu.
func (d *Discovery) since(from int64) *endpoints.List {
	index := d.index
	l := &endpoints.List{Index: &index, Snapshot: from < 0, Endpoints: []endpoints.Endpoint{}}
	for _, v := range d.entries {
		if v.at > from && (!l.Snapshot || v.e.Status != endpoints.StatusGone) {
			l.Endpoints = append(l.Endpoints, v.e)
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
	call, wait := d.turn()
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

// write sends a message; the caller holds mu, so that Told is never earlier than the write.
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
