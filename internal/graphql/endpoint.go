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

// Class is a request class of a service.
type Class = balancer.Class

// Endpoint classifies the operations and answers of one GraphQL endpoint. It is safe for concurrent use. Its memory is
// bounded: parsed documents and their texts by Options.CacheBytes, persisted texts by Options.PersistedBytes, and the
// durations of operations by maxOperationKinds.
type Endpoint struct {
	options          Options
	schema           *ast.Schema // nil if the endpoint has no schema
	classes          [2]*Class   // default classes by OperationKind
	fieldRules       map[string]*fieldRule
	operationClasses map[string]*Class
	weights          map[string]float64
	knownTexts       map[string]string // by hash or id; nil if any operation is accepted
	knownInFull      map[string]bool   // the texts of the known operations
	documents        *lru[*document]
	persistedTexts   *lru[string]
	mu               sync.Mutex // guards durations
	durations        *durationEstimates
	maxDeadline      time.Duration // the longest deadline of a class that Decide may return
}

type fieldRule struct {
	class *Class
	key   string // for a keyed class: the argument or header that holds the key
}

// New creates an Endpoint. The parameter class returns the service's class with a given name, or nil. The parameters schema and known are
// the contents of the files in the options, empty if no file is configured. The error describes the first mistake in the files or the
// options.
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

// classFinder returns the service's class with a given name, or an error that names the setting that uses it.
type classFinder func(name, usedBy string) (*Class, error)

// setDefaultClasses sets the classes of operations whose root fields have no class of their own.
func (e *Endpoint) setDefaultClasses(find classFinder) error {
	var err error
	if e.classes[Query], err = find(e.options.Query, "query"); err != nil {
		return err
	}
	if e.classes[Mutation], err = find(e.options.Mutation, "mutation"); err != nil {
		return err
	}
	if idempotency := e.classes[Mutation].Idempotency; idempotency != balancer.NonIdempotent { // the class applies to mutations without a key
		return fmt.Errorf("mutation: class %q is %s; the default class of mutations has to be unsafe: they must not run twice", e.options.Mutation, idempotencyName(idempotency))
	}
	return nil
}

// addField adds the weight of a field and, for a root field, its class and key.
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
		return fmt.Errorf("%s: class %q is keyed, and the field names no key", f.Name, f.Class)
	case class.Idempotency != balancer.IdempotentWithKey && f.Key != "":
		return fmt.Errorf("%s: the field names a key, and class %q is not keyed", f.Name, f.Class)
	case class.Idempotency == balancer.Idempotent && strings.HasPrefix(f.Name, mutationType+"."):
		return fmt.Errorf("%s: requests of class %q may run any number of times, and a mutation must not run twice", f.Name, f.Class)
	}
	e.fieldRules[f.Name] = &fieldRule{class, f.Key}
	return nil
}

// addOperation adds the class of operations with a given name.
func (e *Endpoint) addOperation(named Operation, find classFinder) error {
	class, err := find(named.Class, "operation "+named.Name)
	if err != nil {
		return err
	}
	if class.Idempotency == balancer.IdempotentWithKey {
		return fmt.Errorf("operation %s: a keyed class can only be set on a root field, which names its key", named.Name)
	}
	e.operationClasses[named.Name] = class
	return nil
}

// loadSchema parses a schema, and checks that it has the fields of the options. An empty text means no schema.
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

// loadKnown reads the known operations, and checks that each is accepted. An empty text means that any operation is accepted.
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

// costDirectives returns the definitions of the directives of IBM's cost specification that a schema does not define itself.
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

// checkInSchema returns an error if the schema does not have the field TYPE.FIELD.
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
		return fmt.Errorf("field: the schema has no field %s", name)
	}
	return nil
}

func idempotencyName(e balancer.Idempotency) string {
	return [...]string{"safe", "keyed", "unsafe"}[e]
}

// String returns a one-line description of how operations are classified.
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

// MaxDeadline returns the longest deadline of any class that Decide may return.
func (e *Endpoint) MaxDeadline() time.Duration { return e.maxDeadline }

// Limits returns the endpoint's limits on requests.
func (e *Endpoint) Limits() *Limits { return &e.options.Limits }

// BatchParallelism returns how many entries of a batch may be in flight at once.
func (e *Endpoint) BatchParallelism() int { return e.options.BatchParallelism }

func itoa(n int) string { return strconv.Itoa(n) }
