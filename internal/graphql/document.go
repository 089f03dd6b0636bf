package graphql

import (
	"errors"
	"slices"
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/gqlerror"
	"github.com/vektah/gqlparser/v2/parser"
	"github.com/vektah/gqlparser/v2/validator"
	"github.com/vektah/gqlparser/v2/validator/core"
	"github.com/vektah/gqlparser/v2/validator/rules"
)

// OperationKind tells queries from mutations.
type OperationKind int

// The kinds of operations that are forwarded.
const (
	Query OperationKind = iota
	Mutation
)

// document is a GraphQL document that has been parsed, checked against the limits and, if there is a schema, validated. It is
// immutable, since concurrent requests share it.
type document struct {
	operations []*operation
	size       int // approximate memory, in bytes
}

// operation is one operation of a document.
type operation struct {
	name                string
	kind                ast.Operation
	roots               []rootField // including those in fragments and under @skip or @include, which may depend on variables
	signature           string      // kind and root fields; durations are recorded by signature
	costTree            []*costNode
	fixedCost           float64 // the cost; costUnknown if it depends on variables
	variableDefinitions ast.VariableDefinitionList
}

// rootField is a root field with its arguments.
type rootField struct {
	name string
	args ast.ArgumentList
}

// The longest parts of a document that errors quote, in bytes.
const (
	maxMessageBytes = 300 // of a message of the parser or validator
	maxQuotedBytes  = 100 // of an operation's name
)

// maxReportedProblems is the largest number of validation errors in one answer.
const maxReportedProblems = 3

// parse parses a document, checks it against the limits and validates it. The limits bound the work: tokens are counted while the text is
// read; depth, fields, aliases and directives are counted before the validation, with one visit to each fragment.
func (e *Endpoint) parse(text string) (*document, *Problem) {
	doc, err := parser.ParseQueryWithTokenLimit(&ast.Source{Input: text}, e.options.Limits.Tokens)
	if err != nil {
		code := CodeParse
		if strings.Contains(err.Error(), "exceeded token limit") { // the parser has no error type for this
			code = CodeLimit
		}
		return nil, newProblem(code, "%s", errorMessage(err))
	}
	if len(doc.Operations) == 0 {
		return nil, newProblem(CodeValidation, "the document has no operation")
	}
	if problem := checkExtent(doc, &e.options.Limits); problem != nil {
		return nil, problem
	}
	if problem := e.validate(doc); problem != nil {
		return nil, problem
	}
	d := &document{size: bytesPerDocument + len(text)*bytesPerTextByte}
	costs := &costBuilder{options: &e.options, schema: e.schema, weights: e.weights, doc: doc, fragments: map[string]*costNode{}}
	for _, definition := range doc.Operations {
		op, problem := newOperation(doc, definition, costs, e.options.Limits.Roots)
		if problem != nil {
			return nil, problem
		}
		d.operations = append(d.operations, op)
	}
	return d, nil
}

// validate checks a document against the schema, if there is one.
func (e *Endpoint) validate(doc *ast.QueryDocument) *Problem {
	if e.schema == nil {
		return nil
	}
	violations := validator.ValidateWithRules(e.schema, doc, validation)
	if len(violations) == 0 {
		return nil
	}
	var texts []string
	for _, err := range violations[:min(len(violations), maxReportedProblems)] {
		texts = append(texts, errorMessage(err))
	}
	return newProblem(CodeValidation, "%s", strings.Join(texts, "; "))
}

// costUnknown is the fixedCost of an operation whose cost depends on variables.
const costUnknown = -1

func newOperation(doc *ast.QueryDocument, definition *ast.OperationDefinition, costs *costBuilder, maxRoots int) (*operation, *Problem) {
	op := &operation{name: definition.Name, kind: definition.Operation, variableDefinitions: definition.VariableDefinitions, fixedCost: costUnknown}
	collectRootFields(doc, definition.SelectionSet, map[string]bool{}, &op.roots)
	if len(op.roots) > maxRoots {
		return nil, newProblem(CodeLimit, "%d root fields, %d at most", len(op.roots), maxRoots)
	}
	names := make([]string, len(op.roots))
	for i, field := range op.roots {
		names[i] = field.name
	}
	slices.Sort(names)
	op.signature = string(op.kind) + " " + strings.Join(slices.Compact(names), " ")
	op.costTree = costs.selection(definition.SelectionSet, rootType(definition.Operation))
	if !dependsOnVariables(op.costTree, map[*costNode]bool{}) {
		op.fixedCost = (&costEstimator{memo: map[*costNode]float64{}}).sum(op.costTree, nil, 1)
	}
	return op, nil
}

