package graphql

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/balancer"
)

var classes = map[string]*Class{
	"read":    {Name: "read", Deadline: 10e9, PriorityWeight: 1},
	"search":  {Name: "search", Deadline: 2e9, PriorityWeight: 3},
	"map":     {Name: "map", Deadline: 3e9, PriorityWeight: 2},
	"write":   {Name: "write", Deadline: 10e9, PriorityWeight: 1, Idempotency: balancer.NonIdempotent},
	"confirm": {Name: "confirm", Deadline: 5e9, PriorityWeight: 10, Idempotency: balancer.NonIdempotent},
	"record":  {Name: "record", Deadline: 6e9, PriorityWeight: 8, Idempotency: balancer.IdempotentWithKey, DedupWindow: 6e9},
	"refund":  {Name: "refund", Deadline: 6e9, PriorityWeight: 8, Idempotency: balancer.IdempotentWithKey, DedupWindow: 9e9},
	"audit":   {Name: "audit", Deadline: 6e9, PriorityWeight: 1, Idempotency: balancer.NonIdempotent},
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
	o.Named = []Operation{{"Cheap", "search"}, {"Careful", "audit"}}
	return o
}

func endpoint(t testing.TB, schema string, change func(*Options)) *Endpoint {
	t.Helper()
	o := options()
	known := ""
	if change != nil {
		change(&o)
	}
	if o.Persist == "known" {
		known, o.Known = o.Known, "known.json"
	}
	o.Check(func(key, format string, args ...any) { t.Fatalf("%s: "+format, append([]any{key}, args...)...) })
	e, err := New(o, func(n string) *Class { return classes[n] }, schema, known)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// decide is a request's way through Body and Decide; its class, or its problem's code.
func decide(e *Endpoint, body string) (Decision, string) {
	a, bad := ParseBody([]byte(body), e.Limits())
	if bad == nil {
		bad = a.Problems[0]
	}
	if bad != nil {
		return Decision{}, bad.Code
	}
	d, bad := e.Decide(&a.Params[0], false, nil)
	if bad != nil {
		return d, bad.Code
	}
	return d, d.Class.Name
}

func asked(query string, more ...string) string {
	return fmt.Sprintf(`{"query":%q%s}`, query, strings.Join(append([]string{""}, more...), ","))
}

// Guards against an operation that runs as another than the one that it was classed as, and one whose name, alias, fragment or
// second root field makes it less strict.
func TestClass(t *testing.T) {
	deep := strings.Repeat("{a", 25) + strings.Repeat("}", 25)
	for _, c := range []struct{ body, with, without string }{
		{asked(`{seats(from:"N"){id}}`), "search", "search"},
		{asked(`{coach(id:1){name}}`), "map", "map"},
		{asked(`{__typename}`), "read", "read"},
		{asked(`{__typename seats(from:"N"){id}}`), "search", "search"},
		{asked(`{seats(from:"N"){id} coach(id:1){name}}`), "map", "map"}, // worth less
		{asked(`{seats(from:"N"){id} audit}`), "audit", "audit"},
		{asked(`{x:audit}`), "audit", "audit"},
		{asked(`{...on Ask{...F}} fragment F on Ask{x:audit}`), "audit", "audit"},
		{asked(`query($b:Boolean!){audit@include(if:$b) seats(from:"N"){id}}`, `"variables":{"b":false}`), "audit", "audit"},
		{asked(`mutation{confirm(id:1){id}}`), "confirm", "confirm"},
		{asked(`mutation Cheap{confirm(id:1){id}}`), "confirm", "confirm"},
		{asked(`mutation Careful{confirm(id:1){id}}`), "audit", "audit"},
		{asked(`mutation Careful{record(input:{requestId:"k"})}`), "audit", "audit"},
		{asked(`query Cheap{audit}`), "audit", "audit"},
		{asked(`query Cheap{coach(id:1){id}}`), "search", "search"},
		{asked(`mutation{record(input:{requestId:"k"})}`), "record", "record"},
		{asked(`mutation($i:Pay!){record(input:$i)}`, `"variables":{"i":{"requestId":"k"}}`), "record", "record"},
		{asked(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":"k"}`), "record", "record"},
		{asked(`mutation($k:String="d"){record(input:{requestId:$k})}`), "record", "record"},
		{asked(`mutation($k:String!="d"){record(input:{requestId:$k})}`), "record", "record"},
		{asked(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":""}`), "write", "write"},
		{asked(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":{"a":1}}`), "write", "write"},
		{asked(`mutation($k:String!){record(input:{requestId:$k})}`), "write", "write"},
		{asked(`mutation{a:record(input:{requestId:"k"}) b:record(input:{requestId:"l"})}`), "record", "record"},
		{asked(`mutation{a:record(input:{requestId:"k"}) b:refund(input:{requestId:"l"})}`), "write", "write"},
		{asked(`mutation{a:record(input:{requestId:"k"}) b:confirm(id:1){id} c:record(input:{requestId:"l"})}`), "confirm", "confirm"},
		{asked(`query A{seats(from:"N"){id}} mutation B{confirm(id:1){id}}`, `"operationName":"A"`), "search", "search"},
		{asked(`query A{seats(from:"N"){id}} mutation B{confirm(id:1){id}}`, `"operationName":"B"`), "confirm", "confirm"},
		{asked(`query A{seats(from:"N"){id}} mutation B{confirm(id:1){id}}`), CodeOperation, CodeOperation},
		{asked(`query A{seats(from:"N"){id}}`, `"operationName":"a"`), CodeOperation, CodeOperation},
		{asked(`query A{seats(from:"N"){id}} mutation A{confirm(id:1){id}}`, `"operationName":"A"`), CodeValidation, CodeValidation},
		{asked(`{seats(from:"N"){id}} mutation{confirm(id:1){id}}`), CodeValidation, CodeValidation},
		{asked(`subscription{changed{id}}`), CodeSubscription, CodeSubscription},
		{asked(`{nothing}`), CodeValidation, "read"},
		{asked(`{seats(from:"N")`), CodeParse, CodeParse},
		{asked(`{...F} fragment F on Ask{...G} fragment G on Ask{...F}`), CodeValidation, CodeValidation},
		{asked(`{seats(from:"N"){id}} fragment F on Ask{...F}`), CodeValidation, CodeValidation},
		{asked(`{...F}`), CodeValidation, CodeValidation},
		{asked(`fragment F on Ask{audit}`), CodeValidation, CodeValidation},
		{asked(deep), CodeLimit, CodeLimit},
		{asked("{" + strings.Repeat("x:audit ", 60) + "}"), CodeLimit, CodeLimit},
		{asked("{" + strings.Repeat("audit ", 21) + "}"), CodeLimit, CodeLimit},
		{asked("{audit " + strings.Repeat("@skip(if:false)", 51) + "}"), CodeLimit, CodeLimit},
		{asked("{" + strings.Repeat("audit ", 2500) + "}"), CodeLimit, CodeLimit},
		{asked(""), CodeRequest, CodeRequest},
		{asked("#"), CodeValidation, CodeValidation},
	} {
		for i, schema := range []string{schemaText, ""} {
			want := []string{c.with, c.without}[i]
			d, got := decide(endpoint(t, schema, nil), c.body)
			if got != want {
				t.Errorf("schema %v: %.200s is %s, want %s", i == 0, c.body, got, want)
			}
			if keyed := d.Class != nil && d.Class.Idempotency == balancer.IdempotentWithKey; keyed != (d.Key != "") {
				t.Errorf("%.200s: key %q", c.body, d.Key)
			}
		}
	}
}

// A key that a header brings is one field's: of two, of a batch, or of two values there is none.
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
		d, bad := e.Decide(&Params{Query: c.query}, false, c.header)
		if bad != nil || d.Class.Name+" "+d.Key != c.want {
			t.Errorf("%s %v: %v %q %v, want %s", c.query, c.header, d.Class, d.Key, bad, c.want)
		}
	}
}

// Guards against a body that a node reads otherwise than the one who decides, and an answer 429 for any.
func TestBody(t *testing.T) {
	e := endpoint(t, "", nil)
	hash := strings.Repeat("ab", 32)
	for body, want := range map[string]string{
		`{"query":"{seats}"}`:                                                         "search",
		" \n{\"query\":\"{seats}\"}\n":                                                "search",
		`{"query":"{seats}","query":"mutation{confirm}"}`:                             CodeRequest,
		`{"query":"{seats}","qu\u0065ry":"mutation{x}"}`:                              CodeRequest,
		`{"qu\u0065ry":"mutation{confirm}"}`:                                          "confirm",
		`{"query":"{seats}","Query":"mutation{confirm}"}`:                             CodeRequest,
		`{"query":"{seats}","id":"` + hash + `"}`:                                     CodeRequest,
		"\xef\xbb\xbf" + `{"query":"{seats}"}`:                                        CodeRequest,
		"{\"query\":\"{seats}\",\"operationName\":\"\xff\"}":                          CodeRequest,
		`{"query":"{seats}","operationName":"\ud800"}`:                                CodeRequest,
		`{"query":"{seats}"}{"query":"mutation{confirm}"}`:                            CodeRequest,
		`{"query":"{seats}"} x`:                                                       CodeRequest,
		`{"query":"{seats}"`:                                                          CodeRequest,
		`{"query":["{seats}"]}`:                                                       CodeRequest,
		`{"query":"{seats}","variables":[]}`:                                          CodeRequest,
		`{"query":"{seats}","variables":{"a":{"b":1,"b":2}}}`:                         CodeRequest,
		`{"query":"{seats}","variables":null,"operationName":null,"extensions":null}`: "search",
		`{"query":"{seats}","variables":{"a":"` + strings.Repeat("x", 33<<10) + `"}}`: CodeLimit,
		`{"query":"\ufeff{seats}"}`:                                                   "search", // the specification ignores it there
		`{"query":"{ seats # }\n }"}`:                                                 "search",
		`"{seats}"`:                                                                   CodeRequest,
		``:                                                                            CodeRequest,
		`[]`:                                                                          CodeRequest,
		`{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"` + hash + `"}}}`: CodeNoPersisted,
		`{"extensions":{"persistedQuery":{"version":2,"sha256Hash":"` + hash + `"}}}`: CodeRequest,
		`{"extensions":{"persistedQuery":7}}`:                                         CodeRequest,
		strings.Repeat("{", 64<<10):                                                   CodeRequest,
		strings.Repeat(`{"query":`, 7<<10):                                            CodeRequest, `{"query":"{seats}","variables":` + strings.Repeat(`{"a":`, 101) + "1" + strings.Repeat("}", 101) + "}": CodeRequest,
		asked(strings.Repeat("{", 64<<10)):                                        CodeParse,
		"[" + strings.Repeat(`{"query":"{seats}"},`, 10) + `{"query":"{seats}"}]`: CodeRequest,
	} {
		begun := time.Now()
		if _, got := decide(e, body); got != want {
			t.Errorf("%.120q is %s, want %s", body, got, want)
		}
		if took := time.Since(begun); took > 500*time.Millisecond { // 5 ms on a machine that does nothing else: cmd/measure
			t.Errorf("%.60q takes %v", body, took)
		}
	}
	// What goes on has one reading, whatever came.
	d, _ := decide(e, `{"extensions":{"a":[1, 2],"persistedQuery":{"version":1,"sha256Hash":"`+hash+`"}},"variables":{"v":"\u0041"},"qu\u0065ry":"{seats}"}`)
	if got, want := string(d.Body), `{"query":"{seats}","variables":{"v":"\u0041"},"extensions":{"a":[1, 2]}}`; got != want {
		t.Errorf("%s goes on, want %s", got, want)
	}
}

// Guards against a GET that changes something, or has parameters twice.
func TestURL(t *testing.T) {
	e := endpoint(t, "", nil)
	for raw, want := range map[string]string{
		"query={seats}": "search", "query=mutation{confirm}": "405", "query={seats}&query=mutation{confirm}": CodeRequest,
		"query={seats}&Query=x": CodeRequest, "query=query+A{seats}mutation+B{confirm}&operationName=B": "405",
		"query=query+A{seats}mutation+B{confirm}&operationName=A": "search", "query=%ff": CodeRequest, "query=%zz": CodeRequest,
		"query={seats}&variables=%7B%22a%22:1%7D": "search", "query={seats}&variables={": CodeRequest, "query={seats}&variables=": "search",
		"variables={}": CodeRequest, "query={seats};x=1": CodeRequest,
	} {
		a, bad := ParseURLQuery(raw, e.Limits())
		got := ""
		if bad == nil {
			var d Decision
			if d, bad = e.Decide(&a.Params[0], true, nil); bad == nil {
				got = d.Class.Name
			}
		}
		if bad != nil {
			if got = bad.Code; bad.Status != 400 {
				got = fmt.Sprint(bad.Status)
			}
		}
		if got != want {
			t.Errorf("%s is %s, want %s", raw, got, want)
		}
	}
	for raw, want := range map[string]bool{"": true, "a=1": true, "query=x": false, "QUERY=x": false, "extensions": false, "a;b": false} {
		if HasNoParameters(raw) != want {
			t.Errorf("%q is plain: %v", raw, !want)
		}
	}
}

// Guards against estimates that spreads blow up, or that do not follow what the schema and the file say.
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
			d, bad := endpoint(t, schema, nil).Decide(&p, false, nil)
			if want := []float64{c.want, c.without}[i]; bad != nil || d.Cost != want {
				t.Errorf("schema %v: %s costs %v (%v), want %v", i == 0, c.query, d.Cost, bad, want)
			}
		}
	}
	text := "{...F0}"
	for i := range 60 {
		text += fmt.Sprintf("fragment F%d on Ask{...F%d ...F%d}", i, i+1, i+1)
	}
	if _, got := decide(endpoint(t, "", nil), asked(text+"fragment F60 on Ask{audit}")); got != CodeLimit {
		t.Errorf("2^60 fields are %s", got)
	}
	e := endpoint(t, "", func(o *Options) { o.Limits.Cost = 5 })
	if _, got := decide(e, asked(`{seats(first:100){coach{id}}}`)); got != CodeLimit {
		t.Errorf("beyond the cost's bound: %s", got)
	}
	// What operations took makes the hint, by kind of operation; who changes names changes nothing.
	e = endpoint(t, "", nil)
	ask := func(q string) Decision { d, _ := decide(e, asked(q)); return d }
	if h := ask(`{seats{id}}`).CostHint; h != 0 {
		t.Errorf("%v is expected of nothing", h)
	}
	for i := range 3000 {
		d := ask(fmt.Sprintf(`query N%d{seats(first:4){coach{id}}}`, i))
		e.RecordDuration(&d, 60*time.Millisecond)
		d = ask(fmt.Sprintf(`query{n%d}`, i))
		e.RecordDuration(&d, time.Millisecond)
	}
	if d := ask(`{seats(first:9){coach{id}}}`); d.CostHint.Round(time.Millisecond) != 110*time.Millisecond {
		t.Errorf("hint %v, want 110ms: 6 units took 60 ms, this has 11", d.CostHint)
	}
	if n := e.durations.kinds.Len(); n != maxOperationKinds {
		t.Errorf("%d kinds are remembered", n)
	}
}

// Guards against a hash that stands for another text, a store without end, and an operation that is not on the list.
func TestPersisted(t *testing.T) {
	hashed := func(text string) string { sum := sha256.Sum256([]byte(text)); return hex.EncodeToString(sum[:]) }
	by := func(hash string) string {
		return `"extensions":{"persistedQuery":{"version":1,"sha256Hash":"` + hash + `"}}`
	}
	search, change := `{seats{id}}`, `mutation{confirm{id}}`
	e := endpoint(t, "", func(o *Options) { o.Persist, o.Stored = "automatic", 3000 })
	for i, c := range []struct{ body, want string }{
		{"{" + by(hashed(change)) + "}", CodeNotPersisted},
		{asked(search, by(hashed(change))), CodeRequest},
		{"{" + by(hashed(change)) + "}", CodeNotPersisted},
		{asked(change, by(strings.ToUpper(hashed(change)))), "confirm"},
		{"{" + by(hashed(change)) + "}", "confirm"}, // hidden in a hash it is what it is
		{asked(search), "search"},
	} {
		if _, got := decide(e, c.body); got != c.want {
			t.Errorf("%d: %s is %s, want %s", i, c.body, got, c.want)
		}
	}
	for i := range 1000 {
		text := fmt.Sprintf(`{seats{id%d}}`, i)
		decide(e, asked(text, by(hashed(text))))
	}
	if bytes, n := e.persistedTexts.size(); bytes > 3000 || n < 5 {
		t.Errorf("%d bytes in %d entries", bytes, n)
	}
	if bytes, n := e.documents.size(); bytes > e.options.Cache.Bytes() || n < 100 {
		t.Errorf("%d bytes in %d documents", bytes, n)
	}
	for _, file := range []string{fmt.Sprintf(`{%q:%q,"cheap":"query Cheap{audit}"}`, hashed(search), search),
		fmt.Sprintf(`{"format":"apollo-persisted-query-manifest","operations":[{"id":%q,"body":%q},{"id":"cheap","body":"query Cheap{audit}"}]}`, hashed(search), search)} {
		e = endpoint(t, "", func(o *Options) { o.Persist, o.Known = "known", file })
		for body, want := range map[string]string{"{" + by(hashed(search)) + "}": "search", asked(search): "search",
			asked(search, by("cheap")): CodeUnknown, asked(change): CodeUnknown, "{" + by(hashed(change)) + "}": CodeUnknown,
			"{" + by("cheap") + "}": "search"} { // a known one's name is believed
			if _, got := decide(e, body); got != want {
				t.Errorf("%s is %s, want %s", body, got, want)
			}
		}
	}
	if _, err := knownOperations(fmt.Sprintf(`{%q:%q}`, hashed(search), change)); err == nil {
		t.Error("a list with another text's hash is taken")
	}
}

// Guards against a mutation's success out of noise, a fleet that one client's mistake ejects, and a repeat of what has run.
func TestJudge(t *testing.T) {
	e := endpoint(t, "", func(o *Options) { o.Failing, o.Unrun = []string{"GONE"}, []string{"FULL"} })
	coded := func(codes ...string) string {
		text := []string{}
		for _, c := range codes {
			text = append(text, fmt.Sprintf(`{"message":"m","extensions":{"code":%q}}`, c))
		}
		return `"errors":[` + strings.Join(text, ",") + `]`
	}
	for body, want := range map[string]Classification{
		`{"data":{"a":1}}`: Served, ` {"data":{},"extensions":{}} `: Served, `{"data":null}`: Served,
		`{"data":{"a":null},` + coded("GONE") + `}`: Served, `{"data":null,` + coded("GONE") + `}`: UpstreamFailed,
		`{` + coded("GONE") + `}`: UpstreamFailed, `{` + coded("X", "GONE") + `}`: UpstreamFailed, `{` + coded("X") + `}`: Served,
		`{` + coded("FULL") + `}`: NotExecuted, `{` + coded("FULL", "FULL") + `}`: NotExecuted, `{` + coded("FULL", "X") + `}`: UpstreamFailed,
		`{"errors":[{"message":"m"},` + coded("FULL")[10:] + `}`: UpstreamFailed, `{"data":{"a":1},` + coded("FULL") + `}`: Served,
		`{"errors":[{"message":"m"}]}`: Served, `{"errors":[]}`: Malformed, `{"errors":[{}]}`: Malformed, `{"errors":{}}`: Malformed,
		`{"data":[]}`: Malformed, `{"data":1}`: Malformed, `{}`: Malformed, `[]`: Malformed, ``: Malformed, `ok`: Malformed, `{"data":{"a":1}`: Malformed,
		`{"data":{"a":1}}{`: Malformed, `{"data":{},"data":{}}`: Malformed, "{\"data\":{\"a\":\"\xff\"}}": Malformed, `{"errors":[1]}`: Malformed,
		"\x1f\x8b": Malformed,
	} {
		if got := e.Classify(200, []byte(body), false); got != want {
			t.Errorf("%s is %v, want %v", body, got, want)
		}
		if other := e.Classify(401, []byte(body), false); want == Malformed && other != Served {
			t.Errorf("401 with %s is %v", body, other)
		}
		if IsAnswer([]byte(body)) != (want != Malformed) {
			t.Errorf("%s may stand in a batch: %v", body, want == Malformed)
		}
	}
	if e.Classify(200, []byte(`{"data":{}}`), true) != Malformed {
		t.Error("a packed answer is served")
	}
}

func TestMedia(t *testing.T) {
	for accept, want := range map[string]string{"": MediaResponse, "*/*": MediaResponse, "application/json": MediaJSON,
		"application/graphql-response+json, application/json;q=0.9": MediaResponse, "application/*;q=0.1, application/json": MediaJSON,
		"application/json;q=0.2,application/graphql-response+json;q=0.1": MediaJSON, "text/html": "", "application/json;q=0": "",
		"application/json; charset=utf-8": MediaJSON, "application/json;q=x": "", "*/*, application/graphql-response+json;q=0": MediaJSON} {
		var list []string
		if accept != "" {
			list = []string{accept}
		}
		if got, ok := NegotiateMedia(list); got != want || ok != (want != "") {
			t.Errorf("%q: %q", accept, got)
		}
	}
	for kind, want := range map[string]bool{"application/json": true, "application/JSON; charset=UTF-8": true, `application/json;charset="utf-8"`: true,
		"application/json;charset=utf-16": false, "text/plain": false, "": false, "application/jsonp": false} {
		if IsJSON(kind) != want {
			t.Errorf("%q is JSON: %v", kind, !want)
		}
	}
}

// Any batch: each entry ends once, as many queries side by side as may, one mutation at a time in order, and none behind one
// that has no good end.
func TestBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, parallel := rapid.IntRange(1, 12).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "parallel")
		kinds, problems := make([]OperationKind, n), make([]*Problem, n)
		for i := range n {
			kinds[i] = OperationKind(rapid.IntRange(0, 1).Draw(t, "kind"))
			if rapid.IntRange(0, 5).Draw(t, "problem") == 0 {
				problems[i] = &Problem{}
			}
		}
		b := NewBatch(kinds, problems, parallel)
		var out, order []int
		ends, got := map[int]EntryOutcome{}, map[int]int{}
		for i, p := range problems {
			if p != nil {
				ends[i] = NotRun
				got[i]++
			}
		}
		for !b.Finished() {
			send, drop := b.Next(nil, nil)
			for _, i := range drop {
				ends[i] = NotRun
				got[i]++
			}
			out = append(out, send...)
			mutations := 0
			for _, i := range out {
				if kinds[i] == Mutation {
					mutations++
				}
			}
			for _, i := range send {
				if kinds[i] == Mutation {
					order = append(order, i)
					for j := range i {
						if e, over := ends[j]; kinds[j] == Mutation && (!over || e != Answered) {
							t.Fatalf("%d is sent, with %d before it: %v %v", i, j, over, e)
						}
					}
				}
			}
			if len(out) > parallel || mutations > 1 || !b.Finished() && len(out) == 0 {
				t.Fatalf("%v are out, %d mutations", out, mutations)
			}
			if len(out) == 0 {
				break
			}
			at := rapid.IntRange(0, len(out)-1).Draw(t, "ends")
			i := out[at]
			out = slices.Delete(out, at, at+1)
			ends[i] = EntryOutcome(rapid.IntRange(0, 2).Draw(t, "how"))
			got[i]++
			b.Done(i, ends[i])
			b.Done(i, Answered) // counts once
		}
		if !slices.IsSorted(order) {
			t.Fatalf("mutations went as %v", order)
		}
		for i := range n {
			if got[i] != 1 {
				t.Fatalf("entry %d ended %d times", i, got[i])
			}
		}
	})
}

