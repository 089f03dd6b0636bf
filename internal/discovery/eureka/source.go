package eureka

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tlscredentials"
)

const (
	maxLoggedReasons = 4              // maximum number of different failures that are logged in one outage
	sourceStream     = 0x657572656b61 // selects the random number stream of the seed
)

// Source is an endpoints.Source that polls a registry. Its endpoints have the statuses of package membership.
type Source struct {
	declaration Declaration
	client      *client
	credentials *tlscredentials.Store // nil if no TLS is configured
	log         *slog.Logger
	rng         *rand.Rand
	polls       atomic.Int64

	// Only the goroutine that runs Run uses the fields below.
	cache            *instanceCache
	state            pollState
	partial          bool     // the cache may lack instances
	snapshotReported bool     // the sink has received the complete list
	loggedReasons    []string // failures logged in the present outage, at most maxLoggedReasons
	loggedUnusable   int      // last logged number of instances without a usable address
}

var _ endpoints.Source = (*Source)(nil)

// New returns a Source. It polls only while Run runs. The jitter of its polls is drawn from seed.
func New(d Declaration, connectTimeout time.Duration, seed uint64, log *slog.Logger) (*Source, error) {
	s := &Source{
		declaration: d,
		log:         cmp.Or(log, slog.New(slog.DiscardHandler)),
		rng:         rand.New(rand.NewPCG(seed, sourceStream)),
		state:       pollState{wantsDelta: d.VirtualAddress == "" && (d.Delta || len(d.Applications) != 1)},
	}
	var err error
	if s.client, s.credentials, err = newClient(d, connectTimeout, s.log); err != nil {
		return nil, err
	}
	s.cache = newInstanceCache(d.mapping(), d.Applications)
	return s, nil
}

// Refresh does nothing, since the registry is polled at short intervals.
func (s *Source) Refresh() {}

// Polls returns the number of polls whose results have been reported to the sink.
func (s *Source) Polls() int64 { return s.polls.Load() }

// Traffic returns the number of requests sent so far, and the bytes of their responses before decompression.
func (s *Source) Traffic() (requests, bytes int64) {
	return s.client.requests.Load(), s.client.bytes.Load()
}

// Run polls the registry until ctx ends, and reports the results to sink.
func (s *Source) Run(ctx context.Context, sink endpoints.Sink) {
	if s.credentials != nil {
		credentialsDone := make(chan struct{})
		go func() { defer close(credentialsDone); s.credentials.Run(ctx) }()
		defer func() { <-credentialsDone }()
	}
	defer s.client.http.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		startedAt := time.Now()
		partial, err := s.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		s.report(sink, partial, err)
		s.polls.Add(1)
		wait := s.state.wait(s.declaration.Poll.D(), s.declaration.Backoff.D(), s.rng.Float64())
		timer.Reset(max(0, wait-time.Since(startedAt)))
	}
}

// report passes the result of a poll to the sink. The first complete result is reported as a snapshot, all other results as changes.
func (s *Source) report(sink endpoints.Sink, partial bool, err error) {
	if err != nil {
		s.state.failures++
		s.logFailure(err)
		sink.Lost(err, true)
		return
	}
	s.state.failures = 0
	if !partial {
		s.logRecovery()
	}
	snapshot := !s.snapshotReported && !partial
	l := s.cache.changes(snapshot, partial)
	if snapshot || len(l.Endpoints) > 0 {
		sink.Update(l)
	} else {
		sink.Current()
	}
	s.snapshotReported = s.snapshotReported || snapshot
	s.logUnusable()
}

// logFailure logs each different failure once per outage, so that servers that fail alternately in different ways do not fill the log.
func (s *Source) logFailure(err error) {
	if len(s.loggedReasons) >= maxLoggedReasons || slices.Contains(s.loggedReasons, err.Error()) {
		return
	}
	s.log.Warn("the last good list stays", "registry", s.declaration.Name, "reason", err)
	s.loggedReasons = append(s.loggedReasons, err.Error())
}

// logRecovery logs the end of an outage.
func (s *Source) logRecovery() {
	if len(s.loggedReasons) > 0 {
		s.log.Info("the registry can be used again", "registry", s.declaration.Name)
		s.loggedReasons = nil
	}
}

// logUnusable logs the number of instances without a usable address if it has changed.
func (s *Source) logUnusable() {
	if n := s.cache.unusable; n != s.loggedUnusable {
		s.loggedUnusable = n
		s.log.Warn("instances without IP address and port that are on are left out", "registry", s.declaration.Name, "instances", n)
	}
}

// poll updates the cache. partial reports that the cache may lack instances, because the response does not match its own checksum. The
// instances in such a response are used, but instances that are missing from it are not treated as removed.
func (s *Source) poll(ctx context.Context) (partial bool, err error) {
	if !s.state.useDelta() {
		return s.pollFull(ctx)
	}
	matches, err := s.pollDelta(ctx)
	switch {
	case isStatus(err, http.StatusNotFound, http.StatusForbidden, http.StatusMethodNotAllowed):
		s.log.Info("the registry has no deltas: the full registry is polled", "registry", s.declaration.Name)
		s.state.wantsDelta = false
	case err != nil:
		s.state.isComplete = false // part of the delta may have been lost
		return false, err
	default:
		s.state.recordChecksumResult(matches)
		if matches {
			return false, nil
		}
	}
	return s.pollFull(ctx)
}

// pollDelta polls a delta and applies it, and reports whether the cache then matches the delta's checksum.
func (s *Source) pollDelta(ctx context.Context) (matches bool, err error) {
	var changed []*instance
	d := &document{visit: func(i *instance) error {
		changed = append(changed, i)
		return nil
	}}
	err = s.client.get(ctx, allApplicationsPath+"/delta", d, func() {
		changed = nil
		d.reset()
	})
	if errors.Is(err, errUnchanged) {
		return true, nil // the delta matched when it was applied; otherwise a full poll would have followed
	}
	if err != nil {
		return false, err
	}
	for _, i := range changed {
		_ = s.cache.put(i)
	}
	return d.hash == s.cache.hash(), nil
}

// pollFull polls all instances of the declared path and replaces the cache.
func (s *Source) pollFull(ctx context.Context) (partial bool, err error) {
	path := s.declaration.path()
	next := newInstanceCache(s.declaration.mapping(), s.declaration.Applications)
	d := &document{visit: next.put}
	err = s.client.get(ctx, path, d, func() {
		next.clear()
		d.reset()
	})
	if errors.Is(err, errUnchanged) {
		s.state.isComplete = true
		return s.partial, nil
	}
	if isStatus(err, http.StatusNotFound) && path != allApplicationsPath {
		s.client.lastDecoded = responseDigest{}
		next.clear() // the registry no longer has this application or virtual address
		err = nil
	}
	if err != nil {
		return false, err
	}
	next.reported, s.partial = s.cache.reported, false
	s.cache = next
	s.state.isComplete = true
	if d.hash != "" && path == allApplicationsPath && d.hash != next.hash() {
		s.logFailure(errors.New("the registry's response does not match its own checksum: " + d.hash + ", counted " + next.hash()))
		s.partial = true
	}
	return s.partial, nil
}
