package graphql

import (
	"math"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/vektah/gqlparser/v2/ast"
)

// The cost of an operation is the sum of its root fields', and a field's is
//
//	cost(field) = weight(field) + size(field) x sum of cost(selected)
//
// with weight by the operator's file, else @cost(weight) of the field or its type, else 1 with a selection and 0 without,
// and size 1 but for lists: the largest of @listSize(slicingArguments) that is given, else its assumedSize, else the
// arguments that the file names, else the file's assumed size. sizedFields moves the size from a field to the fields
// below it that it names. It is the type cost of the IBM specification with field weights added; input weights are not
// counted. A fragment's cost is computed once a request, so that spreads within spreads cost no more than their text.

// costNode is a field or a group of them, made once a document.
type costNode struct {
	weight        float64
	list          bool
	assumedSize   float64
	slicingValues []*ast.Value // arguments that tell its size
	sizedFields   []string     // fields below that have the size in its place
	name          string
	children      []*costNode
	spread        *costNode // of a fragment
}

const maxCost = 1e15

// costEstimator evaluates costs under variables.
type costEstimator struct {
	vars map[string]jsontext.Value
	defs ast.VariableDefinitionList
	memo map[*costNode]float64
}

func (e *costEstimator) sum(nodes []*costNode, sizedFields []string, size float64) (sum float64) {
	for _, n := range nodes {
		sum = min(maxCost, sum+e.nodeCost(n, sizedFields, size))
	}
	return sum
}

// nodeCost is a field's cost; sized and size are what the field above hands down.
func (e *costEstimator) nodeCost(n *costNode, sizedFields []string, size float64) float64 {
	if n.spread != nil {
		if len(sizedFields) > 0 { // the same fragment may stand below another size
			return e.sum(n.spread.children, sizedFields, size)
		}
		if c, ok := e.memo[n.spread]; ok {
			return c
		}
		c := e.sum(n.spread.children, nil, 1)
		e.memo[n.spread] = c
		return c
	}
	listSize := 1.0
	if n.list || len(n.sizedFields) > 0 {
		listSize = n.assumedSize
		given := false
		for _, v := range n.slicingValues {
			if x, ok := e.number(v); ok {
				if !given {
					listSize, given = 0, true
				}
				listSize = max(listSize, x)
			}
		}
	}
	for _, name := range sizedFields {
		if name == n.name {
			listSize = size
		}
	}
	if len(n.sizedFields) > 0 {
		return min(maxCost, n.weight+e.sum(n.children, n.sizedFields, listSize))
	}
	return min(maxCost, n.weight+listSize*e.sum(n.children, nil, 1))
}

// number is an argument's, if it is one, at least 0.
func (e *costEstimator) number(v *ast.Value) (float64, bool) {
	raw := v.Raw
	if v.Kind == ast.Variable {
		given, ok := e.vars[v.Raw]
		switch {
		case ok:
			raw = string(given)
		default:
			d := e.defs.ForName(v.Raw)
			if d == nil || d.DefaultValue == nil {
				return 0, false
			}
			raw = d.DefaultValue.Raw
		}
	}
	x, err := strconv.ParseFloat(raw, 64)
	if err != nil || math.IsNaN(x) {
		return 0, false
	}
	return min(max(x, 0), maxCost), true
}

// costBuilder makes costNodes for one document.
type costBuilder struct {
	options   *Options
	schema    *ast.Schema
	weights   map[string]float64
	doc       *ast.QueryDocument
	fragments map[string]*costNode
}

func (c *costBuilder) selection(set ast.SelectionSet, typ string) (out []*costNode) {
	for _, s := range set {
		switch s := s.(type) {
		case *ast.Field:
			out = append(out, c.field(s, typ))
		case *ast.InlineFragment:
			innerType := typ
			if s.TypeCondition != "" && c.schema != nil {
				innerType = s.TypeCondition
			}
			out = append(out, c.selection(s.SelectionSet, innerType)...)
		case *ast.FragmentSpread:
			out = append(out, &costNode{spread: c.fragment(s.Name)})
		}
	}
	return out
}

// fragment is made once; cycles have been ruled out.
func (c *costBuilder) fragment(name string) *costNode {
	if n := c.fragments[name]; n != nil {
		return n
	}
	n := &costNode{}
	c.fragments[name] = n
	if f := c.doc.Fragments.ForName(name); f != nil {
		n.children = c.selection(f.SelectionSet, f.TypeCondition)
	}
	return n
}

func (c *costBuilder) field(f *ast.Field, typ string) *costNode {
	n := &costNode{name: f.Name, assumedSize: float64(c.options.AssumedSize)}
	if len(f.SelectionSet) > 0 {
		n.weight = 1
	}
	fieldType := ""
	var size *ast.Directive
	if d := f.Definition; d != nil {
		fieldType = d.Type.Name()
		n.list = isList(d.Type)
		if w, ok := weightOf(d.Directives); ok {
			n.weight = w
		} else if t := c.schema.Types[fieldType]; t != nil {
			if w, ok := weightOf(t.Directives); ok {
				n.weight = w
			}
		}
		size = d.Directives.ForName("listSize")
	}
	if w, ok := c.weights[typ+"."+f.Name]; ok {
		n.weight = w
	}
	names := c.options.SizeArguments
	if size != nil {
		if a := size.Arguments.ForName("assumedSize"); a != nil {
			if x, err := strconv.ParseFloat(a.Value.Raw, 64); err == nil {
				n.assumedSize = max(0, x)
			}
		}
		names = stringList(size.Arguments.ForName("slicingArguments"))
		n.sizedFields = stringList(size.Arguments.ForName("sizedFields"))
	}
	for _, name := range names {
		if a := f.Arguments.ForName(name); a != nil {
			n.slicingValues = append(n.slicingValues, a.Value)
		}
	}
	if c.schema == nil && len(n.slicingValues) > 0 {
		n.list = true
	}
	n.children = c.selection(f.SelectionSet, fieldType)
	return n
}

func isList(t *ast.Type) bool { return t != nil && t.NamedType == "" }

// weightOf is @cost(weight: "2.5") or @cost(weight: 2).
func weightOf(list ast.DirectiveList) (float64, bool) {
	d := list.ForName("cost")
	if d == nil {
		return 0, false
	}
	a := d.Arguments.ForName("weight")
	if a == nil {
		return 0, false
	}
	x, err := strconv.ParseFloat(a.Value.Raw, 64)
	if err != nil || math.IsNaN(x) {
		return 0, false
	}
	return min(max(x, 0), maxCost), true
}

// stringList is an argument's list of strings, or the one that it is.
func stringList(a *ast.Argument) (out []string) {
	if a == nil {
		return nil
	}
	if a.Value.Kind != ast.ListValue {
		return []string{a.Value.Raw}
	}
	for _, v := range a.Value.Children {
		out = append(out, v.Value.Raw)
	}
	return out
}
