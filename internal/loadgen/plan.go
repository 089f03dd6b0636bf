// Package loadgen sends requests at a rate, whatever becomes of them: an open loop, over HTTP/1.1 or gRPC. Latency counts from the moment at
// which a request was to be sent, so that a server that stands still is seen by all who would have come meanwhile
// (no coordinated omission). Memory is bounded at any length: what is due is found by counting on, not kept.
package loadgen

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Phase is a part of a run at one rate.
type Phase struct {
	Rate float64 // requests a second
	For  time.Duration
}

// ParsePhases reads "500:30s,1500:10s", or a rate alone, which goes on for as long as rest says.
func ParsePhases(text string, rest time.Duration) ([]Phase, error) {
	var all []Phase
	for part := range strings.SplitSeq(text, ",") {
		rate, length, given := strings.Cut(part, ":")
		p := Phase{For: rest}
		var err error
		if p.Rate, err = strconv.ParseFloat(rate, 64); err != nil || !(p.Rate >= 0 && p.Rate <= mostRate) {
			return nil, fmt.Errorf("%q: a rate is a number from 0 to %d, as in 500 or 500:30s,1500:10s", part, int(mostRate))
		}
		if given {
			if p.For, err = time.ParseDuration(length); err != nil {
				return nil, fmt.Errorf("%q: %w", part, err)
			}
		}
		if p.For <= 0 {
			return nil, fmt.Errorf("%q: it has no length", part)
		}
		all = append(all, p)
	}
	return all, nil
}

const mostRate = 10_000_000

// Class is a kind of request.
type Class struct {
	Name    string
	Share   float64 // of all requests, beside the others'
	Method  string  // HTTP's, or gRPC's as /package.Service/Method
	Path    string  // with {n} for the request's number
	Body    []byte  // a gRPC message's bytes; with {n} too
	Headers []Header
}

// Header is a header, or gRPC metadata. {n} in its value is the request's number.
type Header struct{ Name, Value string }

// ParseClass reads "search=3:GET /search?q={n}", or without a name and a share "GET /search".
func ParseClass(text string) (Class, error) {
	c := Class{Name: "request", Share: 1}
	name, rest, named := strings.Cut(text, "=")
	if share, what, ok := strings.Cut(rest, ":"); named && ok && !strings.ContainsAny(name, " /") {
		x, err := strconv.ParseFloat(share, 64)
		if err != nil || !(x > 0 && x < 1e9) {
			return c, fmt.Errorf("%q: its share %q is not a number above 0", text, share)
		}
		c.Name, c.Share, text = name, x, what
	}
	method, path, ok := strings.Cut(text, " ")
	if !ok && strings.HasPrefix(text, "/") {
		method, path = "GET", text
	}
	if c.Method, c.Path = method, strings.TrimSpace(path); !strings.HasPrefix(c.Path, "/") || c.Method == "" || strings.ContainsAny(c.Path, " \r\n") {
		return c, fmt.Errorf("%q: a class is NAME=SHARE:METHOD /path, as in search=3:GET /search?q={n}", text)
	}
	return c, nil
}

// ParseHeader reads "Name: value".
func ParseHeader(text string) (Header, error) {
	name, value, ok := strings.Cut(text, ":")
	h := Header{strings.TrimSpace(name), strings.TrimSpace(value)}
	if !ok || h.Name == "" || strings.ContainsAny(h.Name+h.Value, "\r\n") || strings.ContainsAny(h.Name, " \t") {
		return h, fmt.Errorf("%q: a header is Name: value", text)
	}
	return h, nil
}

// Options are a run's parameters.
type Options struct {
	Target            string // http://address or grpc://address
	Phases            []Phase
	Classes           []Class
	Connections       int           // at once, at most: a request that finds none free is late, and counted so
	Timeout           time.Duration // of a try
	Steady            bool          // requests come at even distances; else as by chance (Poisson)
	Seed              uint64
	Retries           int           // tries after the first, where a server refuses (429, 503, UNAVAILABLE with RetryInfo) or a safe one breaks
	RetryBackoff      time.Duration // before a try, where the server names no time; it doubles
	MaxWaitingRetries int           // requests that wait for their next try, at most; what comes beyond is given up
}

