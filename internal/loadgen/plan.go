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

// Phase is a part of a run with a constant mean rate.
type Phase struct {
	Rate float64 // requests per second
	For  time.Duration
}

// ParsePhases parses phases such as "500:30s,1500:10s". A phase without a duration, such as "500", lasts for defaultDuration.
func ParsePhases(text string, defaultDuration time.Duration) ([]Phase, error) {
	var phases []Phase
	for part := range strings.SplitSeq(text, ",") {
		rate, duration, hasDuration := strings.Cut(part, ":")
		p := Phase{For: defaultDuration}
		var err error
		if p.Rate, err = strconv.ParseFloat(rate, 64); err != nil || !(p.Rate >= 0 && p.Rate <= maxRate) {
			return nil, fmt.Errorf("phase %q: the rate must be a number from 0 to %d, as in 500 or 500:30s,1500:10s", part, int(maxRate))
		}
		if hasDuration {
			if p.For, err = time.ParseDuration(duration); err != nil {
				return nil, fmt.Errorf("phase %q: %w", part, err)
			}
		}
		if p.For <= 0 {
			return nil, fmt.Errorf("phase %q: the duration must be above 0", part)
		}
		phases = append(phases, p)
	}
	return phases, nil
}

// maxRate is the highest rate of a phase, in requests per second.
const maxRate = 10_000_000

// Class is a class of requests.
type Class struct {
	Name    string
	Share   float64 // weight of the class relative to the shares of the other classes
	Method  string  // HTTP method, or CALL for gRPC
	Path    string  // HTTP path, or gRPC method as in /package.Service/Method; {n} in an HTTP path stands for the request's number
	Body    []byte  // HTTP body, or the bytes of a gRPC message; {n} stands for the request's number
	Headers []Header
}

// Header is an HTTP header or an entry of gRPC metadata. {n} in its value stands for the request's number.
type Header struct{ Name, Value string }

// ParseClass parses a class such as "search=3:GET /search?q={n}". Name and share are optional, as in "GET /search". A path without a method
// means GET.
func ParseClass(text string) (Class, error) {
	class := Class{Name: "request", Share: 1}
	name, rest, named := strings.Cut(text, "=")
	if share, remainder, ok := strings.Cut(rest, ":"); named && ok && !strings.ContainsAny(name, " /") {
		weight, err := strconv.ParseFloat(share, 64)
		if err != nil || !(weight > 0 && weight < 1e9) {
			return class, fmt.Errorf("class %q: the share %q must be a number above 0 and below 1e9", text, share)
		}
		class.Name, class.Share, text = name, weight, remainder
	}
	method, path, ok := strings.Cut(text, " ")
	if !ok && strings.HasPrefix(text, "/") {
		method, path = "GET", text
	}
	if class.Method, class.Path = method, strings.TrimSpace(path); !strings.HasPrefix(class.Path, "/") || class.Method == "" || strings.ContainsAny(class.Path, " \r\n") {
		return class, fmt.Errorf("class %q must have the form NAME=SHARE:METHOD /path, as in search=3:GET /search?q={n}", text)
	}
	return class, nil
}

// ParseHeader parses a header of the form "Name: value".
func ParseHeader(text string) (Header, error) {
	name, value, ok := strings.Cut(text, ":")
	h := Header{strings.TrimSpace(name), strings.TrimSpace(value)}
	if !ok || h.Name == "" || strings.ContainsAny(h.Name+h.Value, "\r\n") || strings.ContainsAny(h.Name, " \t") {
		return h, fmt.Errorf("header %q must have the form Name: value", text)
	}
	return h, nil
}

// Options are the parameters of a run.
type Options struct {
	Target            string // address of the server, as http://address or grpc://address
	Phases            []Phase
	Classes           []Class
	Connections       int           // maximum number of connections; if all of them are busy, a request waits
	Timeout           time.Duration // timeout of an attempt
	Steady            bool          // the gaps between requests are constant; otherwise they are exponentially distributed (a Poisson process)
	Seed              uint64        // seed of the gaps and of the choice of classes
	Retries           int           // maximum number of retries of a request after refusals (see Refused), and if the request is idempotent also after faults
	RetryBackoff      time.Duration // minimum pause before the first retry, doubled for each further retry; a longer Retry-After replaces it
	MaxWaitingRetries int           // maximum number of requests that wait for a retry at the same time; further requests are not retried
}

