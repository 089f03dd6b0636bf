package graphql

import (
	"math"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/vektah/gqlparser/v2/ast"
)

// The cost of an operation is the sum of the costs of its root fields. The cost of a field is
//
//	cost(field) = weight(field) + size(field) x sum of cost(selected)
//
// The weight is set by the operator's file, or else by @cost(weight) of the field or its type. Without either it is 1
// for a field with a selection and 0 for any other field. The size is 1, except for lists. With @listSize, the size of a
// list is the largest of its slicingArguments that the operation gives, or else its assumedSize. Without @listSize, the
// arguments that the operator's file names take the place of slicingArguments. Without any of these, the size is the
// file's assumed size. sizedFields moves the size from a field to the fields of its selection that sizedFields names.
// This is the type cost of the IBM specification with field weights added; input weights are not counted. The cost of a
// fragment is computed once for each request, so that fragments that spread each other many times do not multiply the
// work.

// costNode is a field or a fragment spread. The nodes are built once for each document.
type costNode struct {
	weight        float64
	list          bool
	assumedSize   float64
	slicingValues []*ast.Value // values of the arguments that give the list's size
	sizedFields   []string     // fields of the selection that the size applies to instead
	name          string
	children      []*costNode
	spread        *costNode // the fragment; nil if the node is a field
}

// maxCost bounds costs, weights and list sizes.
const maxCost = 1e15

// costEstimator computes costs for the variables of one request.
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

// nodeCost returns the cost of a node. size is the list size of the field above the node, and applies to the fields in
// sizedFields.
func (e *costEstimator) nodeCost(n *costNode, sizedFields []string, size float64) float64 {
	if n.spread != nil {
		if len(sizedFields) > 0 { // the fragment's cost depends on the size here, so it is not memoized
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

// number returns the numeric value of an argument, from 0 to maxCost. It returns false if the argument has none.
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

// costBuilder builds the costNodes of one document.
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

// fragment returns the node of a fragment, which is built once. checkExtent has rejected cycles.
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

// weightOf returns the weight of a @cost directive, which is written as a string, @cost(weight: "2.5"), or a number.
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

// stringList returns the strings of an argument that is a list of strings or a single string.
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
