package graphql

import (
	"math"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/units"
)

// Options is the part of an endpoint in the operator's file.
type Options struct {
	Match            string        `toml:"match" sample:"\"/graphql\"" doc:"Where it is: [HOST]/PATH, without a method: POST, and GET for queries."`
	Service          string        `toml:"service" sample:"\"seats\"" doc:"Whose upstreams answer. Absent: the only service."`
	Query            string        `toml:"query" default:"read" doc:"The class of queries whose root fields have none."`
	Mutation         string        `toml:"mutation" default:"write" doc:"The class of mutations whose root fields have none."`
	SchemaFile       string        `toml:"schema" sample:"\"/etc/orchiddrift/seats.graphql\"" doc:"The schema's file, in GraphQL's own language: operations are held against it before anything is sent. Absent: they are told apart by their kind and their root fields' names."`
	Fields           []Field       `toml:"field" doc:"What is to be known of a field."`
	Operations       []Operation   `toml:"operation" doc:"The class of operations of a name. Names are the client's: such a class counts where it is at least as strict as the root fields', or the operation is a known one."`
	PersistedQueries string        `toml:"persisted" default:"off" oneof:"off|automatic|known" doc:"automatic: a client may send a query's SHA-256 in its place, once one has sent both. known: only the operations in known pass, by hash or in full."`
	KnownFile        string        `toml:"known" sample:"\"/etc/orchiddrift/operations.json\"" doc:"The known operations' file, JSON: {\"HASH\": \"TEXT\"}, or a manifest with operations of id and body."`
	PersistedBytes   units.Size    `toml:"persisted_bytes" default:"1MiB" doc:"Texts that automatic persisted queries may take, at most; the ones longest unused go first."`
	CacheBytes       units.Size    `toml:"cache_bytes" default:"2MiB" doc:"Texts and parsed forms of documents that are kept, at most."`
	FailingCodes     []string      `toml:"failing_codes" sample:"[\"SERVICE_UNAVAILABLE\"]" doc:"extensions.code of errors that come of a failing upstream, where there is no data: such an answer is a failure that may have run. All others are answers."`
	NotRunCodes      []string      `toml:"not_run_codes" sample:"[\"OVERLOADED\"]" doc:"extensions.code by which upstreams say that they have not run the operation, where there is no data: it may be sent to another, a mutation too."`
	Limits           Limits        `toml:"limits" doc:"What an operation may have at most."`
	SizeArguments    []string      `toml:"size_arguments" default:"first, last, limit" doc:"Arguments that say how long a list is, where the schema has no @listSize."`
	AssumedSize      int           `toml:"assumed_size" default:"10" doc:"How long a list is that nothing tells the length of."`
	BatchParallelism int           `toml:"batch_parallel" default:"4" doc:"Entries of one batch that are sent at once. Its mutations go one at a time."`
	Tenant           routes.Source `toml:"tenant" default:"header:X-Tenant-Id" doc:"As of a route."`
	Cost             routes.Source `toml:"cost" default:"header:X-Cost" doc:"As of a route: it goes before the estimate made here."`
	ID               routes.Source `toml:"id" default:"header:X-Request-ID" doc:"As of a route. An entry of a batch has it with a dot and its number behind."`
	Deadline         routes.Source `toml:"deadline" default:"header:X-Timeout" doc:"As of a route. The entries of a batch share it."`
	MaxBody          units.Size    `toml:"max_body" default:"64KiB" doc:"What a body may have."`
}

// Field is the class, key and weight of a field.
type Field struct {
	Name   string  `toml:"name" sample:"\"Mutation.confirm\"" doc:"TYPE.FIELD; of root fields Query.FIELD and Mutation.FIELD, whatever the schema calls these types. Without a schema only root fields are known."`
	Class  string  `toml:"class" doc:"Of a root field: its class. Of several the strictest counts."`
	Key    string  `toml:"key" sample:"\"input.requestId\"" doc:"Of a mutation's root field with a keyed class: the argument that is the key, parts of an input after dots; or \"header:NAME\", of a request that is no batch and has one such field. Without a value there it is of the class of mutations."`
	Weight float64 `toml:"weight" default:"-1" doc:"Its cost beside a field of weight 1. Below 0: by @cost in the schema, else 1 with a selection and 0 without."`
}

// Operation is the class of operations of a name.
type Operation struct {
	Name  string `toml:"name" sample:"\"SeatSearch\"" doc:"The operation's name."`
	Class string `toml:"class" doc:"Its class."`
}

