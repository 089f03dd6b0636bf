package graphql

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/vektah/gqlparser/v2"
	"github.com/vektah/gqlparser/v2/ast"

	"orchiddrift/balancer"
)

// Class is a service's.
type Class = balancer.Class

// Endpoint decides for one GraphQL endpoint. It is safe for concurrent use. What it holds is bounded: parsed documents and
// their texts by Options.Cache, persisted texts by Options.Stored, what operations took by maxLearnt.
type Endpoint struct {
	o       Options
	schema  *ast.Schema // nil: there is none
	classes [2]*Class   // by Kind
	fields  map[string]*fieldRule
	named   map[string]*Class
	weights map[string]float64
	known   map[string]string // by hash; nil: any operation may pass
	inFull  map[string]bool   // the known texts
	docs    *lru[*document]
	persist *lru[string]
	mu      sync.Mutex // of learnt
	learnt  *learnt
	longest time.Duration // deadline of any class that it may decide on
}

type fieldRule struct {
	class *Class
	key   string // of a keyed class: the argument
}

// New makes an Endpoint. class finds a service's class by its name, nil: it has none; schema and known are the files' texts,
// empty: there are none. Its errors are about what stands in them and in o, one at a time.
func New(o Options, class func(string) *Class, schema, known string) (*Endpoint, error) {
	e := &Endpoint{o: o, fields: map[string]*fieldRule{}, named: map[string]*Class{}, weights: map[string]float64{},
		docs: newLRU[*document](o.Cache.Bytes()), persist: newLRU[string](o.Stored.Bytes()), learnt: newLearnt()}
	find := func(name, what string) (*Class, error) {
		c := class(name)
		if c == nil {
			return nil, fmt.Errorf("%s: the service has no class %q", what, name)
		}
		e.longest = max(e.longest, c.Deadline)
		return c, nil
	}
	var err error
	if e.classes[Query], err = find(o.Query, "query"); err != nil {
		return nil, err
	}
	if e.classes[Mutation], err = find(o.Mutation, "mutation"); err != nil {
		return nil, err
	}
	if e.classes[Mutation].Idempotency != balancer.NonIdempotent { // it is what holds for a mutation without a key
		return nil, fmt.Errorf("mutation: class %q is %s: mutations in general must not run twice", o.Mutation, effect(e.classes[Mutation].Idempotency))
	}
	for _, f := range o.Fields {
		if f.Weight >= 0 {
			e.weights[f.Name] = f.Weight
		}
		if f.Class == "" {
			continue
		}
		c, err := find(f.Class, f.Name)
		switch {
		case err != nil:
			return nil, err
		case c.Idempotency == balancer.IdempotentWithKey && f.Key == "":
			return nil, fmt.Errorf("%s: class %q is keyed, and no key is named", f.Name, f.Class)
		case c.Idempotency != balancer.IdempotentWithKey && f.Key != "":
			return nil, fmt.Errorf("%s: class %q is not keyed", f.Name, f.Class)
		case c.Idempotency == balancer.Idempotent && strings.HasPrefix(f.Name, mutationType+"."):
			return nil, fmt.Errorf("%s: class %q may run any number of times, and a mutation must not", f.Name, f.Class)
		}
		e.fields[f.Name] = &fieldRule{c, f.Key}
	}
	for _, n := range o.Named {
		c, err := find(n.Class, "operation "+n.Name)
		if err != nil {
			return nil, err
		}
		if c.Idempotency == balancer.IdempotentWithKey {
			return nil, fmt.Errorf("operation %s: a keyed class needs a root field's key", n.Name)
		}
		e.named[n.Name] = c
	}
	if schema != "" {
		if e.schema, err = gqlparser.LoadSchema(directives(schema), &ast.Source{Name: o.Schema, Input: schema}); err != nil {
			return nil, fmt.Errorf("schema: %s", message(err))
		}
		for _, f := range o.Fields {
			if err := e.inSchema(f.Name); err != nil {
				return nil, err
			}
		}
	}
	if known != "" {
		if e.known, err = knownOperations(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		e.inFull = make(map[string]bool, len(e.known))
		for hash, text := range e.known {
			e.inFull[text] = true
			if _, bad := e.parse(text); bad != nil {
				return nil, fmt.Errorf("known: operation %s: %s", hash, bad.Message)
			}
		}
	}
	return e, nil
}

// directives are IBM's two, where a schema uses them without defining them.
func directives(schema string) *ast.Source {
	text := ""
	if !strings.Contains(schema, "directive @cost") {
		text += "directive @cost(weight: String!) on ARGUMENT_DEFINITION | ENUM | FIELD_DEFINITION | INPUT_FIELD_DEFINITION | OBJECT | SCALAR\n"
	}
	if !strings.Contains(schema, "directive @listSize") {
		text += "directive @listSize(assumedSize: Int, slicingArguments: [String!], sizedFields: [String!], requireOneSlicingArgument: Boolean = true) on FIELD_DEFINITION\n"
	}
	return &ast.Source{Name: "directives", Input: text, BuiltIn: true}
}

// inSchema tells what is wrong with a field's name.
func (e *Endpoint) inSchema(name string) error {
	typ, field, _ := strings.Cut(name, ".")
	def := e.schema.Types[typ]
	switch {
	case typ == queryType && e.schema.Query != nil:
		def = e.schema.Query
	case typ == mutationType:
		def = e.schema.Mutation
	}
	if def == nil || def.Fields.ForName(field) == nil {
		return fmt.Errorf("field: the schema has no %s", name)
	}
	return nil
}

func effect(e balancer.Idempotency) string {
	return [...]string{"safe", "keyed", "unsafe"}[e]
}

// String tells in a line how operations are told apart.
func (e *Endpoint) String() string {
	text := fmt.Sprintf("GraphQL: queries %s, mutations %s", e.classes[Query].Name, e.classes[Mutation].Name)
	if n := len(e.fields); n > 0 {
		text += fmt.Sprintf(", %d root fields of their own", n)
	}
	if e.schema != nil {
		text += ", held against a schema"
	}
	switch e.o.Persist {
	case "known":
		text += fmt.Sprintf(", %d known operations alone", len(e.known))
	case "automatic":
		text += ", persisted queries"
	}
	return text
}

// MaxDeadline is the longest deadline of a class that the endpoint may decide on.
func (e *Endpoint) MaxDeadline() time.Duration { return e.longest }

// Limits are the endpoint's.
func (e *Endpoint) Limits() *Limits { return &e.o.Limits }

// Parallel is how many entries of a batch are sent at once.
func (e *Endpoint) Parallel() int { return e.o.Parallel }

// Decision is what an operation is.
type Decision struct {
	Kind     OperationKind
	Class    *Class
	Key      string        // of a keyed class
	Cost     float64       // the static estimate
	CostHint time.Duration // what such an operation is expected to take; 0: nothing is known yet
	Body     []byte        // what goes on to a node, by POST
	Name     string        // the operation's; it is the client's word

	signed string
}

type valueOf = map[string]jsontext.Value

// Decide says what an operation is, or why it is not taken. get: it was asked for by GET, which is for queries. header is the
// request's, for keys that stand there; nil: an entry of a batch, whose header says nothing of it alone.
func (e *Endpoint) Decide(p *Params, get bool, header http.Header) (Decision, *Problem) {
	text, trusted, bad := e.text(p)
	if bad != nil {
		return Decision{}, bad
	}
	doc, ok := e.docs.get(text)
	if !ok {
		if doc, bad = e.parse(text); bad != nil {
			return Decision{}, bad
		}
		e.docs.put(text, doc, doc.size)
	}
	op, bad := doc.pick(p.Operation)
	if bad != nil {
		return Decision{}, bad
	}
	d := Decision{Name: op.name, signed: op.signed}
	switch op.kind {
	case ast.Subscription:
		return d, problem(CodeSubscription, "subscriptions are not served here")
	case ast.Mutation:
		if d.Kind = Mutation; get {
			return d, &Problem{Status: 405, Code: CodeRequest, Message: "a mutation is asked for with POST", Allow: "POST"}
		}
	}
	var vars valueOf
	lazily := func() valueOf {
		if vars == nil {
			vars = variables(p.Variables)
		}
		return vars
	}
	d.Class, d.Key = e.class(op, d.Kind, lazily, header)
	if named := e.named[op.name]; named != nil && op.name != "" && (trusted || named.Idempotency >= d.Class.Idempotency) &&
		(d.Kind == Query || named.Idempotency == balancer.NonIdempotent) {
		d.Class, d.Key = named, ""
	}
	if d.Cost = op.fixed; d.Cost < 0 {
		d.Cost = (&estimator{vars: lazily(), defs: op.defs, memo: map[*costNode]float64{}}).group(op.cost, nil, 1)
	}
	if most := e.o.Limits.Cost; most > 0 && d.Cost > most {
		return d, problem(CodeLimit, "the operation's cost is %.4g, %.4g at most", d.Cost, most)
	}
	e.mu.Lock()
	d.CostHint = e.learnt.hint(op.signed, d.Cost)
	e.mu.Unlock()
	var err error
	if d.Body, err = p.encode(text); err != nil {
		return d, malformed("the query can't be written: %v", err)
	}
	return d, nil
}

// class is an operation's, by its kind and its root fields.
func (e *Endpoint) class(op *operation, kind OperationKind, vars func() valueOf, header http.Header) (*Class, string) {
	typ := rootType(op.kind)
	all := make([]*Class, 0, 4)
	var keyed *Class
	key, byHeader := "", 0
	for i := range op.roots {
		r := &op.roots[i]
		rule := e.fields[typ+"."+r.name]
		switch {
		case r.name == "__typename" && len(op.roots) > 1: // it does nothing
		case rule == nil:
			all = append(all, e.classes[kind])
		case rule.key == "":
			all = append(all, rule.class)
		default:
			k, ok := "", false
			if name, is := strings.CutPrefix(rule.key, headerKey); is {
				byHeader++ // one key can't be that of two fields: a node would drop the second as the first one's repeat
				if v := header.Values(name); len(v) == 1 && byHeader == 1 {
					k, ok = v[0], v[0] != "" && len(v[0]) <= maxKey
				}
			} else {
				k, ok = r.key(rule.key, vars, op.defs)
			}
			if !ok || keyed != nil && keyed != rule.class { // of two classes no group of nodes drops the repeats of both
				all = append(all, e.classes[kind])
				break
			}
			keyed, key = rule.class, k
			all = append(all, rule.class)
		}
	}
	if len(all) == 0 {
		return e.classes[kind], ""
	}
	c := strictest(all)
	if c.Idempotency != balancer.IdempotentWithKey {
		key = ""
	}
	return c, key
}

// RecordDuration tells how long an operation that was answered took.
func (e *Endpoint) RecordDuration(d *Decision, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learnt.add(d.signed, d.Cost, took)
}

// text is the document that is meant, and whether it is a known one.
func (e *Endpoint) text(p *Params) (text string, trusted bool, bad *Problem) {
	switch {
	case p.BadHash:
		return "", false, problem(CodeRequest, "persistedQuery has version 1 and a sha256Hash")
	case p.Query == "" && p.Hash == "":
		return "", false, malformed("there is no query")
	}
	switch e.o.Persist {
	case "known":
		if p.Query == "" {
			if text, ok := e.known[p.Hash]; ok {
				return text, true, nil
			}
		} else if e.inFull[p.Query] && (p.Hash == "" || e.known[p.Hash] == p.Query) {
			return p.Query, true, nil
		}
		return "", false, problem(CodeUnknown, "only known operations are served here")
	case "automatic":
		if p.Hash == "" {
			return p.Query, false, nil
		}
		if p.Query == "" {
			if text, ok := e.persist.get(p.Hash); ok {
				return text, false, nil
			}
			return "", false, problem(CodeNotPersisted, "PersistedQueryNotFound")
		}
		sum := sha256.Sum256([]byte(p.Query))
		if hex.EncodeToString(sum[:]) != p.Hash {
			return "", false, problem(CodeRequest, "provided sha does not match query")
		}
		e.persist.put(p.Hash, p.Query, len(p.Query)+len(p.Hash)+perEntry)
		return p.Query, false, nil
	}
	if p.Query == "" {
		return "", false, problem(CodeNoPersisted, "PersistedQueryNotSupported")
	}
	return p.Query, false, nil
}

// knownOperations reads a file of them: hash to text, or a manifest whose operations have id and body. A SHA-256 that does
// not fit its text is a mistake; other ids are taken as they are.
func knownOperations(text string) (map[string]string, error) {
	var manifest struct {
		Operations []struct {
			ID   string `json:"id"`
			Body string `json:"body"`
		} `json:"operations"`
	}
	known := map[string]string{}
	if json.Unmarshal([]byte(text), &manifest) == nil && manifest.Operations != nil {
		for _, op := range manifest.Operations {
			known[strings.ToLower(op.ID)] = op.Body
		}
	} else {
		var plain map[string]string
		if err := json.Unmarshal([]byte(text), &plain); err != nil {
			return nil, err
		}
		for id, body := range plain {
			known[strings.ToLower(id)] = body
		}
	}
	if len(known) == 0 {
		return nil, fmt.Errorf("there are no operations")
	}
	for id, body := range known {
		if raw, err := hex.DecodeString(id); err == nil && len(raw) == sha256.Size {
			if sum := sha256.Sum256([]byte(body)); string(raw) != string(sum[:]) {
				return nil, fmt.Errorf("operation %s: its text has another SHA-256", id)
			}
		}
	}
	return known, nil
}

// scalar reads a part of a JSON value as a key.
func scalar(v jsontext.Value, path string) (string, bool) {
	for path != "" {
		var part string
		part, path, _ = strings.Cut(path, ".")
		next, ok := variables(v)[part]
		if !ok {
			return "", false
		}
		v = next
	}
	switch v.Kind() {
	case '"':
		b, err := jsontext.AppendUnquote(nil, v)
		return string(b), err == nil && len(b) > 0 && len(b) <= maxKey
	case '0':
		return string(v), len(v) <= maxKey
	}
	return "", false
}

func itoa(n int) string { return strconv.Itoa(n) }
