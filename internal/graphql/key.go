package graphql

import (
	"strings"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/vektah/gqlparser/v2/ast"
)

// scalar returns the string or number at a dotted path in a JSON value, as an idempotency key. It returns false if there is
// none, or if it does not have 1 to maxKey bytes.
func scalar(v jsontext.Value, path string) (string, bool) {
	for path != "" {
		var part string
		part, path, _ = strings.Cut(path, ".")
		next, ok := objectMembers(v)[part]
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

// keyOf returns the idempotency key in an argument of a root field, or false if there is none. path is the argument's name,
// optionally followed by names of input fields, separated by dots, as in input.key. The key is a string, a number or an enum
// value of 1 to maxKey bytes.
func (r *rootField) keyOf(path string, vars func() valueOf, defs ast.VariableDefinitionList) (string, bool) {
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

// maxKey is the longest idempotency key, in bytes.
const maxKey = 256
