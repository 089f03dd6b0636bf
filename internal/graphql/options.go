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

// Options is the configuration of one endpoint in the operator's file.
type Options struct {
	Match            string        `toml:"match" sample:"\"/graphql\"" doc:"The endpoint's address, [HOST]/PATH, without a method. It takes POST, and GET for queries."`
	Service          string        `toml:"service" sample:"\"seats\"" doc:"The service whose upstreams answer. If it is absent, those of the only service do."`
	Query            string        `toml:"query" default:"read" doc:"The class of queries whose root fields have no class of their own."`
	Mutation         string        `toml:"mutation" default:"write" doc:"The class of mutations whose root fields have no class of their own."`
	SchemaFile       string        `toml:"schema" sample:"\"/etc/orchiddrift/seats.graphql\"" doc:"The schema's file, in the GraphQL schema language: operations are validated against it before anything is sent. If it is absent, operations are distinguished by their kind and the names of their root fields."`
	Fields           []Field       `toml:"field" doc:"The class, key and weight of a field."`
	Operations       []Operation   `toml:"operation" doc:"The class of operations with a given name. The client chooses the name, so the class applies only if it is at least as strict as that of the root fields, or if the operation is a known one."`
	PersistedQueries string        `toml:"persisted" default:"off" oneof:"off|automatic|known" doc:"automatic: a client may send the SHA-256 of a query in place of its text, once a client has sent both. known: only the operations of the file in known are accepted, by hash or by full text."`
	KnownFile        string        `toml:"known" sample:"\"/etc/orchiddrift/operations.json\"" doc:"The file of the known operations, in JSON: {\"HASH\": \"TEXT\"}, or a manifest whose operations have an id and a body."`
	PersistedBytes   units.Size    `toml:"persisted_bytes" default:"1MiB" doc:"Largest memory for the texts of automatic persisted queries; the least recently used texts are removed first."`
	CacheBytes       units.Size    `toml:"cache_bytes" default:"2MiB" doc:"Largest memory for cached documents, with their texts and parsed forms."`
	FailingCodes     []string      `toml:"failing_codes" sample:"[\"SERVICE_UNAVAILABLE\"]" doc:"Values of extensions.code that report a failure of the upstream. An answer with such an error and without data is a failed attempt that may have run. Answers with other errors are served to the client."`
	NotRunCodes      []string      `toml:"not_run_codes" sample:"[\"OVERLOADED\"]" doc:"Values of extensions.code by which an upstream reports that it has not run the operation. If the answer has no data and only such errors, the operation may be sent to another upstream, even a mutation."`
	Limits           Limits        `toml:"limits" doc:"Upper limits for operations and batches."`
	SizeArguments    []string      `toml:"size_arguments" default:"first, last, limit" doc:"Arguments that give the length of a list, where the schema has no @listSize."`
	AssumedSize      int           `toml:"assumed_size" default:"10" doc:"The assumed length of a list whose length neither the schema nor an argument gives."`
	BatchParallelism int           `toml:"batch_parallel" default:"4" doc:"Entries of one batch that may be in flight at once. Mutations are sent one at a time."`
	Tenant           routes.Source `toml:"tenant" default:"header:X-Tenant-Id" doc:"As for a route."`
	Cost             routes.Source `toml:"cost" default:"header:X-Cost" doc:"As for a route. It takes precedence over the estimate from the operation."`
	ID               routes.Source `toml:"id" default:"header:X-Request-ID" doc:"As for a route. The id of an entry of a batch is this id, a dot and the entry's number."`
	Deadline         routes.Source `toml:"deadline" default:"header:X-Timeout" doc:"As for a route. The entries of a batch share the deadline."`
	MaxBody          units.Size    `toml:"max_body" default:"64KiB" doc:"The largest request body."`
}

// Field is the class, key and weight of a field.
type Field struct {
	Name   string  `toml:"name" sample:"\"Mutation.confirm\"" doc:"TYPE.FIELD; for root fields Query.FIELD and Mutation.FIELD, whatever the schema calls these types. Without a schema only root fields are recognised."`
	Class  string  `toml:"class" doc:"The class of a root field. The strictest class of an operation's root fields applies."`
	Key    string  `toml:"key" sample:"\"input.requestId\"" doc:"For a root field of a mutation with a keyed class: the argument that holds the idempotency key, where a dot selects a part of an input; or \"header:NAME\", if the request is not a batch and has one such field. Without a value the field has the class of mutations."`
	Weight float64 `toml:"weight" default:"-1" doc:"The field's cost, relative to a field of weight 1. A value below 0 means the weight by @cost in the schema, else 1 for a field with a selection and 0 for one without."`
}

// Operation sets the class of operations with a given name.
type Operation struct {
	Name  string `toml:"name" sample:"\"SeatSearch\"" doc:"The operation's name."`
	Class string `toml:"class" doc:"The class of operations with this name."`
}

// Default returns the default options.
func Default() Options {
	return Options{Query: "read", Mutation: "write", PersistedQueries: "off", PersistedBytes: units.MiB, CacheBytes: 2 * units.MiB, Limits: DefaultLimits(),
		SizeArguments: []string{"first", "last", "limit"}, AssumedSize: 10, BatchParallelism: 4, MaxBody: 64 * units.KiB,
		Tenant: routes.Header(httpheader.Tenant), Cost: routes.Header(httpheader.Cost), ID: routes.Header(httpheader.RequestID),
		Deadline: routes.Header(httpheader.Timeout)}
}

// Route returns the endpoint's route. Its class is provisional: a request counts as unsafe until the Endpoint has decided on the
// class of its operation. longest bounds the deadline of the requests.
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
		report("match", "an endpoint is one path, without a method, a wildcard or a slash at the end")
	} else if strings.HasPrefix(strings.TrimPrefix(o.Match, p.Host), "/-/") {
		report("match", "paths that begin with /-/ are reserved for the daemon")
	}
	if o.MaxBody > maxMaxBody {
		report("max_body", "%v is above the maximum of %v", o.MaxBody, maxMaxBody)
	}
	if (o.KnownFile != "") != (o.PersistedQueries == "known") {
		report("known", "known and persisted = \"known\" have to be set together")
	}
	if o.PersistedBytes < 0 || o.CacheBytes < 0 {
		report("cache_bytes", "cache_bytes and persisted_bytes must not be negative")
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
			report("field", "%q is declared twice", f.Name)
		case strings.HasPrefix(f.Key, headerKey) && !httpguts.ValidHeaderFieldName(f.Key[len(headerKey):]):
			report("field", "%q: the key's header name %q is not valid", f.Name, f.Key[len(headerKey):])
		case f.Key != "" && (typ != mutationType || f.Class == ""):
			report("field", "%q: a key is only allowed on a root field of a mutation that has a class", f.Name)
		case f.Class != "" && typ != queryType && typ != mutationType:
			report("field", "%q: a class is only allowed on a root field, %s.NAME or %s.NAME", f.Name, queryType, mutationType)
		case math.IsNaN(f.Weight) || f.Weight > maxFieldWeight:
			report("field", "%q: the weight %v is not a number or too large", f.Name, f.Weight)
		}
		named[f.Name] = true
	}
	for _, n := range o.Operations {
		if n.Name == "" || n.Class == "" {
			report("operation", "an operation needs a name and a class")
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

// The largest values that the options accept.
const (
	maxBatch       = 1000
	maxTokens      = 100_000
	maxDepth       = 1000
	maxFields      = 1_000_000
	maxAssumedSize = 1_000_000
	maxFieldWeight = 1_000_000
)
