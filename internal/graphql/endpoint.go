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
// their texts by Options.CacheBytes, persisted texts by Options.PersistedBytes, what operations took by maxOperationKinds.
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

// New makes an Endpoint. class returns the service's class of a name, or nil; schema and known are the texts of the files, empty if there
// are none. An error is about the first mistake in them or in the options.
func New(options Options, class func(string) *Class, schema, known string) (*Endpoint, error) {
	e := &Endpoint{
		options:          options,
		fieldRules:       map[string]*fieldRule{},
		operationClasses: map[string]*Class{},
		weights:          map[string]float64{},
		documents:        newLRU[*document](options.CacheBytes.Bytes()),
		persistedTexts:   newLRU[string](options.PersistedBytes.Bytes()),
		durations:        newDurationEstimates(),
	}
	find := func(name, usedBy string) (*Class, error) {
		c := class(name)
		if c == nil {
			return nil, fmt.Errorf("%s: the service has no class %q", usedBy, name)
		}
		e.maxDeadline = max(e.maxDeadline, c.Deadline)
		return c, nil
	}
	if err := e.setDefaultClasses(find); err != nil {
		return nil, err
	}
	for i := range options.Fields {
		if err := e.addField(&options.Fields[i], find); err != nil {
			return nil, err
		}
	}
	for _, named := range options.Operations {
		if err := e.addOperation(named, find); err != nil {
			return nil, err
		}
	}
	if err := e.loadSchema(schema); err != nil {
		return nil, err
	}
	if err := e.loadKnown(known); err != nil {
		return nil, err
	}
	return e, nil
}

// classFinder returns the service's class of a name, or an error that says what uses it.
type classFinder func(name, usedBy string) (*Class, error)

// setDefaultClasses sets the classes of operations whose root fields have none.
func (e *Endpoint) setDefaultClasses(find classFinder) error {
	var err error
	if e.classes[Query], err = find(e.options.Query, "query"); err != nil {
		return err
	}
	if e.classes[Mutation], err = find(e.options.Mutation, "mutation"); err != nil {
		return err
	}
	if idempotency := e.classes[Mutation].Idempotency; idempotency != balancer.NonIdempotent { // it applies to mutations without a key
		return fmt.Errorf("mutation: class %q is %s: mutations in general must not run twice", e.options.Mutation, idempotencyName(idempotency))
	}
	return nil
}

// addField adds the weight of a field and, of a root field, its class and key.
func (e *Endpoint) addField(f *Field, find classFinder) error {
	if f.Weight >= 0 {
		e.weights[f.Name] = f.Weight
	}
	if f.Class == "" {
		return nil
	}
	class, err := find(f.Class, f.Name)
	switch {
	case err != nil:
		return err
	case class.Idempotency == balancer.IdempotentWithKey && f.Key == "":
		return fmt.Errorf("%s: class %q is keyed, and no key is named", f.Name, f.Class)
	case class.Idempotency != balancer.IdempotentWithKey && f.Key != "":
		return fmt.Errorf("%s: class %q is not keyed", f.Name, f.Class)
	case class.Idempotency == balancer.Idempotent && strings.HasPrefix(f.Name, mutationType+"."):
		return fmt.Errorf("%s: class %q may run any number of times, and a mutation must not", f.Name, f.Class)
	}
	e.fieldRules[f.Name] = &fieldRule{class, f.Key}
	return nil
}

// addOperation adds the class of operations of a name.
func (e *Endpoint) addOperation(named Operation, find classFinder) error {
	class, err := find(named.Class, "operation "+named.Name)
	if err != nil {
		return err
	}
	if class.Idempotency == balancer.IdempotentWithKey {
		return fmt.Errorf("operation %s: a keyed class needs a root field's key", named.Name)
	}
	e.operationClasses[named.Name] = class
	return nil
}

// loadSchema parses a schema, and checks that it has the fields of the options; empty: there is none.
func (e *Endpoint) loadSchema(text string) error {
	if text == "" {
		return nil
	}
	schema, err := gqlparser.LoadSchema(costDirectives(text), &ast.Source{Name: e.options.SchemaFile, Input: text})
	if err != nil {
		return fmt.Errorf("schema: %s", errorMessage(err))
	}
	e.schema = schema
	for _, f := range e.options.Fields {
		if err := e.checkInSchema(f.Name); err != nil {
			return err
		}
	}
	return nil
}

// loadKnown reads the known operations, and checks that each is accepted; empty: there are none, and any operation may pass.
func (e *Endpoint) loadKnown(text string) error {
	if text == "" {
		return nil
	}
	known, err := knownOperations(text)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	e.knownTexts, e.knownInFull = known, make(map[string]bool, len(known))
	for hash, operation := range known {
		e.knownInFull[operation] = true
		if _, problem := e.parse(operation); problem != nil {
			return fmt.Errorf("known: operation %s: %s", hash, problem.Message)
		}
	}
	return nil
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

// String returns in one line how operations are classified.
func (e *Endpoint) String() string {
	text := fmt.Sprintf("GraphQL: queries %s, mutations %s", e.classes[Query].Name, e.classes[Mutation].Name)
	if n := len(e.fieldRules); n > 0 {
		text += fmt.Sprintf(", %d root fields of their own", n)
	}
	if e.schema != nil {
		text += ", held against a schema"
	}
	switch e.options.PersistedQueries {
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
func (e *Endpoint) BatchParallelism() int { return e.options.BatchParallelism }

func itoa(n int) string { return strconv.Itoa(n) }
