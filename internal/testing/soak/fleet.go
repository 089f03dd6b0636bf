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

// fleet holds the sidecars, fake upstreams and fake discovery service on which a script runs.
type fleet struct {
	t            testing.TB
	script       Script
	rig          *processes.Rig
	record       *recorder
	discovery    *fakes.Discovery
	upstreams    []*upstream
	sidecars     []*sidecar
	runningSteps sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]int // number of the sidecar that uses an address of discovery
}

// sidecar runs one process after another at the same address.
type sidecar struct {
	number  int
	process *processes.Process
	address string

	mu               sync.Mutex // locked while the process is started, ended, paused or reloaded
	discoveryAddress string     // address of discovery in the sidecar's configuration
	runIndex         int        // index of the current process in Record.Runs
	started          time.Time
	reservation      *fakes.Reservation
}

const (
	settleTime         = 500 * time.Millisecond  // time from the end of the load to the end of the processes
	killMargin         = 700 * time.Millisecond  // time from SIGTERM to SIGKILL, in addition to the longest deadline
	minAgeForReload    = time.Second             // minimum age of a process that gets SIGHUP for a reload
	oldAddressLifetime = 1500 * time.Millisecond // time for which an address of discovery stays open after the reload that replaces it
	readyPollInterval  = 10 * time.Millisecond

	signalInterval = 90 * time.Millisecond // interval of the signals of TerminateSeries
)

