package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/processes"
)

// fleet is what a script is played to.
type fleet struct {
	t         testing.TB
	script    Script
	rig       *processes.Rig
	record    *recorder
	discovery *fakes.Discovery
	upstreams []*upstream
	sidecars  []*sidecar
	playing   sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]int // of discovery, by which sidecar asks there
}

// sidecar is a place for one process after another, at one address.
type sidecar struct {
	number  int
	process *processes.Process
	address string

	mu       sync.Mutex // held while it is started, ended, or reloaded
	lists    string     // the address of discovery in its configuration
	life     int        // its place in the record
	started  time.Time
	reserved *fakes.Reservation
}

const (
	settle      = 500 * time.Millisecond  // from the last request's end to the judgement
	killSlack   = 700 * time.Millisecond  // SIGKILL comes so long behind SIGTERM and the longest deadline
	firstSecond = time.Second             // in which no process gets SIGHUP
	movedFor    = 1500 * time.Millisecond // an address of discovery's ends so long behind the reload that names another
	readyLook   = 10 * time.Millisecond

	seriesInterval = 90 * time.Millisecond // between the signals of TerminateSeries
)

// Play plays a script and returns what was seen. It fails the test only where the fleet cannot be set up.
func Play(t testing.TB, script Script) *Record {
	t.Helper()
	f := &fleet{t: t, script: script, rig: processes.New(t, script.Seed), record: &recorder{begun: time.Now()}, addresses: map[string]int{}}
	f.record.Grace = script.Grace
	f.setUp()
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i, s := range f.sidecars {
		c := newClient(i, s.address, script.Deadline, script.Seed, f.record)
		for number := range keepingClients {
			k := newKeepingClient(c, number)
			load.Go(func() { k.run(ctx) })
		}
		load.Go(func() { c.run(ctx, script.Rate) })
	}
	f.play()
	stop()
	load.Wait()
	f.playing.Wait()
	time.Sleep(settle)
	f.endLives()
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return &f.record.Record
}

func (f *fleet) setUp() {
	var entries []endpoints.Endpoint
	for i := range f.script.Upstreams {
		u, err := newUpstream(fmt.Sprintf("u%d", i), f.script.Seed, f.record)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(u.close)
		f.upstreams = append(f.upstreams, u)
		entries = append(entries, endpoints.Endpoint{Name: u.name, Address: u.address, Zone: "a", MachineType: "m", Status: endpoints.StatusReady})
	}
	f.discovery = fakes.NewDiscovery(entries...)
	f.discovery.Heartbeat = 2 * time.Second
	f.discovery.Rate, f.discovery.Timeout = f.script.CallRate, f.script.CallLimit
	f.discovery.Wrote = f.wrote
	if _, err := f.discovery.Listen("127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(f.discovery.Close)
	for i := range f.script.Sidecars {
		f.sidecars = append(f.sidecars, f.newSidecar(i))
	}
	for _, s := range f.sidecars {
		s.mu.Lock()
		f.start(s)
		s.mu.Unlock()
	}
}

// wrote notes what discovery has told a sidecar.
func (f *fleet) wrote(address string, version int64) {
	f.mu.Lock()
	sidecar, ok := f.addresses[address]
	f.mu.Unlock()
	if ok {
		f.record.do(func(r *Record) {
			r.Writes = append(r.Writes, Write{Sidecar: sidecar, Version: version, At: f.record.now()})
		})
	}
}

// join is an address of discovery's for one sidecar alone.
func (f *fleet) join(sidecar int) string {
	address, err := f.discovery.Join()
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[address] = sidecar
	return address
}

func (f *fleet) newSidecar(number int) *sidecar {
	reserved, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(reserved.Release)
	s := &sidecar{number: number, address: reserved.Address, lists: f.join(number), reserved: reserved}
	s.process = f.rig.Process(processes.Spec{Name: fmt.Sprintf("n%d", number), Ready: processes.Listening,
		Args: []string{"serve", "--config", "config.json", "--file", "operators.toml"}})
	return s
}

// files are a sidecar's, as they are now.
func (f *fleet) files(s *sidecar) map[string]string {
	config := map[string]any{
		"name": s.process.Name(), "listen": s.address, "discovery": s.lists, "seed": fmt.Sprintf("%x", f.script.Seed*100+uint64(s.number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 1024},
		"known":  f.known(), "settings": f.settings(),
	}
	text, err := json.Marshal(config)
	if err != nil {
		f.t.Fatal(err)
	}
	return map[string]string{"config.json": string(text), "operators.toml": "[log]\nformat = \"json\"\n"}
}

// known is the list as it was before anything changed.
func (f *fleet) known() *endpoints.List {
	version := int64(1)
	l := &endpoints.List{Index: &version, Snapshot: true}
	for _, u := range f.upstreams {
		l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Name: u.name, Address: u.address, Zone: "a", MachineType: "m", Status: endpoints.StatusReady})
	}
	return l
}