// The estimated memory of a parsed document, in bytes: a fixed part, and a part for each byte of its text.
const (
	bytesPerDocument = 2048
	bytesPerTextByte = 100
)

// validation has all validation rules of the specification but one. The rule that fields of one name can be merged concerns only the
// shape of the answer and is the most expensive rule, so its check is left to the upstream.
//
// Errors contain no suggestions: the search for similar names takes milliseconds for a document with many wrong names.
var validation = func() *rules.Rules {
	r := rules.NewDefaultRules()
	r.RemoveRule(rules.OverlappingFieldsCanBeMergedRule.Name)
	for _, pair := range []struct{ original, replacement core.Rule }{
		{rules.FieldsOnCorrectTypeRule, rules.FieldsOnCorrectTypeRuleWithoutSuggestions},
		{rules.KnownArgumentNamesRule, rules.KnownArgumentNamesRuleWithoutSuggestions},
		{rules.KnownTypeNamesRule, rules.KnownTypeNamesRuleWithoutSuggestions},
		{rules.ScalarLeafsRule, rules.ScalarLeafsRuleWithoutSuggestions},
		{rules.ValuesOfCorrectTypeRule, rules.ValuesOfCorrectTypeRuleWithoutSuggestions},
	} {
		r.ReplaceRule(pair.original.Name, pair.replacement.RuleFunc)
	}
	return r
}()

// errorMessage returns the text of an error, with its position in the document if there is one.
func errorMessage(err error) string {
	var g *gqlerror.Error
	if !errors.As(err, &g) {
		return err.Error()
	}
	text := g.Message
	if len(text) > maxMessageBytes {
		text = strings.ToValidUTF8(text[:maxMessageBytes], "") + "..."
	}
	if len(g.Locations) > 0 {
		text += " (line " + itoa(g.Locations[0].Line) + ", column " + itoa(g.Locations[0].Column) + ")"
	}
	return text
}

func rootType(op ast.Operation) string {
	if op == ast.Mutation {
		return mutationType
	}
	return queryType
}

// collectRootFields appends the root fields of a selection. It visits each fragment once.
func collectRootFields(doc *ast.QueryDocument, set ast.SelectionSet, seen map[string]bool, into *[]rootField) {
	for _, s := range set {
		switch s := s.(type) {
		case *ast.Field:
			*into = append(*into, rootField{s.Name, s.Arguments})
		case *ast.InlineFragment:
			collectRootFields(doc, s.SelectionSet, seen, into)
		case *ast.FragmentSpread:
			if f := doc.Fragments.ForName(s.Name); f != nil && !seen[s.Name] {
				seen[s.Name] = true
				collectRootFields(doc, f.SelectionSet, seen, into)
			}
		}
	}
}

// dependsOnVariables reports whether the size of a list depends on a variable.
func dependsOnVariables(nodes []*costNode, seen map[*costNode]bool) bool {
	for _, n := range nodes {
		if n.spread != nil {
			if !seen[n.spread] {
				seen[n.spread] = true
				if dependsOnVariables(n.spread.children, seen) {
					return true
				}
			}
			continue
		}
		if slices.ContainsFunc(n.slicingValues, func(v *ast.Value) bool { return v.Kind == ast.Variable }) || dependsOnVariables(n.children, seen) {
			return true
		}
	}
	return false
}

// operation returns the operation that an upstream runs for an operationName, which may be empty.
func (d *document) operation(name string) (*operation, *Problem) {
	if name == "" {
		if len(d.operations) > 1 {
			return nil, newProblem(CodeOperation, "the document has %d operations: operationName says which is meant", len(d.operations))
		}
		return d.operations[0], nil
	}
	for _, op := range d.operations {
		if op.name == name {
			return op, nil
		}
	}
	return nil, newProblem(CodeOperation, "the document has no operation %q", name[:min(len(name), maxQuotedBytes)])
}
