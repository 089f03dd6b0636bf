// Package eureka is a client of the registry API of Netflix's Eureka, version 2 of its REST operations, as Spring Cloud
// serves it too. A Source follows the instances of applications as upstreams; a Registration makes this process known.
//
// Decisions stand apart from calls: registry holds the copy of the instances and says what changed, lease what a registered
// instance owes the registry, source what is asked for next.
package eureka

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tlscredentials"
)

// Source follows a registry. It is a directory.Source; its Status words are those of package membership.
type Source struct {
	d       Declaration
	client  *client
	keys    *tlscredentials.Store // nil: no server of https
	log     *slog.Logger
	rng     *rand.Rand
	copy    *registry
	state   poller
	partial bool     // the copy may lack instances
	said    []string // the failures that were logged since it could last be used, maxReasons at most
	odd     int      // instances without a usable address, as logged last
	asked   atomic.Int64
}

var _ endpoints.Source = (*Source)(nil)

// poller decides what is asked for next. It is a state machine.
type poller struct {
	delta    bool // changes are wanted, as long as the registry has them
	whole    bool // the copy is as the registry said: changes can be applied to it
	mismatch int  // times in a row that the copy did not come to the registry's sum
	slow     bool // sums never fit: the whole is asked for, and no changes
	failures int
}

// wrongSums is after how many sums in a row that do not fit changes are no longer asked for.
const wrongSums = 3

// ask tells whether changes are to be asked for, else the whole.
func (p *poller) ask() (changes bool) { return p.delta && p.whole && !p.slow }

// wait is how long until the next poll; most bounds it after failures. spread is from 0 to 1.
func (p *poller) wait(poll, most time.Duration, spread float64) time.Duration {
	if p.failures == 0 {
		return poll
	}
	d := min(poll<<min(p.failures-1, 20), most)
	return d/2 + time.Duration(spread*float64(d/2))
}

// summed takes whether the copy came to the registry's sum.
func (p *poller) summed(fits bool) {
	if fits {
		p.mismatch = 0
		p.slow = false
		return
	}
	p.whole = false
	if p.mismatch++; p.mismatch >= wrongSums {
		p.slow = true
	}
}

// New returns a Source; Run makes it work. Random numbers, for spreading calls, come from seed.
func New(d Declaration, connect time.Duration, seed uint64, log *slog.Logger) (*Source, error) {
	s := &Source{d: d, log: cmp.Or(log, slog.New(slog.DiscardHandler)), rng: rand.New(rand.NewPCG(seed, 0x657572656b61)),
		state: poller{delta: d.VirtualAddress == "" && (d.Delta || len(d.Applications) != 1)}}
	var err error
	if s.client, s.keys, err = newClient(d, connect, s.log); err != nil {
		return nil, err
	}
	s.copy = newRegistry(d.mapping(), d.Applications)
	return s, nil
}

func newClient(d Declaration, connect time.Duration, log *slog.Logger) (*client, *tlscredentials.Store, error) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: cmp.Or(connect, time.Second)}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10, IdleConnTimeout: 90 * time.Second}
	var store *tlscredentials.Store
	if d.TLS.CA != "" {
		var err error
		store, err = tlscredentials.Open(tlscredentials.Files{Certificate: d.TLS.Certificate, Key: d.TLS.Key, CA: d.TLS.CA}, d.TLS.WarnBefore.D(), log)
		if err != nil {
			return nil, nil, fmt.Errorf("eureka %s: %w", d.Name, err)
		}
		secure := tlscredentials.NewClient(store, d.TLS)
		plain := transport.DialContext
		transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := plain(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c, err := secure.Handshake(ctx, conn, endpoints.Instance{Address: address})
			if err != nil {
				conn.Close()
				return nil, err
			}
			return c, nil
		}
	}
	c := &client{servers: make([]string, len(d.Servers)), timeout: d.Timeout.D(), most: int64(d.MaxAnswer),
		accept: "application/" + cmp.Or(d.Format, "json"), user: d.User, password: d.password,
		http: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	for i, server := range d.Servers {
		for len(server) > 0 && server[len(server)-1] == '/' {
			server = server[:len(server)-1]
		}
		c.servers[i] = server
	}
	return c, store, nil
}

func (d *Declaration) mapping() Mapping {
	return Mapping{Secure: d.Secure, ZoneKey: d.ZoneKey, TypeKey: d.TypeKey, GroupKey: d.GroupKey, IdentityKey: d.IdentityKey,
		WithApp: len(d.Applications) != 1 && d.VirtualAddress == ""}
}

// Refresh is directory.Source's: it is asked anyway.
func (s *Source) Refresh() {}

