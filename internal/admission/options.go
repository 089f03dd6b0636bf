package admission

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/net/http/httpguts"

	"orchiddrift/internal/units"
)

// Options are a Queue's parameters, as a [[door]] table of the operator's configuration file gives them. The Queue
// itself does not use Service, PrincipalSources and RetryHeader.
type Options struct {
	Service          string     `toml:"service" doc:"The service that this queue admits requests to: its name, or platform for the service that the platform's file describes."`
	PrincipalSources []string   `toml:"by" default:"tenant" doc:"The sources of the principals between which the queue is fair, one or two of tenant (as the route reads it), header:NAME, certificate (the client's) and address (the peer's; IPv6 by /64). With two, the queue is also fair between the principals of the second within each principal of the first."`
	Weights          []Weight   `toml:"weight" doc:"Principals of the first source in by whose weight is not default_weight."`
	DefaultWeight    float64    `toml:"default_weight" default:"1" doc:"Weight of a principal that no [[door.weight]] names. 0: it gets only the capacity that others leave."`
	MaxQueued        int        `toml:"waiting" default:"256" doc:"Maximum number of requests that wait. Each keeps its client's connection open."`
	MaxQueuedBytes   units.Size `toml:"bytes" default:"4MiB" doc:"Maximum total size of the bodies of requests that wait."`
	MaxPrincipals    int        `toml:"principals" default:"16384" doc:"Maximum number of principals known at once: those that have requests waiting or in flight, were served more than their share, or have a reserved Retry-After time. Further principals share 16 places by the hash of their names."`
	MaxReservations  int        `toml:"promises" default:"16384" doc:"Maximum number of Retry-After times that are reserved at once."`
	MinLimit         int        `toml:"limit_least" default:"8" doc:"Lower bound of the concurrency limit, which bounds the requests in flight behind the queue."`
	MaxLimit         int        `toml:"limit_most" default:"1024" doc:"Upper bound of the concurrency limit."`
	RetryRatio       float64    `toml:"repeats" default:"0.2" doc:"Maximum ratio of clients' retries to first requests while requests wait, for each principal and for all together."`
	RetryHeader      string     `toml:"repeat_header" default:"X-Retried" doc:"The header by which clients mark their retries, with any value but 0."`

	// MaxRetryAfter is the longest Retry-After of a rejected client: the service's retry_after setting.
	// If it is 0, DefaultMaxRetryAfter applies.
	MaxRetryAfter time.Duration
}

// Weight is the weight of one principal.
type Weight struct {
	Name   string  `toml:"name" doc:"The principal's name."`
	Weight float64 `toml:"weight" default:"1" doc:"Its share is proportional to its weight. 0: it gets only the capacity that others leave."`
}

// Default returns the options that apply where nothing is configured.
func Default() Options {
	return Options{
		PrincipalSources: []string{"tenant"},
		DefaultWeight:    1,
		MaxQueued:        256,
		MaxQueuedBytes:   4 * units.MiB,
		MaxPrincipals:    16384,
		MaxReservations:  16384,
		MinLimit:         8,
		MaxLimit:         1024,
		RetryRatio:       0.2,
		RetryHeader:      "X-Retried",
	}
}

// Bounds of the options.
const (
	maxWeight              = 1e6 // and 1/maxWeight is the smallest weight above 0
	queuedUpperBound       = 65_536
	principalsLowerBound   = 16
	principalsUpperBound   = 1 << 20
	reservationsUpperBound = 1 << 20
	limitUpperBound        = 65_536
	retryRatioUpperBound   = 100
	retryAfterUpperBound   = time.Hour
)

// DefaultMaxRetryAfter is the longest Retry-After if none is configured.
const DefaultMaxRetryAfter = 5 * time.Second

// maxRetryAfter returns MaxRetryAfter, or its default, within the range that the calendar can cover.
func (o *Options) maxRetryAfter() time.Duration {
	return min(retryAfterUpperBound, max(minCalendarStep, cmp.Or(o.MaxRetryAfter, DefaultMaxRetryAfter)))
}

// Check reports options that cannot be used, by their keys. It implements tomlfile.Checker.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.Service == "" {
		report("service", "missing")
	}
	if _, err := ParsePrincipalSources(o.PrincipalSources); err != nil {
		report("by", "%v", err)
	}
	usableWeight := func(w float64) bool { return w >= 0 && w <= maxWeight }
	if !usableWeight(o.DefaultWeight) {
		report("default_weight", "%v is not from 0 to %v", o.DefaultWeight, maxWeight)
	}
	seen := map[string]bool{}
	for _, w := range o.Weights {
		switch {
		case w.Name == "":
			report("weight", "a weight has no principal name")
		case seen[w.Name]:
			report("weight", "principal %q has two weights", w.Name)
		case !usableWeight(w.Weight) || w.Weight > 0 && w.Weight < 1/maxWeight:
			report("weight", "weight %v of principal %q is neither 0 nor from %v to %v", w.Weight, w.Name, 1/maxWeight, maxWeight)
		}
		seen[w.Name] = true
	}
	checkRange := func(key string, n, least, most int) {
		if n < least || n > most {
			report(key, "%d is not from %d to %d", n, least, most)
		}
	}
	checkRange("waiting", o.MaxQueued, 1, queuedUpperBound)
	checkRange("principals", o.MaxPrincipals, principalsLowerBound, principalsUpperBound)
	checkRange("promises", o.MaxReservations, 0, reservationsUpperBound)
	checkRange("limit_least", o.MinLimit, 1, o.MaxLimit)
	checkRange("limit_most", o.MaxLimit, 1, limitUpperBound)
	if o.RetryHeader != "" && !httpguts.ValidHeaderFieldName(o.RetryHeader) {
		report("repeat_header", "%q is not a valid header name", o.RetryHeader)
	}
	if o.MaxQueuedBytes < 0 {
		report("bytes", "%v is negative", o.MaxQueuedBytes)
	}
	if !(o.RetryRatio >= 0) || math.IsInf(o.RetryRatio, 0) || o.RetryRatio > retryRatioUpperBound {
		report("repeats", "%v is not a usable ratio of retries to first requests", o.RetryRatio)
	}
}

// weightsByName returns the configured weights by principal name, as boundedName shortens it.
func (o *Options) weightsByName() map[string]float64 {
	m := make(map[string]float64, len(o.Weights))
	for _, w := range o.Weights {
		m[boundedName(w.Name)] = w.Weight
	}
	return m
}
