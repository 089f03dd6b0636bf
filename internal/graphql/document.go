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

// OperationKind is an operation's.
type OperationKind int

// The kinds that are sent on.
const (
	Query OperationKind = iota
	Mutation
)

// document is a text that has been parsed, held against the limits and, where there is a schema, validated. It is
// immutable: requests at the same time share it.
type document struct {
	operations []*operation
	size       int // bytes that it takes, about
}

// operation is one of a document's.
type operation struct {
	name                string
	kind                ast.Operation
	roots               []rootField // of fragments too, whatever @skip and @include say: variables decide those
	spread              int         // fields, fragments spread out
	signature           string      // the same for operations of the same root fields: what is learnt of one holds for the other
	costTree            []*costNode
	fixedCost           float64 // the cost, where no variable changes it; below 0: some does
	variableDefinitions ast.VariableDefinitionList
}

// rootField is a root field.
type rootField struct {
	name string
	args ast.ArgumentList
}

// maxReportedProblems is how many mistakes of a document are told.
const maxReportedProblems = 3

// parse reads a text. What it costs is bounded by the limits: tokens are counted as they are read; depth, fields,
// aliases and directives are counted, with each fragment looked at once, before the document is validated.
func (e *Endpoint) parse(text string) (*document, *Problem) {
	l := &e.options.Limits
	doc, err := parser.ParseQueryWithTokenLimit(&ast.Source{Input: text}, l.Tokens)
	if err != nil {
		code := CodeParse
		if strings.Contains(err.Error(), "exceeded token limit") {
			code = CodeLimit
		}
		return nil, newProblem(code, "%s", errorMessage(err))
	}
	if len(doc.Operations) == 0 {
		return nil, newProblem(CodeValidation, "the document has no operation")
	}
	m := &extentMeasurer{doc: doc, limits: l, fragments: map[string]*extent{}}
	if bad := m.checkNames(); bad != nil {
		return nil, bad
	}
	extents := make([]extent, len(doc.Operations))
	for i, op := range doc.Operations {
		m.directives += len(op.Directives)
		if extents[i], err = m.selectionSet(op.SelectionSet); err != nil {
			return nil, newProblem(CodeValidation, "%v", err)
		}
	}
	for _, f := range doc.Fragments { // those that no operation has, too
		if _, err := m.fragment(f.Name); err != nil {
			return nil, newProblem(CodeValidation, "%v", err)
		}
	}
	for _, x := range extents {
		if bad := m.checkLimits(x); bad != nil {
			return nil, bad
		}
	}
	if e.schema != nil {
		if errs := validator.ValidateWithRules(e.schema, doc, validation); len(errs) > 0 {
			texts := []string{}
			for _, err := range errs[:min(len(errs), maxReportedProblems)] {
				texts = append(texts, errorMessage(err))
			}
			return nil, newProblem(CodeValidation, "%s", strings.Join(texts, "; "))
		}
	}
	d := &document{size: bytesPerDocument + len(text)*bytesPerTextByte}
	c := &costBuilder{options: &e.options, schema: e.schema, weights: e.weights, doc: doc, fragments: map[string]*costNode{}}
	for i, def := range doc.Operations {
		op := &operation{name: def.Name, kind: def.Operation, spread: extents[i].fields, variableDefinitions: def.VariableDefinitions, fixedCost: -1}
		seen := map[string]bool{}
		collectRootFields(doc, def.SelectionSet, seen, &op.roots)
		if len(op.roots) > l.Roots {
			return nil, newProblem(CodeLimit, "%d root fields, %d at most", len(op.roots), l.Roots)
		}
		names := make([]string, len(op.roots))
		for i, r := range op.roots {
			names[i] = r.name
		}
		slices.Sort(names)
		op.signature = string(op.kind) + " " + strings.Join(slices.Compact(names), " ")
		op.costTree = c.selection(def.SelectionSet, rootType(def.Operation))
		if !dependsOnVariables(op.costTree, map[*costNode]bool{}) {
			op.fixedCost = (&costEstimator{memo: map[*costNode]float64{}}).sum(op.costTree, nil, 1)
		}
		d.operations = append(d.operations, op)
	}
	return d, nil
}

// What a parsed document takes beside its text, measured: about 100 bytes of it for one of the text.
const (
	bytesPerDocument = 2048
	bytesPerTextByte = 100
)

// validation is all of the specification's rules but one: whether fields of one name can be merged is a matter of the
// answer's shape, costs most, and is the node's to say.
//
// Nor do mistakes come with suggestions: to look for words alike costs a document of wrong ones milliseconds.
var validation = func() *rules.Rules {
	r := rules.NewDefaultRules()
	r.RemoveRule(rules.OverlappingFieldsCanBeMergedRule.Name)
	for _, plain := range []struct{ was, is core.Rule }{
		{rules.FieldsOnCorrectTypeRule, rules.FieldsOnCorrectTypeRuleWithoutSuggestions},
		{rules.KnownArgumentNamesRule, rules.KnownArgumentNamesRuleWithoutSuggestions},
		{rules.KnownTypeNamesRule, rules.KnownTypeNamesRuleWithoutSuggestions},
		{rules.ScalarLeafsRule, rules.ScalarLeafsRuleWithoutSuggestions},
		{rules.ValuesOfCorrectTypeRule, rules.ValuesOfCorrectTypeRuleWithoutSuggestions},
	} {
		r.ReplaceRule(plain.was.Name, plain.is.RuleFunc)
	}
	return r
}()

// errorMessage is an error's text, with its place.
func errorMessage(err error) string {
	var g *gqlerror.Error
	if !errors.As(err, &g) {
		return err.Error()
	}
	text := g.Message
	if len(text) > 300 {
		text = strings.ToValidUTF8(text[:300], "") + "..."
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

// collectRootFields adds the root fields of a selection, each fragment once.
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

// dependsOnVariables tells whether some size depends on a variable.
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
		if slices.ContainsFunc(n.slicing, func(v *ast.Value) bool { return v.Kind == ast.Variable }) || dependsOnVariables(n.children, seen) {
			return true
		}
	}
	return false
}

// operation is the operation that a node runs.
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
	return nil, newProblem(CodeOperation, "the document has no operation %q", name[:min(len(name), 100)])
}
