package graphql

import (
	stdjson "encoding/json"
	"errors"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/parser"

	"orchiddrift/balancer"
)

// referenceIdempotency returns the least strict class that a request may have. It reads the request as an upstream with the
// standard library does, and selects the operation and its fields by the specification's GetOperation and CollectFields.
func referenceIdempotency(body []byte) (balancer.Idempotency, error) {
	var r struct{ Query, OperationName string }
	if err := stdjson.Unmarshal(body, &r); err != nil {
		return 0, err
	}
	doc, err := parser.ParseQuery(&ast.Source{Input: r.Query})
	if err != nil {
		return 0, err
	}
	op := doc.Operations.ForName(r.OperationName)
	if op == nil {
		return 0, errors.New("the document has no operation of this operationName")
	}
	if op.Operation == ast.Query {
		for _, name := range rootNames(doc, op.SelectionSet, 0) {
			if name == "audit" {
				return balancer.NonIdempotent, nil
			}
		}
		return balancer.Idempotent, nil
	}
	keyed := map[string]bool{}
	for _, name := range rootNames(doc, op.SelectionSet, 0) {
		if name != "record" && name != "refund" && name != "__typename" {
			return balancer.NonIdempotent, nil
		}
		keyed[name] = true
	}
	if delete(keyed, "__typename"); len(keyed) != 1 {
		return balancer.NonIdempotent, nil
	}
	return balancer.IdempotentWithKey, nil
}

// rootNames returns the names of the root fields of a selection, including those in fragments.
func rootNames(doc *ast.QueryDocument, set ast.SelectionSet, depth int) (names []string) {
	if depth > 100 {
		return nil
	}
	for _, s := range set {
		switch s := s.(type) {
		case *ast.Field:
			names = append(names, s.Name)
		case *ast.InlineFragment:
			names = append(names, rootNames(doc, s.SelectionSet, depth+1)...)
		case *ast.FragmentSpread:
			if f := doc.Fragments.ForName(s.Name); f != nil {
				names = append(names, rootNames(doc, f.SelectionSet, depth+1)...)
			}
		}
	}
	return names
}
