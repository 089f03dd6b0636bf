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

// Phase is a part of a run with a constant rate.
type Phase struct {
	Rate float64 // requests a second
	For  time.Duration
}

// ParsePhases reads "500:30s,1500:10s", or a rate alone, which lasts for rest.
func ParsePhases(text string, rest time.Duration) ([]Phase, error) {
	var all []Phase
	for part := range strings.SplitSeq(text, ",") {
		rate, length, given := strings.Cut(part, ":")
		p := Phase{For: rest}
		var err error
		if p.Rate, err = strconv.ParseFloat(rate, 64); err != nil || !(p.Rate >= 0 && p.Rate <= maxRate) {
			return nil, fmt.Errorf("%q: a rate is a number from 0 to %d, as in 500 or 500:30s,1500:10s", part, int(maxRate))
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

// maxRate is the highest rate of a phase, in requests per second.
const maxRate = 10_000_000

// Class is a kind of request.
type Class struct {
	Name    string
	Share   float64 // weight relative to the shares of the other classes
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
	Connections       int           // at most; a request that finds none free waits, and counts as delayed
	Timeout           time.Duration // of an attempt
	Steady            bool          // constant gaps between requests; otherwise exponential ones (a Poisson process)
	Seed              uint64
	Retries           int           // after the first attempt: of refused requests (429, 503, UNAVAILABLE with RetryInfo) and failed idempotent ones
	RetryBackoff      time.Duration // before the first retry, if the server names no time; doubles with each
	MaxWaitingRetries int           // at most; requests beyond are given up
}

// Check returns an error for options that cannot be run, and sets the defaults of absent ones.
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
	At     time.Duration // since the start of the run
	Class  int
	Number uint64 // from 1 on
}

// Schedule computes the requests of a run one after another. The same phases, classes and seed give the same requests.
type Schedule struct {
	phases     []Phase
	shares     []float64 // cumulative
	steady     bool
	rng        *rand.Rand
	phase      int
	phaseStart time.Duration
	at         time.Duration
	n          uint64
}

// NewSchedule returns the schedule of options that Check has accepted.
func NewSchedule(o Options) *Schedule {
	s := &Schedule{phases: o.Phases, steady: o.Steady, rng: rand.New(rand.NewPCG(o.Seed, 0x6c6f6164))}
	sum := 0.0
	for _, c := range o.Classes {
		sum += c.Share
		s.shares = append(s.shares, sum)
	}
	return s
}

// Next returns the next request; false at the end.
func (s *Schedule) Next() (ScheduledRequest, bool) {
	for need := s.nextGap(); s.phase < len(s.phases); {
		p := s.phases[s.phase]
		left := s.phaseStart + p.For - s.at
		gap := time.Duration(0)
		if p.Rate > 0 {
			gap = time.Duration(need / p.Rate * float64(time.Second))
		}
		if p.Rate > 0 && gap < left {
			s.at += gap
			s.n++
			return ScheduledRequest{At: s.at, Class: s.class(), Number: s.n}, true
		}
		need -= left.Seconds() * p.Rate // the rest of the gap passes at the next phase's rate
		s.phaseStart += p.For
		s.at = s.phaseStart
		s.phase++
	}
	return ScheduledRequest{}, false
}

// nextGap returns the gap to the next request in units of the mean gap.
func (s *Schedule) nextGap() float64 {
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

// template is a text split at each {n}, the place of the request's number.
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
