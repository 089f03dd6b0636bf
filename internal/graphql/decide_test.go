package graphql

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
)

var classes = map[string]*Class{
	"read":    {Name: "read", Deadline: 10 * time.Second, PriorityWeight: 1},
	"search":  {Name: "search", Deadline: 2 * time.Second, PriorityWeight: 3},
	"map":     {Name: "map", Deadline: 3 * time.Second, PriorityWeight: 2},
	"write":   {Name: "write", Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: balancer.NonIdempotent},
	"confirm": {Name: "confirm", Deadline: 5 * time.Second, PriorityWeight: 10, Idempotency: balancer.NonIdempotent},
	"record":  {Name: "record", Deadline: 6 * time.Second, PriorityWeight: 8, Idempotency: balancer.IdempotentWithKey, DedupWindow: 6 * time.Second},
	"refund":  {Name: "refund", Deadline: 6 * time.Second, PriorityWeight: 8, Idempotency: balancer.IdempotentWithKey, DedupWindow: 9 * time.Second},
	"audit":   {Name: "audit", Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: balancer.NonIdempotent},
}

const schemaText = `
schema { query: Ask mutation: Change subscription: Feed }
type Ask {
  seats(from: String!, to: String, first: Int): [Seat!]! @listSize(slicingArguments: ["first"], assumedSize: 50)
  coach(id: ID!): Coach
  audit: String
}
type Seat { id: ID! price: Float @cost(weight: "3") coach: Coach }
type Coach { id: ID! seats: [Seat!]! name: String }
input Pay { requestId: String! amount: Int }
type Change {
  confirm(id: ID!): Seat
  record(input: Pay!): String
  refund(input: Pay!): String
}
type Feed { changed: Seat }`

func options() Options {
	o := Default()
	o.Match = "/graphql"
	o.Fields = []Field{{Name: "Query.seats", Class: "search", Weight: -1}, {Name: "Query.coach", Class: "map", Weight: -1},
		{Name: "Query.audit", Class: "audit", Weight: -1},
		{Name: "Mutation.confirm", Class: "confirm", Weight: -1}, {Name: "Mutation.record", Class: "record", Key: "input.requestId", Weight: 5},
		{Name: "Mutation.refund", Class: "refund", Key: "input.requestId", Weight: -1}}
	o.Operations = []Operation{{"Cheap", "search"}, {"Careful", "audit"}}
	return o
}

