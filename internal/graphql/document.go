package graphql

import (
	"cmp"
	"errors"
	"math"
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
	ops  []*operation
	size int // bytes that it takes, about
}

// operation is one of a document's.
type operation struct {
	name   string
	kind   ast.Operation
	roots  []root // of fragments too, whatever @skip and @include say: variables decide those
	spread int    // fields, fragments spread out
	signed string // the same for operations of the same root fields: what is learnt of one holds for the other
	cost   []*costNode
	fixed  float64 // the cost, where no variable changes it; below 0: some does
	defs   ast.VariableDefinitionList
}

// root is a root field.
type root struct {
	name string
	args ast.ArgumentList
}

// mostProblems is how many mistakes of a document are told.
const mostProblems = 3

// parse reads a text. What it costs is bounded by the limits: tokens are counted as they are read; depth, fields,
// aliases and directives are counted, with each fragment looked at once, before the document is validated.
func (e *Endpoint) parse(text string) (*document, *Problem) {
	l := &e.o.Limits
	doc, err := parser.ParseQueryWithTokenLimit(&ast.Source{Input: text}, l.Tokens)
	if err != nil {
		code := CodeParse
		if strings.Contains(err.Error(), "exceeded token limit") {
			code = CodeLimit
		}
		return nil, problem(code, "%s", message(err))
	}
	if len(doc.Operations) == 0 {
		return nil, problem(CodeValidation, "the document has no operation")
	}
	m := &measure{doc: doc, l: l, frags: map[string]*extent{}}
	if bad := m.names(); bad != nil {
		return nil, bad
	}
	extents := make([]extent, len(doc.Operations))
	for i, op := range doc.Operations {
		m.directives += len(op.Directives)
		if extents[i], err = m.set(op.SelectionSet); err != nil {
			return nil, problem(CodeValidation, "%v", err)
		}
	}
	for _, f := range doc.Fragments { // those that no operation has, too
		if _, err := m.fragment(f.Name); err != nil {
			return nil, problem(CodeValidation, "%v", err)
		}
	}
	for _, x := range extents {
		if bad := m.beyond(x); bad != nil {
			return nil, bad
		}
	}
	if e.schema != nil {
		if errs := validator.ValidateWithRules(e.schema, doc, validation); len(errs) > 0 {
			texts := []string{}
			for _, err := range errs[:min(len(errs), mostProblems)] {
				texts = append(texts, message(err))
			}
			return nil, problem(CodeValidation, "%s", strings.Join(texts, "; "))
		}
	}
	d := &document{size: perDocument + len(text)*perByte}
	c := &costing{o: &e.o, schema: e.schema, weights: e.weights, doc: doc, frags: map[string]*costNode{}}
	for i, def := range doc.Operations {
		op := &operation{name: def.Name, kind: def.Operation, spread: extents[i].fields, defs: def.VariableDefinitions, fixed: -1}
		seen := map[string]bool{}
		collect(doc, def.SelectionSet, seen, &op.roots)
		if len(op.roots) > l.Roots {
			return nil, problem(CodeLimit, "%d root fields, %d at most", len(op.roots), l.Roots)
		}
		names := make([]string, len(op.roots))
		for i, r := range op.roots {
			names[i] = r.name
		}
		slices.Sort(names)
		op.signed = string(op.kind) + " " + strings.Join(slices.Compact(names), " ")
		op.cost = c.selection(def.SelectionSet, rootType(def.Operation))
		if !byVariable(op.cost, map[*costNode]bool{}) {
			op.fixed = (&estimator{memo: map[*costNode]float64{}}).group(op.cost, nil, 1)
		}
		d.ops = append(d.ops, op)
	}
	return d, nil
}