// Polls is how often the registry has been asked, and the answer taken.
func (s *Source) Polls() int64 { return s.asked.Load() }

// Traffic is what the registry has been asked so far: requests, and bytes of its answers as they came.
func (s *Source) Traffic() (requests, bytes int64) {
	return s.client.requests.Load(), s.client.bytes.Load()
}

// Run is directory.Source's.
func (s *Source) Run(ctx context.Context, sink endpoints.Sink) {
	if s.keys != nil {
		stop := make(chan struct{})
		go func() { defer close(stop); s.keys.Run(ctx) }()
		defer func() { <-stop }()
	}
	defer s.client.http.CloseIdleConnections()
	next := time.NewTimer(0)
	defer next.Stop()
	first := true
	for {
		select {
		case <-next.C:
		case <-ctx.Done():
			return
		}
		begun := time.Now()
		partial, err := s.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.state.failures++
			s.say(err)
			sink.Lost(err, true)
		} else {
			s.state.failures = 0
			if !partial {
				s.say(nil)
			}
			l := s.copy.news(first && !partial, partial)
			if first && !partial || len(l.Endpoints) > 0 {
				sink.Update(l)
			} else {
				sink.Current()
			}
			first = first && partial
			if n := s.copy.unusual; n != s.odd {
				s.odd = n
				s.log.Warn("instances without IP address and port that are on are left out", "registry", s.d.Name, "instances", n)
			}
		}
		s.asked.Add(1)
		next.Reset(max(0, s.state.wait(s.d.Poll.D(), s.d.Backoff.D(), s.rng.Float64())-time.Since(begun)))
	}
}

// maxReasons is how many different failures of one outage are logged.
const maxReasons = 4

// say logs a failure once an outage, and that the outage is over: replicas that fail in turn, each in its own way, cost
// no line a poll.
func (s *Source) say(err error) {
	switch {
	case err == nil && len(s.said) > 0:
		s.log.Info("the registry can be used again", "registry", s.d.Name)
		s.said = nil
	case err != nil && len(s.said) < maxReasons && !slices.Contains(s.said, err.Error()):
		s.log.Warn("the last good list stays", "registry", s.d.Name, "reason", err)
		s.said = append(s.said, err.Error())
	}
}

// poll brings the copy up to date. It tells whether the copy may lack instances: an answer that does not come to its own
// sum is believed in what it says and not in what it lacks.
func (s *Source) poll(ctx context.Context) (partial bool, err error) {
	if s.state.ask() {
		fits, err := s.changes(ctx)
		switch {
		case isStatus(err, http.StatusNotFound, http.StatusForbidden, http.StatusMethodNotAllowed):
			s.log.Info("the registry tells no changes: it is asked for everything", "registry", s.d.Name)
			s.state.delta = false
		case err != nil:
			s.state.whole = false // part of them may have been lost
			return false, err
		default:
			s.state.summed(fits)
			if fits {
				return false, nil
			}
		}
	}
	return s.everything(ctx)
}

// changes applies a delta. It tells whether the copy comes to the sum that the registry gives with it.
func (s *Source) changes(ctx context.Context) (fits bool, err error) {
	var all []*instance
	d := &document{visit: func(i *instance) error {
		all = append(all, i)
		return nil
	}}
	if err := s.client.get(ctx, "/apps/delta", d, func() { all, d.instances, d.hash = nil, 0, "" }); err != nil {
		if errors.Is(err, errUnchanged) {
			return true, nil // it fitted when it was applied, or the whole would have been asked for
		}
		return false, err
	}
	for _, i := range all {
		_ = s.copy.put(i)
	}
	return d.hash == s.copy.hash(), nil
}

// everything replaces the copy.
func (s *Source) everything(ctx context.Context) (partial bool, err error) {
	apps := s.d.Applications
	next := newRegistry(s.d.mapping(), apps)
	d := &document{visit: next.put}
	err = s.client.get(ctx, s.d.path(), d, func() { next.clear(); next.unusual, d.instances, d.hash = 0, 0, "" })
	if errors.Is(err, errUnchanged) {
		s.state.whole = true
		return s.partial, nil
	}
	if isStatus(err, http.StatusNotFound) && s.d.path() != "/apps" {
		s.client.applied = sumOf{}
		err = nil // the registry knows no such application now
		next.clear()
	}
	if err != nil {
		return false, err
	}
	next.told, s.partial = s.copy.told, false
	s.copy = next
	s.state.whole = true
	if d.hash != "" && s.d.path() == "/apps" && d.hash != next.hash() {
		s.say(errors.New("the registry's answer does not come to its own sum: " + d.hash + ", counted " + next.hash()))
		s.partial = true
	}
	return s.partial, nil
}
