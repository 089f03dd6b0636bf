package routes

import (
	"net/http"
	"slices"
	"strings"

	"orchiddrift/internal/units"
)

// Declaration is one route in the operator's file.
type Declaration struct {
	Match    string            `toml:"match" sample:"\"GET /search/\"" doc:"Which requests: [METHOD ][HOST]/PATH, with {name} for one segment, {name...} for all that is left, a last slash for all that begins so, {$} for nothing behind a last slash. Of two that match, the more specific goes first."`
	Headers  map[string]string `toml:"headers" sample:"{X-Version = \"2\"}" doc:"What these headers have to be, besides."`
	Set      string            `toml:"set" oneof:"|platform" doc:"In place of match: the platform's own header rules, a route for each class of the service."`
	Service  string            `toml:"service" sample:"\"seats\"" doc:"Where they go. Absent: the only service."`
	Class    string            `toml:"class" sample:"\"search\"" doc:"What they are. Absent: \"read\" for GET, HEAD and OPTIONS, \"write\" for the rest."`
	Repeats  []string          `toml:"repeats" sample:"[\"POST\"]" doc:"Methods that HTTP calls unsafe, and that all the same may be sent twice here: they may reach a class that is safe to repeat."`
	Key      Source            `toml:"key" default:"header:Idempotency-Key" doc:"Where a keyed class's key stands: \"header:NAME\", \"path:WILDCARD\" or \"fixed:TEXT\"."`
	Tenant   Source            `toml:"tenant" doc:"Where the tenant stands. A header is what a client says of itself."`
	Cost     Source            `toml:"cost" doc:"Where the expected work stands, a number of microseconds."`
	ID       Source            `toml:"id" doc:"Where the request's id stands; while it is in hand, another of the same id is answered 409. Absent: one is made."`
	Deadline Source            `toml:"deadline" doc:"Where the time stands that the client waits: a number with m (milliseconds) or u (microseconds). Absent: the class's."`
	MaxBody  units.Size        `toml:"max_body" default:"64KiB" doc:"What a body may have."`
}

// MaxMaxBody is the largest max_body.
const MaxMaxBody = 64 * units.MiB

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.MaxBody > MaxMaxBody {
		report("max_body", "%v is over %v", d.MaxBody, MaxMaxBody)
	}
	if d.Set != "" {
		if d.Match != "" || len(d.Headers) > 0 || d.Class != "" || len(d.Repeats) > 0 {
			report("set", "a set brings its own match, headers, class and repeats")
		}
		return
	}
	p, err := ParsePattern(d.Match, d.Headers)
	if err != nil {
		report("match", "%v", err)
		return
	}
	if p.isReserved() {
		report("match", "/-/ is the daemon's own")
	}
	d.checkSources(p, report)
	for _, method := range d.Repeats {
		if method != strings.ToUpper(method) || !isToken(method) || method == http.MethodConnect || method == http.MethodTrace {
			report("repeats", "%q is no method that can be repeated", method)
		}
	}
}

// isReserved reports whether a pattern's path begins with /-/, which is the daemon's own.
func (p *Pattern) isReserved() bool {
	return len(p.segments) > 0 && p.segments[0] == segment{text: "-", kind: literal}
}

// checkSources reports sources that read wildcards which the pattern does not have.
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