// Check returns an error if an option is invalid, and sets the defaults of options that are not set.
func (o *Options) Check() error {
	u, err := url.Parse(o.Target)
	if err != nil || u.Scheme != "http" && u.Scheme != "grpc" || u.Path != "" && u.Path != "/" || u.RawQuery != "" || u.User != nil {
		return fmt.Errorf("target %q must have the form http://ADDRESS:PORT or grpc://ADDRESS:PORT", o.Target)
	}
	if _, _, err := net.SplitHostPort(u.Host); err != nil {
		return fmt.Errorf("target %q: %w", o.Target, err)
	}
	switch {
	case len(o.Phases) == 0 || len(o.Phases) > 1000:
		return errors.New("the number of phases must be from 1 to 1000")
	case !slices.ContainsFunc(o.Phases, func(p Phase) bool { return p.Rate > 0 }):
		return errors.New("no phase has a rate above 0")
	case o.Connections < 1 || o.Connections > 1<<16:
		return fmt.Errorf("%d connections requested; the number must be from 1 to %d", o.Connections, 1<<16)
	case len(o.Classes) == 0 || len(o.Classes) > 32:
		return errors.New("the number of classes must be from 1 to 32")
	case o.Timeout <= 0:
		return errors.New("the timeout of an attempt must be above 0")
	case o.Retries < 0 || o.Retries > 100:
		return fmt.Errorf("%d retries requested; the number must be from 0 to 100", o.Retries)
	}
	for i, c := range o.Classes {
		if slices.ContainsFunc(o.Classes[:i], func(earlier Class) bool { return earlier.Name == c.Name }) {
			return fmt.Errorf("two classes have the name %q", c.Name)
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

// ScheduledRequest is a request of a Schedule.
type ScheduledRequest struct {
	At     time.Duration // time since the start of the run at which the request is due
	Class  int           // index into Options.Classes
	Number uint64        // counts the requests from 1
}

// Schedule computes the requests of a run one after another. The same phases, classes and seed give the same requests.
type Schedule struct {
	phases     []Phase
	shares     []float64 // cumulative shares of the classes
	steady     bool
	rng        *rand.Rand
	phase      int           // index of the current phase
	phaseStart time.Duration // start of the current phase
	at         time.Duration // time of the last request, or phaseStart if that is later
	number     uint64        // number of the last request
}

// NewSchedule returns the schedule for options that were accepted by Check.
func NewSchedule(o Options) *Schedule {
	s := &Schedule{phases: o.Phases, steady: o.Steady, rng: rand.New(rand.NewPCG(o.Seed, 0x6c6f6164))}
	sum := 0.0
	for _, c := range o.Classes {
		sum += c.Share
		s.shares = append(s.shares, sum)
	}
	return s
}

// Next returns the next request. It returns false after the last request.
func (s *Schedule) Next() (ScheduledRequest, bool) {
	for meanGaps := s.nextGap(); s.phase < len(s.phases); {
		p := s.phases[s.phase]
		left := s.phaseStart + p.For - s.at
		gap := time.Duration(0)
		if p.Rate > 0 {
			gap = time.Duration(meanGaps / p.Rate * float64(time.Second))
		}
		if p.Rate > 0 && gap < left {
			s.at += gap
			s.number++
			return ScheduledRequest{At: s.at, Class: s.drawClass(), Number: s.number}, true
		}
		meanGaps -= left.Seconds() * p.Rate // the next phase covers the rest of the gap at its own rate
		s.phaseStart += p.For
		s.at = s.phaseStart
		s.phase++
	}
	return ScheduledRequest{}, false
}

// nextGap returns the time until the next request as a multiple of the mean gap.
func (s *Schedule) nextGap() float64 {
	if s.steady {
		return 1
	}
	return s.rng.ExpFloat64()
}

// drawClass returns the index of a random class, weighted by the shares.
func (s *Schedule) drawClass() int {
	if len(s.shares) == 1 {
		return 0
	}
	x := s.rng.Float64() * s.shares[len(s.shares)-1]
	i, _ := slices.BinarySearch(s.shares, x)
	return min(i, len(s.shares)-1)
}

// template is a text split at each {n}. The number of the request is inserted at the splits.
type template []string

func newTemplate(text string) template { return strings.Split(text, "{n}") }

// appendTo appends the text for the request with the given number to b.
func (t template) appendTo(b []byte, number uint64) []byte {
	for i, part := range t {
		if i > 0 {
			b = strconv.AppendUint(b, number, 10)
		}
		b = append(b, part...)
	}
	return b
}