// Play runs a script and returns the observations. It fails the test only for errors of the test environment. Violations of the rules are found by
// CheckRules.
func Play(t testing.TB, script Script) *Record {
	t.Helper()
	f := &fleet{t: t, script: script, rig: processes.New(t, script.Seed), record: &recorder{started: time.Now()}, addresses: map[string]int{}}
	f.record.Grace = script.Grace
	f.setUp()
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i, s := range f.sidecars {
		c := newClient(i, s.address, script.Deadline, script.Seed, f.record)
		for number := range keepAliveClientCount {
			k := newKeepAliveClient(c, number)
			load.Go(func() { k.run(ctx) })
		}
		load.Go(func() { c.run(ctx, script.Rate) })
	}
	f.play()
	stop()
	load.Wait()
	f.runningSteps.Wait()
	time.Sleep(settleTime)
	f.endProcesses()
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
	f.discovery.Wrote = f.recordWrite
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

// recordWrite records that discovery has sent a version of the endpoint list to a sidecar.
func (f *fleet) recordWrite(address string, version int64) {
	f.mu.Lock()
	sidecar, ok := f.addresses[address]
	f.mu.Unlock()
	if ok {
		f.record.do(func(r *Record) {
			r.Writes = append(r.Writes, Write{Sidecar: sidecar, Version: version, At: f.record.now()})
		})
	}
}

// newDiscoveryAddress opens an address of discovery that only the given sidecar uses.
func (f *fleet) newDiscoveryAddress(sidecar int) string {
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
	reservation, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(reservation.Release)
	s := &sidecar{number: number, address: reservation.Address, discoveryAddress: f.newDiscoveryAddress(number), reservation: reservation}
	s.process = f.rig.Process(processes.Spec{Name: fmt.Sprintf("n%d", number), Ready: processes.Listening,
		Args: []string{"serve", "--config", "config.json", "--file", "operators.toml"}})
	return s
}

// configFiles returns the current contents of a sidecar's configuration files.
func (f *fleet) configFiles(s *sidecar) map[string]string {
	config := map[string]any{
		"name": s.process.Name(), "listen": s.address, "discovery": s.discoveryAddress, "seed": fmt.Sprintf("%x", f.script.Seed*100+uint64(s.number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 1024},
		"known":  f.initialList(), "settings": f.settings(),
	}
	text, err := json.Marshal(config)
	if err != nil {
		f.t.Fatal(err)
	}
	return map[string]string{"config.json": string(text), "operators.toml": "[log]\nformat = \"json\"\n"}
}

// initialList returns the endpoint list as it was before all changes.
func (f *fleet) initialList() *endpoints.List {
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

// start starts a process of a sidecar and waits until it is ready. The caller holds the sidecar's lock.
func (f *fleet) start(s *sidecar) {
	f.record.do(func(r *Record) {
		s.runIndex = len(r.Runs)
		r.Runs = append(r.Runs, ProcessRun{Sidecar: s.number, Span: Span{From: f.record.now()}})
	})
	s.started = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), processes.Patience)
	defer cancel()
	if err := s.process.Start(ctx, f.configFiles(s)); err != nil {
		f.recordCrash(s, err.Error())
		return
	}
	for ctx.Err() == nil {
		if ready(s.address) {
			f.record.do(func(r *Record) { r.Runs[s.runIndex].Ready = f.record.now() })
			return
		}
		time.Sleep(readyPollInterval)
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

func (f *fleet) recordCrash(s *sidecar, how string) {
	f.record.do(func(r *Record) { r.Runs[s.runIndex].Crashed = how })
}

// play starts each step of the script at its time.
func (f *fleet) play() {
	started := time.Now()
	for _, step := range f.script.Steps {
		time.Sleep(time.Until(started.Add(step.At)))
		f.step(step)
	}
	time.Sleep(time.Until(started.Add(f.script.Length)))
}

// step starts a step. Steps with a duration continue in the background.
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
		f.drainOrRemove(f.upstreams[step.Target].name, step.Kind == Remove)
	case Reload:
		f.runningSteps.Go(func() { f.reload(f.sidecars[step.Target]) })
	case Terminate, TerminateSeries, Kill:
		f.runningSteps.Go(func() { f.restart(f.sidecars[step.Target], step.Kind) })
	case Crowd:
		f.runningSteps.Go(func() { f.crowd(f.sidecars[step.Target], step) })
	case PipeliningLeave:
		f.runningSteps.Go(func() { f.pipeliningClients(f.sidecars[step.Target], step) })
	case Pause:
		f.runningSteps.Go(func() { f.pause(f.sidecars[step.Target], step.For) })
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
	f.runningSteps.Go(func() {
		time.Sleep(length)
		f.discovery.Down(false)
		f.record.do(func(r *Record) { r.Outages[len(r.Outages)-1].To = f.record.now() })
	})
}

func (f *fleet) drainOrRemove(upstream string, remove bool) {
	if remove {
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
	time.Sleep(time.Until(s.started.Add(minAgeForReload)))
	before := s.discoveryAddress
	s.discoveryAddress = f.newDiscoveryAddress(s.number)
	f.runningSteps.Go(func() {
		time.Sleep(oldAddressLifetime)
		f.discovery.Retire(before)
	})
	config := filepath.Join(s.process.Dir, "config.json")
	if err := os.WriteFile(config, []byte(f.configFiles(s)["config.json"]), 0o600); err != nil {
		f.t.Error(err)
		return
	}
	if err := s.process.Signal(syscall.SIGHUP); err != nil {
		f.recordCrash(s, err.Error())
	}
}

func (f *fleet) restart(s *sidecar, kind StepKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.end(s, kind) {
		return
	}
	f.start(s)
	if kind == TerminateSeries { // the process reloads its configuration as soon as it is ready
		_ = s.process.Signal(syscall.SIGHUP) // fails if the process has ended, which a later signal reports as a crash
	}
}

// end ends a sidecar's process. It sends SIGKILL for the kind Kill. For other kinds it sends SIGTERM, and SIGKILL if the process has not ended
// after the longest deadline plus killMargin. It returns false if the process had already ended.
func (f *fleet) end(s *sidecar, kind StepKind) bool {
	kill := kind == Kill
	now := f.record.now()
	f.record.do(func(r *Record) {
		if kill {
			r.Runs[s.runIndex].Killed = true
		} else {
			r.Runs[s.runIndex].Terminated = now
		}
	})
	signal := syscall.SIGTERM
	if kill {
		signal = syscall.SIGKILL
	}
	if err := s.process.Signal(signal); err != nil {
		f.recordCrash(s, err.Error())
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.script.Deadline+killMargin)
	defer cancel()
	var signaling sync.WaitGroup
	if kind == TerminateSeries {
		signaling.Go(func() { f.signalUntilEnd(ctx, s) })
	}
	notEnded := s.process.Await(ctx)
	cancel()
	signaling.Wait() // the next process must not get these signals
	if notEnded != nil {
		killed, stop := context.WithTimeout(context.Background(), processes.Patience)
		defer stop()
		_ = s.process.Kill(killed)
	}
	f.record.do(func(r *Record) { r.Runs[s.runIndex].To = f.record.now() })
	return true
}

// signalUntilEnd sends SIGHUP and SIGTERM in turn to a process until it has ended.
func (f *fleet) signalUntilEnd(ctx context.Context, s *sidecar) {
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-time.After(signalInterval):
		case <-ctx.Done():
			return
		}
		if s.process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[n%2]) != nil {
			return
		}
	}
}

// pause stops a process with SIGSTOP for the duration d, to simulate the delays of a busy machine.
func (f *fleet) pause(s *sidecar, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(d)
	_ = s.process.Signal(syscall.SIGCONT)
}

// endProcesses ends all processes. It records processes that had already ended as crashed.
func (f *fleet) endProcesses() {
	for _, s := range f.sidecars {
		s.mu.Lock()
		f.end(s, Terminate)
		s.mu.Unlock()
	}
}
