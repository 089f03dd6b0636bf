package graphql

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vektah/gqlparser/v2"
	"github.com/vektah/gqlparser/v2/ast"

	"orchiddrift/balancer"
)

// Class is a service's.
type Class = balancer.Class

// Endpoint decides for one GraphQL endpoint. It is safe for concurrent use. What it holds is bounded: parsed documents and
// their texts by Options.Cache, persisted texts by Options.Stored, what operations took by maxOperationKinds.
type Endpoint struct {
	options          Options
	schema           *ast.Schema // nil: there is none
	classes          [2]*Class   // by Kind
	fieldRules       map[string]*fieldRule
	operationClasses map[string]*Class
	weights          map[string]float64
	knownTexts       map[string]string // by hash; nil: any operation may pass
	knownInFull      map[string]bool   // the known texts
	documents        *lru[*document]
	persistedTexts   *lru[string]
	mu               sync.Mutex // of learnt
	durations        *durationEstimates
	maxDeadline      time.Duration // deadline of any class that it may decide on
}

type fieldRule struct {
	class *Class
	key   string // of a keyed class: the argument
}

// New makes an Endpoint. class finds a service's class by its name, nil: it has none; schema and known are the files' texts,
// empty: there are none. Its errors are about what stands in them and in o, one at a time.
func New(o Options, class func(string) *Class, schema, known string) (*Endpoint, error) {
	e := &Endpoint{options: o, fieldRules: map[string]*fieldRule{}, operationClasses: map[string]*Class{}, weights: map[string]float64{},
		documents: newLRU[*document](o.Cache.Bytes()), persistedTexts: newLRU[string](o.Stored.Bytes()), durations: newDurationEstimates()}
	find := func(name, what string) (*Class, error) {
		c := class(name)
		if c == nil {
			return nil, fmt.Errorf("%s: the service has no class %q", what, name)
		}
		e.maxDeadline = max(e.maxDeadline, c.Deadline)
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
		return nil, fmt.Errorf("mutation: class %q is %s: mutations in general must not run twice", o.Mutation, idempotencyName(e.classes[Mutation].Idempotency))
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
		e.fieldRules[f.Name] = &fieldRule{c, f.Key}
	}
	for _, n := range o.Named {
		c, err := find(n.Class, "operation "+n.Name)
		if err != nil {
			return nil, err
		}
		if c.Idempotency == balancer.IdempotentWithKey {
			return nil, fmt.Errorf("operation %s: a keyed class needs a root field's key", n.Name)
		}
		e.operationClasses[n.Name] = c
	}
	if schema != "" {
		if e.schema, err = gqlparser.LoadSchema(costDirectives(schema), &ast.Source{Name: o.Schema, Input: schema}); err != nil {
			return nil, fmt.Errorf("schema: %s", errorMessage(err))
		}
		for _, f := range o.Fields {
			if err := e.checkInSchema(f.Name); err != nil {
				return nil, err
			}
		}
	}
	if known != "" {
		if e.knownTexts, err = knownOperations(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		e.knownInFull = make(map[string]bool, len(e.knownTexts))
		for hash, text := range e.knownTexts {
			e.knownInFull[text] = true
			if _, bad := e.parse(text); bad != nil {
				return nil, fmt.Errorf("known: operation %s: %s", hash, bad.Message)
			}
		}
	}
	return e, nil
}

// costDirectives are IBM's two, where a schema uses them without defining them.
func costDirectives(schema string) *ast.Source {
	text := ""
	if !strings.Contains(schema, "directive @cost") {
		text += "directive @cost(weight: String!) on ARGUMENT_DEFINITION | ENUM | FIELD_DEFINITION | INPUT_FIELD_DEFINITION | OBJECT | SCALAR\n"
	}
	if !strings.Contains(schema, "directive @listSize") {
		text += "directive @listSize(assumedSize: Int, slicingArguments: [String!], sizedFields: [String!], requireOneSlicingArgument: Boolean = true) on FIELD_DEFINITION\n"
	}
	return &ast.Source{Name: "directives", Input: text, BuiltIn: true}
}

// checkInSchema tells what is wrong with a field's name.
func (e *Endpoint) checkInSchema(name string) error {
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

func idempotencyName(e balancer.Idempotency) string {
	return [...]string{"safe", "keyed", "unsafe"}[e]
}

// String tells in a line how operations are told apart.
func (e *Endpoint) String() string {
	text := fmt.Sprintf("GraphQL: queries %s, mutations %s", e.classes[Query].Name, e.classes[Mutation].Name)
	if n := len(e.fieldRules); n > 0 {
		text += fmt.Sprintf(", %d root fields of their own", n)
	}
	if e.schema != nil {
		text += ", held against a schema"
	}
	switch e.options.Persist {
	case "known":
		text += fmt.Sprintf(", %d known operations alone", len(e.knownTexts))
	case "automatic":
		text += ", persisted queries"
	}
	return text
}

// MaxDeadline is the longest deadline of a class that the endpoint may decide on.
func (e *Endpoint) MaxDeadline() time.Duration { return e.maxDeadline }

// Limits are the endpoint's.
func (e *Endpoint) Limits() *Limits { return &e.options.Limits }

// BatchParallelism is how many entries of a batch are sent at once.
func (e *Endpoint) BatchParallelism() int { return e.options.Parallel }

func itoa(n int) string { return strconv.Itoa(n) }