// Check finds what can't be run, and fills in what is absent.
func (o *Options) Check() error {
	u, err := url.Parse(o.Target)
	if err != nil || u.Scheme != "http" && u.Scheme != "grpc" || u.Path != "" && u.Path != "/" || u.RawQuery != "" || u.User != nil {
		return fmt.Errorf("%q: a target is http://ADDRESS:PORT or grpc://ADDRESS:PORT", o.Target)
	}
	if _, _, err := net.SplitHostPort(u.Host); err != nil {
		return fmt.Errorf("%q: %w", o.Target, err)
	}
	switch {
	case len(o.Phases) == 0 || len(o.Phases) > 1000:
		return errors.New("from 1 to 1000 phases are needed")
	case !slices.ContainsFunc(o.Phases, func(p Phase) bool { return p.Rate > 0 }):
		return errors.New("no phase has a rate above 0")
	case o.Connections < 1 || o.Connections > 1<<16:
		return fmt.Errorf("%d connections are not from 1 to %d", o.Connections, 1<<16)
	case len(o.Classes) == 0 || len(o.Classes) > 32:
		return errors.New("from 1 to 32 classes are needed")
	case o.Timeout <= 0:
		return errors.New("a try needs some time")
	case o.Retries < 0 || o.Retries > 100:
		return fmt.Errorf("%d retries are not from 0 to 100", o.Retries)
	}
	for i, c := range o.Classes {
		if slices.ContainsFunc(o.Classes[:i], func(b Class) bool { return b.Name == c.Name }) {
			return fmt.Errorf("two classes are called %q", c.Name)
		}
	}
	if o.RetryBackoff <= 0 {
		o.RetryBackoff = 100 * time.Millisecond
	}
	if o.MaxWaitingRetries <= 0 {
		o.MaxWaitingRetries = 1 << 16
	}
	return nil
}

// ScheduledRequest is a request that is to be sent.
type ScheduledRequest struct {
	At     time.Duration // since the run's begin
	Class  int
	Number uint64 // from 1 on
}

// Schedule counts on from one request to the next. The same phases, classes and seed give the same requests.
type Schedule struct {
	phases []Phase
	shares []float64 // sums
	steady bool
	rng    *rand.Rand
	phase  int
	begun  time.Duration // of the phase
	at     time.Duration
	n      uint64
}

// NewSchedule begins one. o is checked.
func NewSchedule(o Options) *Schedule {
	s := &Schedule{phases: o.Phases, steady: o.Steady, rng: rand.New(rand.NewPCG(o.Seed, 0x6c6f6164))}
	sum := 0.0
	for _, c := range o.Classes {
		sum += c.Share
		s.shares = append(s.shares, sum)
	}
	return s
}

// Next is the next request; false: there is none.
func (s *Schedule) Next() (ScheduledRequest, bool) {
	for need := s.need(); s.phase < len(s.phases); {
		p := s.phases[s.phase]
		left := s.begun + p.For - s.at
		gap := time.Duration(0)
		if p.Rate > 0 {
			gap = time.Duration(need / p.Rate * float64(time.Second))
		}
		if p.Rate > 0 && gap < left {
			s.at += gap
			s.n++
			return ScheduledRequest{At: s.at, Class: s.class(), Number: s.n}, true
		}
		need -= left.Seconds() * p.Rate // what is left of it is waited for at the next phase's rate
		s.begun += p.For
		s.at = s.begun
		s.phase++
	}
	return ScheduledRequest{}, false
}

// need is how far the next one is off, at a rate of 1.
func (s *Schedule) need() float64 {
	if s.steady {
		return 1
	}
	return s.rng.ExpFloat64()
}

func (s *Schedule) class() int {
	if len(s.shares) == 1 {
		return 0
	}
	x := s.rng.Float64() * s.shares[len(s.shares)-1]
	i, _ := slices.BinarySearch(s.shares, x)
	return min(i, len(s.shares)-1)
}

// template is a text with {n} in it.
type template []string

func newTemplate(text string) template { return strings.Split(text, "{n}") }

func (t template) appendTo(b []byte, n uint64) []byte {
	for i, part := range t {
		if i > 0 {
			b = strconv.AppendUint(b, n, 10)
		}
		b = append(b, part...)
	}
	return b
}