func (f *fleet) settings() map[string]any {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	class := func(name, semantics string) map[string]any {
		return map[string]any{"Name": name, "Semantics": semantics, "KeyScope": "all", "DedupWindowMs": 6000.0, "AimMs": ms(f.script.Deadline / 2),
			"DeadlineMs": ms(f.script.Deadline), "Importance": 1.0, "LateShare": 0.5}
	}
	return map[string]any{
		"Balancers": f.script.Sidecars, "Zone": "a", "Discovery": "ask", "TickMs": 5.0, "WorthBy": "request", "Tenants": []any{},
		"Classes": []any{class("search", "retryable"), class("record", "dedup"), class("confirm", "fragile")},
		"Limits": map[string]any{"Cancelling": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 300.0, "MaxRetryAfterMs": 1500.0, "RetryAfter": true,
			"SecondCopies": true, "SendCap": 4},
		"Rules": map[string]any{"ColdFrom": 0.3, "DrainGraceMs": ms(f.script.Grace), "FallMs": 2000.0, "FallMultiple": 3.0, "WarmUpMs": 8800.0,
			"MustAskInMs": 10000.0, "GraceToAnswerMs": 20.0},
	}
}

// start begins a life; the caller holds the sidecar's lock.
func (f *fleet) start(s *sidecar) {
	f.record.do(func(r *Record) {
		s.life = len(r.Runs)
		r.Runs = append(r.Runs, ProcessRun{Sidecar: s.number, Span: Span{From: f.record.now()}})
	})
	s.started = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), processes.Patience)
	defer cancel()
	if err := s.process.Start(ctx, f.files(s)); err != nil {
		f.crashed(s, err.Error())
		return
	}
	for ctx.Err() == nil {
		if ready(s.address) {
			f.record.do(func(r *Record) { r.Runs[s.life].Ready = f.record.now() })
			return
		}
		time.Sleep(readyLook)
	}
}

func ready(address string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) crashed(s *sidecar, how string) {
	f.record.do(func(r *Record) { r.Runs[s.life].Crashed = how })
}

// play does the script's steps at their times.
func (f *fleet) play() {
	begun := time.Now()
	for _, step := range f.script.Steps {
		time.Sleep(time.Until(begun.Add(step.At)))
		f.step(step)
	}
	time.Sleep(time.Until(begun.Add(f.script.Length)))
}

func (f *fleet) step(step Step) {
	f.rig.Note("script", string(step.Kind), step)
	switch step.Kind {
	case DiscoveryDown:
		f.outage(step.For)
	case DiscoveryRefuses:
		f.discovery.RejectNext(step.Count)
	case WatchesReset:
		f.discovery.Break()
	case WatchesSilent:
		f.discovery.Mute()
	case Drain, Remove:
		f.leave(f.upstreams[step.Target].name, step.Kind == Remove)
	case Reload:
		f.playing.Go(func() { f.reload(f.sidecars[step.Target]) })
	case Terminate, TerminateSeries, Kill:
		f.playing.Go(func() { f.restart(f.sidecars[step.Target], step.Kind) })
	case Crowd:
		f.playing.Go(func() { f.crowd(f.sidecars[step.Target], step) })
	case Pause:
		f.playing.Go(func() { f.pause(f.sidecars[step.Target], step.For) })
	case UpstreamHangs:
		f.upstreams[step.Target].hang(step.For)
	case UpstreamResets:
		f.upstreams[step.Target].reset(step.For)
	}
}

