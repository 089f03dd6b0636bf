package admission

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/net/http/httpguts"

	"orchiddrift/internal/units"
)

// Options are a Queue's parameters. With Service, PrincipalSources and RetryHeader they are a [[door]] of the operator's
// file.
type Options struct {
	Service          string     `toml:"service" doc:"Whose door it is: a service's name, or \"platform\" beside the platform's file."`
	PrincipalSources []string   `toml:"by" default:"tenant" doc:"Between whom it is fair: one or two of \"tenant\" (as the route reads it), \"header:NAME\", \"certificate\" (the client's) and \"address\" (the peer's; IPv6 by /64). Of two, the second is fair within each of the first."`
	Weights          []Weight   `toml:"weight" doc:"Principals, of the first of by, whose share is another than theirs."`
	DefaultWeight    float64    `toml:"default_weight" default:"1" doc:"Weight of a principal that no [[door.weight]] names. 0: gets only what the others leave."`
	MaxQueued        int        `toml:"waiting" default:"256" doc:"Requests that wait, at most. Each keeps its client's connection."`
	MaxQueuedBytes   units.Size `toml:"bytes" default:"4MiB" doc:"Bytes of bodies that wait, at most."`
	MaxPrincipals    int        `toml:"principals" default:"16384" doc:"Principals known at once, at most: those that wait, are in hand, owe or were promised something. More share 16 places by their names' hash."`
	MaxReservations  int        `toml:"promises" default:"16384" doc:"Retry-After promises remembered, at most."`
	MinLimit         int        `toml:"limit_least" default:"8" doc:"Requests in hand beyond the door: what the limit never falls below."`
	MaxLimit         int        `toml:"limit_most" default:"1024" doc:"And never rises above."`
	RetryRatio       float64    `toml:"repeats" default:"0.2" doc:"While requests wait: repeats of clients as a part of first requests, of each principal and of all together."`
	RetryHeader      string     `toml:"repeat_header" default:"X-Retried" doc:"The header by which clients mark their repeats, with any value but \"0\"."`

	// MaxRetryAfter is the longest time that a rejected client is told to stay away: the service's retry_after.
	// 0: DefaultMaxRetryAfter.
	MaxRetryAfter time.Duration
}

// Weight is the weight of one principal.
type Weight struct {
	Name   string  `toml:"name" doc:"The principal."`
	Weight float64 `toml:"weight" default:"1" doc:"Its share is in proportion. 0: it gets only what the others leave."`
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
	maxWeight              = 1e6 // and 1/maxWeight is the least weight above 0
	queuedUpperBound       = 65_536
	principalsLowerBound   = 16
	principalsUpperBound   = 1 << 20
	reservationsUpperBound = 1 << 20
	limitUpperBound        = 65_536
	retryRatioUpperBound   = 100
	retryAfterUpperBound   = time.Hour
)

// DefaultMaxRetryAfter is the longest time to stay away where none is configured.
const DefaultMaxRetryAfter = 5 * time.Second

// maxRetryAfter is MaxRetryAfter within what the calendar can hold.
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
	usable := func(w float64) bool { return w >= 0 && w <= maxWeight }
	if !usable(o.DefaultWeight) {
		report("default_weight", "%v is not from 0 to %v", o.DefaultWeight, maxWeight)
	}
	named := map[string]bool{}
	for _, w := range o.Weights {
		switch {
		case w.Name == "":
			report("weight", "a weight needs its principal's name")
		case named[w.Name]:
			report("weight", "%q has two weights", w.Name)
		case !usable(w.Weight) || w.Weight > 0 && w.Weight < 1/maxWeight:
			report("weight", "%v of %q is neither 0 nor from %v to %v", w.Weight, w.Name, 1/maxWeight, maxWeight)
		}
		named[w.Name] = true
	}
	between := func(key string, n, least, most int) {
		if n < least || n > most {
			report(key, "%d is not from %d to %d", n, least, most)
		}
	}
	between("waiting", o.MaxQueued, 1, queuedUpperBound)
	between("principals", o.MaxPrincipals, principalsLowerBound, principalsUpperBound)
	between("promises", o.MaxReservations, 0, reservationsUpperBound)
	between("limit_least", o.MinLimit, 1, o.MaxLimit)
	between("limit_most", o.MaxLimit, 1, limitUpperBound)
	if o.RetryHeader != "" && !httpguts.ValidHeaderFieldName(o.RetryHeader) {
		report("repeat_header", "%q is no header's name", o.RetryHeader)
	}
	if o.MaxQueuedBytes < 0 {
		report("bytes", "%v is negative", o.MaxQueuedBytes)
	}
	if !(o.RetryRatio >= 0) || math.IsInf(o.RetryRatio, 0) || o.RetryRatio > retryRatioUpperBound {
		report("repeats", "%v is not a part of the first requests", o.RetryRatio)
	}
}

// weightsByName returns the configured weights by the names that requests are known by.
func (o *Options) weightsByName() map[string]float64 {
	m := make(map[string]float64, len(o.Weights))
	for _, w := range o.Weights {
		m[boundedName(w.Name)] = w.Weight
	}
	return m
}