// endpoint creates an Endpoint with the options that the function options returns, after change has edited them. With persisted = "known",
// change sets KnownFile to the text of the file instead of its path.
func endpoint(t testing.TB, schema string, change func(*Options)) *Endpoint {
	t.Helper()
	o := options()
	known := ""
	if change != nil {
		change(&o)
	}
	if o.PersistedQueries == "known" {
		known, o.KnownFile = o.KnownFile, "known.json"
	}
	o.Check(func(key, format string, args ...any) {
		t.Fatalf("invalid option %s: "+format, append([]any{key}, args...)...)
	})
	e, err := New(o, func(n string) *Class { return classes[n] }, schema, known)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// decide passes a body through ParseBody and Decide. It returns the decision and its class's name, or the problem's code.
func decide(e *Endpoint, body string) (Decision, string) {
	request, problem := ParseBody([]byte(body), e.Limits())
	if problem == nil {
		problem = request.Problems[0]
	}
	if problem != nil {
		return Decision{}, problem.Code
	}
	d, problem := e.Decide(&request.Params[0], false, nil)
	if problem != nil {
		return d, problem.Code
	}
	return d, d.Class.Name
}

// requestBody returns the JSON body for a query. The parameter more holds further members of the body's object.
func requestBody(query string, more ...string) string {
	return fmt.Sprintf(`{"query":%q%s}`, query, strings.Join(append([]string{""}, more...), ","))
}

// The class must be that of the operation that an upstream runs. A name, an alias, a fragment or a second root field must not make it less
// strict.
func TestDecideClass(t *testing.T) {
	deep := strings.Repeat("{a", 25) + strings.Repeat("}", 25)
	for _, c := range []struct{ body, withSchema, withoutSchema string }{
		{requestBody(`{seats(from:"N"){id}}`), "search", "search"},
		{requestBody(`{coach(id:1){name}}`), "map", "map"},
		{requestBody(`{__typename}`), "read", "read"},
		{requestBody(`{__typename seats(from:"N"){id}}`), "search", "search"},
		{requestBody(`{seats(from:"N"){id} coach(id:1){name}}`), "map", "map"}, // the lower priority weight
		{requestBody(`{seats(from:"N"){id} audit}`), "audit", "audit"},
		{requestBody(`{x:audit}`), "audit", "audit"},
		{requestBody(`{...on Ask{...F}} fragment F on Ask{x:audit}`), "audit", "audit"},
		{requestBody(`query($b:Boolean!){audit@include(if:$b) seats(from:"N"){id}}`, `"variables":{"b":false}`), "audit", "audit"},
		{requestBody(`mutation{confirm(id:1){id}}`), "confirm", "confirm"},
		{requestBody(`mutation Cheap{confirm(id:1){id}}`), "confirm", "confirm"},
		{requestBody(`mutation Careful{confirm(id:1){id}}`), "audit", "audit"},
		{requestBody(`mutation Careful{record(input:{requestId:"k"})}`), "audit", "audit"},
		{requestBody(`query Cheap{audit}`), "audit", "audit"},
		{requestBody(`query Cheap{coach(id:1){id}}`), "search", "search"},
		{requestBody(`mutation{record(input:{requestId:"k"})}`), "record", "record"},
		{requestBody(`mutation($i:Pay!){record(input:$i)}`, `"variables":{"i":{"requestId":"k"}}`), "record", "record"},
		{requestBody(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":"k"}`), "record", "record"},
		{requestBody(`mutation($k:String="d"){record(input:{requestId:$k})}`), "record", "record"},
		{requestBody(`mutation($k:String!="d"){record(input:{requestId:$k})}`), "record", "record"},
		{requestBody(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":""}`), "write", "write"},
		{requestBody(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":{"a":1}}`), "write", "write"},
		{requestBody(`mutation($k:String!){record(input:{requestId:$k})}`), "write", "write"},
		{requestBody(`mutation{a:record(input:{requestId:"k"}) b:record(input:{requestId:"l"})}`), "record", "record"},
		{requestBody(`mutation{a:record(input:{requestId:"k"}) b:refund(input:{requestId:"l"})}`), "write", "write"},
		{requestBody(`mutation{a:record(input:{requestId:"k"}) b:confirm(id:1){id} c:record(input:{requestId:"l"})}`), "confirm", "confirm"},
		{requestBody(`query A{seats(from:"N"){id}} mutation B{confirm(id:1){id}}`, `"operationName":"A"`), "search", "search"},
		{requestBody(`query A{seats(from:"N"){id}} mutation B{confirm(id:1){id}}`, `"operationName":"B"`), "confirm", "confirm"},
		{requestBody(`query A{seats(from:"N"){id}} mutation B{confirm(id:1){id}}`), CodeOperation, CodeOperation},
		{requestBody(`query A{seats(from:"N"){id}}`, `"operationName":"a"`), CodeOperation, CodeOperation},
		{requestBody(`query A{seats(from:"N"){id}} mutation A{confirm(id:1){id}}`, `"operationName":"A"`), CodeValidation, CodeValidation},
		{requestBody(`{seats(from:"N"){id}} mutation{confirm(id:1){id}}`), CodeValidation, CodeValidation},
		{requestBody(`subscription{changed{id}}`), CodeSubscription, CodeSubscription},
		{requestBody(`{nothing}`), CodeValidation, "read"},
		{requestBody(`{seats(from:"N")`), CodeParse, CodeParse},
		{requestBody(`{...F} fragment F on Ask{...G} fragment G on Ask{...F}`), CodeValidation, CodeValidation},
		{requestBody(`{seats(from:"N"){id}} fragment F on Ask{...F}`), CodeValidation, CodeValidation},
		{requestBody(`{...F}`), CodeValidation, CodeValidation},
		{requestBody(`fragment F on Ask{audit}`), CodeValidation, CodeValidation},
		{requestBody(deep), CodeLimit, CodeLimit},
		{requestBody("{" + strings.Repeat("x:audit ", 60) + "}"), CodeLimit, CodeLimit},
		{requestBody("{" + strings.Repeat("audit ", 21) + "}"), CodeLimit, CodeLimit},
		{requestBody("{audit " + strings.Repeat("@skip(if:false)", 51) + "}"), CodeLimit, CodeLimit},
		{requestBody("{" + strings.Repeat("audit ", 2500) + "}"), CodeLimit, CodeLimit},
		{requestBody(""), CodeRequest, CodeRequest},
		{requestBody("#"), CodeValidation, CodeValidation},
	} {
		for i, schema := range []string{schemaText, ""} {
			want := []string{c.withSchema, c.withoutSchema}[i]
			d, got := decide(endpoint(t, schema, nil), c.body)
			if got != want {
				t.Errorf("with schema %v: body %.200s: got %s, want %s", i == 0, c.body, got, want)
			}
			if keyed := d.Class != nil && d.Class.Idempotency == balancer.IdempotentWithKey; keyed != (d.Key != "") {
				t.Errorf("body %.200s: key is %q, but only a keyed class must have a key", c.body, d.Key)
			}
		}
	}
}

// A key in a header must be used for one field only: two fields, two values of the header or a batch must lead to no key. Otherwise an
// upstream would drop the second field as a duplicate of the first.
func TestHeaderKey(t *testing.T) {
	e := endpoint(t, "", func(o *Options) { o.Fields[4].Key = "header:Idempotency-Key" })
	one, two := http.Header{"Idempotency-Key": {"k"}}, http.Header{"Idempotency-Key": {"k", "l"}}
	for _, c := range []struct {
		query  string
		header http.Header
		want   string
	}{{`mutation{record}`, one, "record k"}, {`mutation{record}`, two, "write "}, {`mutation{record}`, nil, "write "},
		{`mutation{a:record b:record}`, one, "write "}, {`mutation{record refund(input:{requestId:"x"})}`, one, "write "},
		{`mutation{record confirm}`, one, "confirm "}, {`{seats}`, one, "search "}} {
		d, problem := e.Decide(&Params{Query: c.query}, false, c.header)
		if problem != nil || d.Class.Name+" "+d.Key != c.want {
			t.Errorf("query %s with header %v: class %v, key %q, problem %v, want %s", c.query, c.header, d.Class, d.Key, problem, c.want)
		}
	}
}

// The estimated cost must follow the schema and the options. Fragments that spread each other must be rejected without exponential work.
func TestCost(t *testing.T) {
	for _, c := range []struct {
		query, vars string
		want        float64 // with the schema
		without     float64
	}{
		{`{audit}`, ``, 0, 0},
		{`{coach(id:1){name}}`, ``, 1, 1},
		{`{seats(from:"N",first:3){id}}`, ``, 1, 1},
		{`{seats(from:"N",first:3){price}}`, ``, 1 + 3*3, 1},
		{`{seats(from:"N"){price}}`, ``, 1 + 50*3, 1},
		{`query($n:Int){seats(from:"N",first:$n){coach{id}}}`, `{"n":7}`, 1 + 7*1, 1 + 7*1},
		{`query($n:Int=4){seats(from:"N",first:$n){coach{id}}}`, ``, 1 + 4, 1 + 4},
		{`query($n:Int){seats(from:"N",first:$n){coach{id}}}`, `{"n":-9}`, 1, 1},
		{`{coach(id:1){seats{coach{id}}}}`, ``, 1 + 1 + 10, 1 + 1 + 1},
		{`mutation{record(input:{requestId:"k"})}`, ``, 5, 5},
		{`{coach(id:1){...F ...F}} fragment F on Coach{seats{price}}`, ``, 1 + 2*(1+10*3), 1 + 2},
	} {
		for i, schema := range []string{schemaText, ""} {
			p := Params{Query: c.query, Variables: []byte(c.vars)}
			d, problem := endpoint(t, schema, nil).Decide(&p, false, nil)
			if want := []float64{c.want, c.without}[i]; problem != nil || d.Cost != want {
				t.Errorf("with schema %v: query %s costs %v (problem %v), want %v", i == 0, c.query, d.Cost, problem, want)
			}
		}
	}
	text := "{...F0}"
	for i := range 60 {
		text += fmt.Sprintf("fragment F%d on Ask{...F%d ...F%d}", i, i+1, i+1)
	}
	if _, got := decide(endpoint(t, "", nil), requestBody(text+"fragment F60 on Ask{audit}")); got != CodeLimit {
		t.Errorf("a document with 2^60 fields: got %s, want OPERATION_TOO_LARGE", got)
	}
	e := endpoint(t, "", func(o *Options) { o.Limits.Cost = 5 })
	if _, got := decide(e, requestBody(`{seats(first:100){coach{id}}}`)); got != CodeLimit {
		t.Errorf("a query above the cost limit: got %s, want OPERATION_TOO_LARGE", got)
	}
	// The hint follows the durations recorded for the kind of operation. Other operation names must not make new kinds.
	e = endpoint(t, "", nil)
	decideQuery := func(q string) Decision { d, _ := decide(e, requestBody(q)); return d }
	if hint := decideQuery(`{seats{id}}`).CostHint; hint != 0 {
		t.Errorf("hint is %v before any recorded duration, want 0", hint)
	}
	for i := range 3000 {
		d := decideQuery(fmt.Sprintf(`query N%d{seats(first:4){coach{id}}}`, i))
		e.RecordDuration(&d, 60*time.Millisecond)
		d = decideQuery(fmt.Sprintf(`query{n%d}`, i))
		e.RecordDuration(&d, time.Millisecond)
	}
	if d := decideQuery(`{seats(first:9){coach{id}}}`); d.CostHint.Round(time.Millisecond) != 110*time.Millisecond {
		t.Errorf("hint is %v, want 110ms: operations of 6 units took 60 ms, and this one has 11 units", d.CostHint)
	}
	if n := e.durations.kinds.Len(); n != maxOperationKinds {
		t.Errorf("durations of %d kinds of operations are kept, want maxOperationKinds", n)
	}
}

// A hash must stand only for its own text, the stored texts must stay within their limit, and only listed operations may count as known.
func TestPersistedQueries(t *testing.T) {
	sha256Hex := func(text string) string { sum := sha256.Sum256([]byte(text)); return hex.EncodeToString(sum[:]) }
	persistedQuery := func(hash string) string {
		return `"extensions":{"persistedQuery":{"version":1,"sha256Hash":"` + hash + `"}}`
	}
	query, mutation := `{seats{id}}`, `mutation{confirm{id}}`
	e := endpoint(t, "", func(o *Options) { o.PersistedQueries, o.PersistedBytes = "automatic", 3000 })
	for i, c := range []struct{ body, want string }{
		{"{" + persistedQuery(sha256Hex(mutation)) + "}", CodePersistedNotFound},
		{requestBody(query, persistedQuery(sha256Hex(mutation))), CodeRequest},
		{"{" + persistedQuery(sha256Hex(mutation)) + "}", CodePersistedNotFound},
		{requestBody(mutation, persistedQuery(strings.ToUpper(sha256Hex(mutation)))), "confirm"},
		{"{" + persistedQuery(sha256Hex(mutation)) + "}", "confirm"}, // a hash must not hide that the operation is a mutation
		{requestBody(query), "search"},
	} {
		if _, got := decide(e, c.body); got != c.want {
			t.Errorf("request %d, body %s: got %s, want %s", i, c.body, got, c.want)
		}
	}
	for i := range 1000 {
		text := fmt.Sprintf(`{seats{id%d}}`, i)
		decide(e, requestBody(text, persistedQuery(sha256Hex(text))))
	}
	if bytes, n := e.persistedTexts.size(); bytes > 3000 || n < 5 {
		t.Errorf("persisted texts: %d bytes in %d entries, want at most 3000 bytes and at least 5 entries", bytes, n)
	}
	if bytes, n := e.documents.size(); bytes > e.options.CacheBytes.Bytes() || n < 100 {
		t.Errorf("document cache: %d bytes in %d documents, want at most CacheBytes and at least 100 documents", bytes, n)
	}
	for _, file := range []string{fmt.Sprintf(`{%q:%q,"cheap":"query Cheap{audit}"}`, sha256Hex(query), query),
		fmt.Sprintf(`{"format":"apollo-persisted-query-manifest","operations":[{"id":%q,"body":%q},{"id":"cheap","body":"query Cheap{audit}"}]}`, sha256Hex(query), query)} {
		e = endpoint(t, "", func(o *Options) { o.PersistedQueries, o.KnownFile = "known", file })
		for body, want := range map[string]string{"{" + persistedQuery(sha256Hex(query)) + "}": "search", requestBody(query): "search",
			requestBody(query, persistedQuery("cheap")): CodeUnknownOperation, requestBody(mutation): CodeUnknownOperation,
			"{" + persistedQuery(sha256Hex(mutation)) + "}": CodeUnknownOperation,
			"{" + persistedQuery("cheap") + "}":             "search"} { // the name of a known operation is trusted
			if _, got := decide(e, body); got != want {
				t.Errorf("body %s: got %s, want %s", body, got, want)
			}
		}
	}
	if _, err := knownOperations(fmt.Sprintf(`{%q:%q}`, sha256Hex(query), mutation)); err == nil {
		t.Error("a file of known operations with the hash of another text was accepted")
	}
}

// New must report mistakes in its options and files.
func TestNewReportsMistakes(t *testing.T) {
	for want, change := range map[string]func(*Options){
		`no class "gone"`:             func(o *Options) { o.Query = "gone" },
		"must not run twice":          func(o *Options) { o.Mutation = "record" },
		"names no key":                func(o *Options) { o.Fields[4].Key = "" },
		"is not keyed":                func(o *Options) { o.Fields[3].Key = "id" },
		"and a mutation must not":     func(o *Options) { o.Fields[3].Class = "search" },
		"only be set on a root field": func(o *Options) { o.Operations[0].Class = "record" },
		"schema has no field Query.x": func(o *Options) { o.Fields[0].Name = "Query.x" },
	} {
		o := options()
		change(&o)
		if _, err := New(o, func(n string) *Class { return classes[n] }, schemaText, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New returned error %v, want one with %s", err, want)
		}
	}
	for text, want := range map[string]string{"type Query { a: Nothing }": "schema: ", "{": "schema: "} {
		if _, err := New(Options{Query: "read", Mutation: "write"}, func(n string) *Class { return classes[n] }, text, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New returned error %v, want one with %s", err, want)
		}
	}
}

// The class must be at least as strict as that of referenceIdempotency, which reads the forwarded body without any rule of this package.
func FuzzDecide(f *testing.F) {
	f.Add(requestBody(`{seats(from:"N"){id}}`))
	f.Add(requestBody(`query A{seats(from:"N"){id}} mutation B{...F} fragment F on Change{x:confirm(id:1){id}}`, `"operationName":"B"`))
	f.Add(requestBody(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":"k"}`))
	f.Add(`[{"query":"{audit}"},{"query":"mutation{confirm(id:1){id}}"}]`)
	withSchema, withoutSchema := endpoint(f, schemaText, nil), endpoint(f, "", nil)
	f.Fuzz(func(t *testing.T, body string) {
		for _, e := range []*Endpoint{withSchema, withoutSchema} {
			request, problem := ParseBody([]byte(body), e.Limits())
			if problem != nil {
				if problem.Status < 400 || problem.Status > 499 || problem.Status == 429 {
					t.Fatalf("ParseBody returned a problem with status %d, want 4xx other than 429", problem.Status)
				}
				continue
			}
			for i := range request.Params {
				if request.Problems[i] != nil {
					continue
				}
				d, problem := e.Decide(&request.Params[i], false, nil)
				if problem != nil {
					continue
				}
				idempotency, err := referenceIdempotency(d.Body)
				if err != nil {
					t.Fatalf("forwarded body %q is not a valid request: %v", d.Body, err)
				}
				if d.Class.Idempotency < idempotency || d.Class.Idempotency == balancer.IdempotentWithKey && d.Key == "" {
					t.Fatalf("forwarded body %q is classified as %v, an upstream runs it as %v", d.Body, d.Class.Idempotency, idempotency)
				}
			}
		}
		withSchema.Classify(200, []byte(body), false)
		if _, problem := ParseURLQuery(body, withSchema.Limits()); problem != nil && problem.Status/100 != 4 {
			t.Fatalf("ParseURLQuery returned a problem with status %d, want 4xx", problem.Status)
		}
	})
}