// What a parsed document takes beside its text, measured: about 100 bytes of it for one of the text.
const (
	perDocument = 2048
	perByte     = 100
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

// message is an error's text, with its place.
func message(err error) string {
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

// collect adds the root fields of a selection, each fragment once.
func collect(doc *ast.QueryDocument, set ast.SelectionSet, seen map[string]bool, into *[]root) {
	for _, s := range set {
		switch s := s.(type) {
		case *ast.Field:
			*into = append(*into, root{s.Name, s.Arguments})
		case *ast.InlineFragment:
			collect(doc, s.SelectionSet, seen, into)
		case *ast.FragmentSpread:
			if f := doc.Fragments.ForName(s.Name); f != nil && !seen[s.Name] {
				seen[s.Name] = true
				collect(doc, f.SelectionSet, seen, into)
			}
		}
	}
}

// byVariable tells whether some size depends on a variable.
func byVariable(nodes []*costNode, seen map[*costNode]bool) bool {
	for _, n := range nodes {
		if n.spread != nil {
			if !seen[n.spread] {
				seen[n.spread] = true
				if byVariable(n.spread.children, seen) {
					return true
				}
			}
			continue
		}
		if slices.ContainsFunc(n.slicing, func(v *ast.Value) bool { return v.Kind == ast.Variable }) || byVariable(n.children, seen) {
			return true
		}
	}
	return false
}

// measure counts what a document has.
type measure struct {
	doc                 *ast.QueryDocument
	l                   *Limits
	frags               map[string]*extent // nil while a fragment is being looked at
	aliases, directives int
}

// extent is how far a selection reaches, fragments spread out.
type extent struct{ depth, fields int }

var errCycle = errors.New("a fragment contains itself")

// names finds what the text says twice or not at all, in a form of the parser's that goes by names.
func (m *measure) names() *Problem {
	seen := map[string]bool{}
	for _, op := range m.doc.Operations {
		if op.Name == "" && len(m.doc.Operations) > 1 {
			return problem(CodeValidation, "an operation without a name must stand alone")
		}
		if seen[op.Name] {
			return problem(CodeValidation, "there are two operations of the name %q", op.Name)
		}
		seen[op.Name] = true
	}
	frags := map[string]bool{}
	for _, f := range m.doc.Fragments {
		if frags[f.Name] {
			return problem(CodeValidation, "there are two fragments of the name %q", f.Name)
		}
		frags[f.Name] = true
	}
	return nil
}

func (m *measure) beyond(x extent) *Problem {
	for _, c := range []struct {
		what    string
		n, most int
	}{{"fields within each other", x.depth, m.l.Depth}, {"fields", x.fields, m.l.Fields}, {"aliases", m.aliases, m.l.Aliases},
		{"directives", m.directives, m.l.Directives}} {
		if c.n > c.most {
			return problem(CodeLimit, "%d %s, %d at most", c.n, c.what, c.most)
		}
	}
	return nil
}

func (m *measure) set(set ast.SelectionSet) (x extent, err error) {
	for _, s := range set {
		var of extent
		switch s := s.(type) {
		case *ast.Field:
			m.directives += len(s.Directives)
			if s.Alias != "" && s.Alias != s.Name {
				m.aliases++
			}
			if of, err = m.set(s.SelectionSet); err != nil {
				return x, err
			}
			of.depth, of.fields = of.depth+1, of.fields+1
		case *ast.InlineFragment:
			m.directives += len(s.Directives)
			if of, err = m.set(s.SelectionSet); err != nil {
				return x, err
			}
		case *ast.FragmentSpread:
			m.directives += len(s.Directives)
			if of, err = m.fragment(s.Name); err != nil {
				return x, err
			}
		}
		x.depth = max(x.depth, of.depth)
		x.fields = min(x.fields+of.fields, math.MaxInt32) // fragments double it
	}
	return x, nil
}

func (m *measure) fragment(name string) (extent, error) {
	if x, begun := m.frags[name]; begun {
		if x == nil {
			return extent{}, errCycle
		}
		return *x, nil
	}
	f := m.doc.Fragments.ForName(name)
	if f == nil {
		return extent{}, errors.New("there is no fragment " + name)
	}
	m.frags[name] = nil
	m.directives += len(f.Directives)
	x, err := m.set(f.SelectionSet)
	if err != nil {
		return x, err
	}
	m.frags[name] = &x
	return x, nil
}

// pick is the operation that a node runs.
func (d *document) pick(name string) (*operation, *Problem) {
	if name == "" {
		if len(d.ops) > 1 {
			return nil, problem(CodeOperation, "the document has %d operations: operationName says which is meant", len(d.ops))
		}
		return d.ops[0], nil
	}
	for _, op := range d.ops {
		if op.name == name {
			return op, nil
		}
	}
	return nil, problem(CodeOperation, "the document has no operation %q", name[:min(len(name), 100)])
}

// key reads the value of a root field's argument, parts of an input after dots; false: it has none. It is a text, a number or
// an enum's name, at least one byte long.
func (r *root) key(path string, vars func() valueOf, defs ast.VariableDefinitionList) (string, bool) {
	first, rest, _ := strings.Cut(path, ".")
	a := r.args.ForName(first)
	if a == nil {
		return "", false
	}
	v := a.Value
	for {
		if v.Kind == ast.Variable {
			if given, ok := vars()[v.Raw]; ok {
				return scalar(given, rest)
			}
			d := defs.ForName(v.Raw)
			if d == nil || d.DefaultValue == nil {
				return "", false
			}
			v = d.DefaultValue
			continue
		}
		if rest == "" {
			break
		}
		var part string
		part, rest, _ = strings.Cut(rest, ".")
		if v.Kind != ast.ObjectValue {
			return "", false
		}
		if v = v.Children.ForName(part); v == nil {
			return "", false
		}
	}
	switch v.Kind {
	case ast.IntValue, ast.FloatValue, ast.StringValue, ast.BlockValue, ast.EnumValue:
		return v.Raw, v.Raw != "" && len(v.Raw) <= maxKey
	}
	return "", false
}

// maxKey is what a key may have, bytes.
const maxKey = 256

// strictest picks of an operation's classes the one whose Effect allows least; of those alike the one that is worth least, so
// that a field more buys nothing, then the one with the later deadline.
func strictest(all []*Class) *Class {
	return slices.MinFunc(all, func(a, b *Class) int {
		return cmp.Or(-cmp.Compare(a.Idempotency, b.Idempotency), cmp.Compare(a.PriorityWeight, b.PriorityWeight), -cmp.Compare(a.Deadline, b.Deadline))
	})
}
