package graphql

import (
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// Params is one operation as requested by a client. It has only one reading: no key occurs twice or in another
// spelling, and all text is UTF-8.
type Params struct {
	Query      string
	Operation  string         // operationName; empty for the document's only operation
	Variables  jsontext.Value // a JSON object; nil if absent
	Extensions jsontext.Value // a JSON object, without persistedQuery; nil if absent
	Hash       string         // SHA-256 of the text, in hexadecimal, or id of a known operation; empty if absent
	BadHash    bool           // persistedQuery has an unknown version or no hash
}

// parameterNames are the keys that the specification defines.
var parameterNames = [...]string{"query", "operationName", "variables", "extensions"}

// setParameter sets a parameter to a JSON value. null means that the parameter is absent.
func (p *Params) setParameter(name string, value jsontext.Value, l *Limits) *Problem {
	kind := value.Kind()
	text := func(into *string) *Problem {
		if kind == 'n' {
			return nil
		}
		if kind != '"' {
			return malformed("%s is no string", name)
		}
		b, err := jsontext.AppendUnquote(nil, value)
		if err != nil {
			return notJSON(err)
		}
		*into = string(b)
		return nil
	}
	object := func(into *jsontext.Value) *Problem {
		if kind == 'n' {
			return nil
		}
		if kind != '{' {
			return malformed("%s is no object", name)
		}
		if !value.IsValid() { // also false for a key that occurs twice, in any object of the value
			return malformed("%s has a key twice", name)
		}
		*into = value.Clone()
		return nil
	}
	switch name {
	case "query":
		return text(&p.Query)
	case "operationName":
		return text(&p.Operation)
	case "variables":
		if len(value) > l.Variables.Bytes() {
			return newProblem(CodeLimit, "the variables have %d bytes, %d at most", len(value), l.Variables)
		}
		return object(&p.Variables)
	case "extensions":
		if problem := object(&p.Extensions); problem != nil || p.Extensions == nil {
			return problem
		}
		return p.extractPersistedQuery()
	}
	for _, known := range parameterNames {
		if strings.EqualFold(name, known) {
			return malformed("%q is written %q", name, known)
		}
	}
	return malformed("%q is no parameter of a GraphQL request: what is added belongs into extensions", name)
}

// extractPersistedQuery moves persistedQuery from the extensions to Hash: the sidecar resolves it, and the upstream
// gets the text.
func (p *Params) extractPersistedQuery() *Problem {
	r := newReader(p.Extensions)
	defer r.release()
	rest := []byte{'{'}
	_, _ = r.ReadToken() // the opening brace: extensions is an object
	for r.PeekKind() == '"' {
		quotedName, err := r.ReadValue()
		if err != nil {
			return notJSON(err)
		}
		name, err := jsontext.AppendUnquote(nil, quotedName)
		if err != nil {
			return notJSON(err)
		}
		quotedName = quotedName.Clone()
		value, err := r.ReadValue()
		if err != nil {
			return notJSON(err)
		}
		if string(name) == "persistedQuery" {
			if problem := p.readHash(value); problem != nil {
				return problem
			}
			continue
		}
		if len(rest) > 1 {
			rest = append(rest, ',')
		}
		rest = append(append(append(rest, quotedName...), ':'), value...)
	}
	if p.Extensions = append(rest, '}'); len(rest) == 1 {
		p.Extensions = nil
	}
	return nil
}

// readHash reads the value of persistedQuery: {"version": 1, "sha256Hash": "..."}.
func (p *Params) readHash(value jsontext.Value) *Problem {
	if value.Kind() != '{' {
		return malformed("persistedQuery is no object")
	}
	members := objectMembers(value)
	hash, _ := scalar(members["sha256Hash"], "")
	hash = strings.ToLower(hash)
	version := string(members["version"])
	if version != "1" || hash == "" {
		p.BadHash = true
	}
	p.Hash = hash
	return nil
}

// encode returns the body in which the operation is forwarded. It has one reading, whatever the client sent.
func (p *Params) encode(query string) ([]byte, error) {
	out := make([]byte, 0, len(query)+len(query)/8+len(p.Operation)+len(p.Variables)+len(p.Extensions)+64)
	out, err := jsontext.AppendQuote(append(out, `{"query":`...), query)
	if err != nil {
		return nil, err
	}
	if p.Operation != "" {
		if out, err = jsontext.AppendQuote(append(out, `,"operationName":`...), p.Operation); err != nil {
			return nil, err
		}
	}
	if p.Variables != nil {
		out = append(append(out, `,"variables":`...), p.Variables...)
	}
	if p.Extensions != nil {
		out = append(append(out, `,"extensions":`...), p.Extensions...)
	}
	return append(out, '}'), nil
}