func TestStatusOfBatch(t *testing.T) {
	none, bad := []*Problem{nil, nil}, []*Problem{nil, {}}
	for _, c := range []struct {
		ends     []EntryOutcome
		problems []*Problem
		want     int
	}{{[]EntryOutcome{Answered, MayHaveRun}, none, 200}, {[]EntryOutcome{NotRun, NotRun}, none, 503}, {[]EntryOutcome{NotRun, MayHaveRun}, none, 502}, {[]EntryOutcome{NotRun, NotRun}, bad, 200}} {
		if got := BatchStatus(c.ends, c.problems); got != c.want {
			t.Errorf("%v: %d", c.ends, got)
		}
	}
}

// Guards against a file whose mistakes show only under load.
func TestNewFindsMistakes(t *testing.T) {
	for want, change := range map[string]func(*Options){
		`no class "gone"`:           func(o *Options) { o.Query = "gone" },
		"must not run twice":        func(o *Options) { o.Mutation = "record" },
		"no key is named":           func(o *Options) { o.Fields[4].Key = "" },
		"is not keyed":              func(o *Options) { o.Fields[3].Key = "id" },
		"and a mutation must not":   func(o *Options) { o.Fields[3].Class = "search" },
		"needs a root field's key":  func(o *Options) { o.Named[0].Class = "record" },
		"the schema has no Query.x": func(o *Options) { o.Fields[0].Name = "Query.x" },
	} {
		o := options()
		change(&o)
		if _, err := New(o, func(n string) *Class { return classes[n] }, schemaText, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	for text, want := range map[string]string{"type Query { a: Nothing }": "schema: ", "{": "schema: "} {
		if _, err := New(Options{Query: "read", Mutation: "write"}, func(n string) *Class { return classes[n] }, text, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// The class that is decided on is at least as strict as what a plain reading of the text, without any of the rules here, finds a
// node would run.
func FuzzDecide(f *testing.F) {
	f.Add(asked(`{seats(from:"N"){id}}`))
	f.Add(asked(`query A{seats(from:"N"){id}} mutation B{...F} fragment F on Change{x:confirm(id:1){id}}`, `"operationName":"B"`))
	f.Add(asked(`mutation($k:String!){record(input:{requestId:$k})}`, `"variables":{"k":"k"}`))
	f.Add(`[{"query":"{audit}"},{"query":"mutation{confirm(id:1){id}}"}]`)
	with, without := endpoint(f, schemaText, nil), endpoint(f, "", nil)
	f.Fuzz(func(t *testing.T, body string) {
		for _, e := range []*Endpoint{with, without} {
			a, bad := ParseBody([]byte(body), e.Limits())
			if bad != nil {
				if bad.Status < 400 || bad.Status > 499 || bad.Status == 429 {
					t.Fatalf("status %d", bad.Status)
				}
				continue
			}
			for i := range a.Params {
				if a.Problems[i] != nil {
					continue
				}
				d, bad := e.Decide(&a.Params[i], false, nil)
				if bad != nil {
					continue
				}
				effect, err := reference(d.Body)
				if err != nil {
					t.Fatalf("%q goes on, which is no request: %v", d.Body, err)
				}
				if d.Class.Idempotency < effect || d.Class.Idempotency == balancer.IdempotentWithKey && d.Key == "" {
					t.Fatalf("%q is taken as %v, a node runs %v", d.Body, d.Class.Idempotency, effect)
				}
			}
		}
		with.Classify(200, []byte(body), false)
		if _, bad := ParseURLQuery(body, with.Limits()); bad != nil && bad.Status/100 != 4 {
			t.Fatalf("status %d", bad.Status)
		}
	})
}