// Default returns the options of a file that sets none.
func Default() Options {
	return Options{Query: "read", Mutation: "write", PersistedQueries: "off", PersistedBytes: units.MiB, CacheBytes: 2 * units.MiB, Limits: DefaultLimits(),
		SizeArguments: []string{"first", "last", "limit"}, AssumedSize: 10, BatchParallelism: 4, MaxBody: 64 * units.KiB,
		Tenant: routes.Header(httpheader.Tenant), Cost: routes.Header(httpheader.Cost), ID: routes.Header(httpheader.RequestID),
		Deadline: routes.Header(httpheader.Timeout)}
}

// Route is the endpoint's: who takes its requests asks the Endpoint for their class, until which they count as unsafe. longest
// bounds their deadline.
func (o *Options) Route(service, fingerprint string, longest time.Duration) (*routes.Route, error) {
	p, err := routes.ParsePattern(o.Match, nil)
	if err != nil {
		return nil, err
	}
	class := &Class{Name: "graphql", Idempotency: balancer.NonIdempotent, Deadline: longest}
	return &routes.Route{Pattern: p, Service: service, Read: class, Write: class, Tenant: o.Tenant, Cost: o.Cost, ID: o.ID,
		Deadline: o.Deadline, MaxBody: int64(o.MaxBody), Endpoint: fingerprint}, nil
}

// maxMaxBody is the largest max_body: a body is buffered completely before it is parsed.
const maxMaxBody = 16 * units.MiB

// Check implements tomlfile.Checker.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if p, err := routes.ParsePattern(o.Match, nil); err != nil {
		report("match", "%v", err)
	} else if p.Method != "" || len(p.Wildcards()) > 0 || strings.HasSuffix(o.Match, "/") {
		report("match", "an endpoint is one path, without a method")
	} else if strings.HasPrefix(strings.TrimPrefix(o.Match, p.Host), "/-/") {
		report("match", "/-/ is the daemon's own")
	}
	if o.MaxBody > maxMaxBody {
		report("max_body", "%v is over %v", o.MaxBody, maxMaxBody)
	}
	if (o.KnownFile != "") != (o.PersistedQueries == "known") {
		report("known", "it belongs to persisted = \"known\"")
	}
	if o.PersistedBytes < 0 || o.CacheBytes < 0 {
		report("cache_bytes", "less than nothing can't be kept")
	}
	between := func(key string, n, minimum, maximum int) {
		if n < minimum || n > maximum {
			report(key, "%d is not from %d to %d", n, minimum, maximum)
		}
	}
	between("assumed_size", o.AssumedSize, 0, maxAssumedSize)
	between("batch_parallel", o.BatchParallelism, 1, maxBatch)
	named := map[string]bool{}
	for _, f := range o.Fields {
		typ, field, ok := strings.Cut(f.Name, ".")
		switch {
		case !ok || typ == "" || field == "" || strings.Contains(field, "."):
			report("field", "%q is not TYPE.FIELD", f.Name)
		case named[f.Name]:
			report("field", "%q stands there twice", f.Name)
		case strings.HasPrefix(f.Key, headerKey) && !httpguts.ValidHeaderFieldName(f.Key[len(headerKey):]):
			report("field", "%q: %q is no header's name", f.Name, f.Key[len(headerKey):])
		case f.Key != "" && (typ != mutationType || f.Class == ""):
			report("field", "%q: a key belongs to a mutation's root field with a class", f.Name)
		case f.Class != "" && typ != queryType && typ != mutationType:
			report("field", "%q: a class belongs to a root field, %s.NAME or %s.NAME", f.Name, queryType, mutationType)
		case math.IsNaN(f.Weight) || f.Weight > maxFieldWeight:
			report("field", "%q: %v is no usable weight", f.Name, f.Weight)
		}
		named[f.Name] = true
	}
	for _, n := range o.Operations {
		if n.Name == "" || n.Class == "" {
			report("operation", "an operation needs its name and its class")
		}
	}
}

// The names of the root types in the operator's file, whatever the schema calls them.
const (
	queryType    = "Query"
	mutationType = "Mutation"
)

// headerKey is the prefix of a key that is read from a header.
const headerKey = "header:"

// Bounds of the options themselves.
const (
	maxBatch       = 1000
	maxTokens      = 100_000
	maxDepth       = 1000
	maxFields      = 1_000_000
	maxAssumedSize = 1_000_000
	maxFieldWeight = 1_000_000
)