func (f *fleet) outage(length time.Duration) {
	f.discovery.Down(true)
	from := f.record.now()
	f.record.do(func(r *Record) { r.Outages = append(r.Outages, Span{From: from, To: from + length}) })
	f.playing.Go(func() {
		time.Sleep(length)
		f.discovery.Down(false)
		f.record.do(func(r *Record) { r.Outages[len(r.Outages)-1].To = f.record.now() })
	})
}

func (f *fleet) leave(upstream string, gone bool) {
	if gone {
		f.discovery.Remove(upstream)
	} else {
		f.discovery.Drain(upstream)
	}
	change := Change{Upstream: upstream, Version: f.discovery.Version(), At: f.record.now()}
	f.record.do(func(r *Record) { r.Changes = append(r.Changes, change) })
}

func (f *fleet) reload(s *sidecar) {
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(time.Until(s.started.Add(firstSecond)))
	before := s.lists
	s.lists = f.join(s.number)
	f.playing.Go(func() {
		time.Sleep(movedFor)
		f.discovery.Retire(before)
	})
	config := filepath.Join(s.process.Dir, "config.json")
	if err := os.WriteFile(config, []byte(f.files(s)["config.json"]), 0o600); err != nil {
		f.t.Error(err)
		return
	}
	if err := s.process.Signal(syscall.SIGHUP); err != nil {
		f.crashed(s, err.Error())
	}
}

func (f *fleet) restart(s *sidecar, kind StepKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.end(s, kind) {
		return
	}
	f.start(s)
	if kind == TerminateSeries { // and at once when it is ready
		_ = s.process.Signal(syscall.SIGHUP) // a process that has ended is a finding of its own
	}
}

// end ends a sidecar's process, with SIGKILL at once or as early as one may come after SIGTERM.
func (f *fleet) end(s *sidecar, kind StepKind) bool {
	kill := kind == Kill
	now := f.record.now()
	f.record.do(func(r *Record) {
		if kill {
			r.Runs[s.life].Killed = true
		} else {
			r.Runs[s.life].Terminated = now
		}
	})
	signal := syscall.SIGTERM
	if kill {
		signal = syscall.SIGKILL
	}
	if err := s.process.Signal(signal); err != nil {
		f.crashed(s, err.Error())
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.script.Deadline+killSlack)
	defer cancel()
	var signaling sync.WaitGroup
	if kind == TerminateSeries {
		signaling.Go(func() { f.signalUntilEnd(ctx, s) })
	}
	notEnded := s.process.Await(ctx)
	cancel()
	signaling.Wait() // the next process gets none of these signals
	if notEnded != nil {
		killed, stop := context.WithTimeout(context.Background(), processes.Patience)
		defer stop()
		_ = s.process.Kill(killed)
	}
	f.record.do(func(r *Record) { r.Runs[s.life].To = f.record.now() })
	return true
}

// signalUntilEnd sends SIGHUP and SIGTERM in turn to a process that ends.
func (f *fleet) signalUntilEnd(ctx context.Context, s *sidecar) {
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-time.After(seriesInterval):
		case <-ctx.Done():
			return
		}
		if s.process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[n%2]) != nil {
			return
		}
	}
}

// pause holds a process up, as a busy machine does.
func (f *fleet) pause(s *sidecar, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(d)
	_ = s.process.Signal(syscall.SIGCONT)
}

// endLives ends all processes, and notes those that have ended by themselves.
func (f *fleet) endLives() {
	for _, s := range f.sidecars {
		s.mu.Lock()
		f.end(s, Terminate)
		s.mu.Unlock()
	}
}
