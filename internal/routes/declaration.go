package routes

import (
	"net/http"
	"slices"
	"strings"

	"orchiddrift/internal/units"
)

// Declaration is one route in the operator's file.
type Declaration struct {
	Match    string            `toml:"match" sample:"\"GET /search/\"" doc:"The pattern of the requests: [METHOD ][HOST]/PATH. In the path {name} matches one segment, {name...} the remainder, a trailing slash every path that begins so, and {$} after a trailing slash the path without a remainder. If two patterns match, the more specific one takes precedence."`
	Headers  map[string]string `toml:"headers" sample:"{X-Version = \"2\"}" doc:"Values that headers of the requests must have in addition."`
	Set      string            `toml:"set" oneof:"|platform" doc:"Instead of match: the platform's own header rules, with a route for each class of the service."`
	Service  string            `toml:"service" sample:"\"seats\"" doc:"The service that the requests go to. If it is absent, they go to the only service."`
	Class    string            `toml:"class" sample:"\"search\"" doc:"The class of the requests. If it is absent: \"read\" for GET, HEAD and OPTIONS, \"write\" for all other methods."`
	Repeats  []string          `toml:"repeats" sample:"[\"POST\"]" doc:"Unsafe methods of HTTP whose requests may nevertheless be sent twice on this route. They are allowed on a route whose class is safe."`
	Key      Source            `toml:"key" default:"header:Idempotency-Key" doc:"The source of the idempotency key of a keyed class: \"header:NAME\", \"path:WILDCARD\" or \"fixed:TEXT\"."`
	Tenant   Source            `toml:"tenant" doc:"The source of the tenant's name. A header holds whatever the client claims."`
	Cost     Source            `toml:"cost" doc:"The source of the expected work, a number of microseconds."`
	ID       Source            `toml:"id" doc:"The source of the request's id. While a request is in flight, another one with the same id is answered with 409. If it is absent, an id is generated."`
	Deadline Source            `toml:"deadline" doc:"The source of the time that the client waits: a number with the unit m (milliseconds) or u (microseconds). If it is absent, the deadline of the class applies."`
	MaxBody  units.Size        `toml:"max_body" default:"64KiB" doc:"Maximum size of a request's body."`
}

// MaxMaxBody is the largest max_body.
const MaxMaxBody = 64 * units.MiB

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.MaxBody > MaxMaxBody {
		report("max_body", "%v is more than the maximum of %v", d.MaxBody, MaxMaxBody)
	}
	if d.Set != "" {
		if d.Match != "" || len(d.Headers) > 0 || d.Class != "" || len(d.Repeats) > 0 {
			report("set", "a route with set must not have match, headers, class or repeats")
		}
		return
	}
	p, err := ParsePattern(d.Match, d.Headers)
	if err != nil {
		report("match", "%v", err)
		return
	}
	if p.isReserved() {
		report("match", "paths that begin with /-/ are reserved for the daemon")
	}
	d.checkSources(p, report)
	for _, method := range d.Repeats {
		if method != strings.ToUpper(method) || !isToken(method) || method == http.MethodConnect || method == http.MethodTrace {
			report("repeats", "%q is not an HTTP method in upper case, or is CONNECT or TRACE", method)
		}
	}
}

// isReserved reports whether a pattern's path begins with /-/, which is reserved for the daemon.
func (p *Pattern) isReserved() bool {
	return len(p.segments) > 0 && p.segments[0] == segment{text: "-", kind: literal}
}

// checkSources reports sources that read a wildcard which the pattern does not have.
func (d *Declaration) checkSources(pattern *Pattern, report func(key, format string, args ...any)) {
	for _, declared := range []struct {
		key    string
		source Source
	}{{"key", d.Key}, {"tenant", d.Tenant}, {"cost", d.Cost}, {"id", d.ID}, {"deadline", d.Deadline}} {
		if declared.source.kind == fromPath && !slices.Contains(pattern.Wildcards(), declared.source.name) {
			report(declared.key, "the pattern has no wildcard %q", declared.source.name)
		}
	}
}

// Route returns the declared route. The caller sets its service and classes.
func (d *Declaration) Route() (*Route, error) {
	pattern, err := ParsePattern(d.Match, d.Headers)
	if err != nil {
		return nil, err
	}
	return &Route{
		Pattern:  pattern,
		Key:      d.Key,
		Tenant:   d.Tenant,
		Cost:     d.Cost,
		ID:       d.ID,
		Deadline: d.Deadline,
		Repeats:  d.Repeats,
		MaxBody:  int64(d.MaxBody),
	}, nil
}
