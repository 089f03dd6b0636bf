package graphql

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// Params is one operation as a client asks for it. All of it has one reading: no key stands twice, none is spelled in
// another way, all text is UTF-8.
type Params struct {
	Query      string
	Operation  string         // operationName; empty: the only one
	Variables  jsontext.Value // an object; nil: none
	Extensions jsontext.Value // an object without persistedQuery; nil: none
	Hash       string         // SHA-256 of the text that is meant, in hexadecimal; empty: none is named
	BadHash    bool           // it is of a version that nobody knows
}

// Asked is what a request asks for. Of a batch an entry that can't be read has a Problem in its place.
type Asked struct {
	Batch    bool
	Params   []Params
	Problems []*Problem // nil where Params holds
}

// Body reads a POST's body. Its problem is the whole request's.
//
// What a node might read in another way than the one who decides here is turned down: two keys of one name, also where one
// is escaped, a known key in other letters (Go's own decoder would take it), text that is no UTF-8, a byte order mark, more
// than one value. Keys that the specification does not have are turned down as well: some nodes run what they name.
func Body(body []byte, l *Limits) (a Asked, bad *Problem) {
	if bytes.HasPrefix(body, []byte("\xef\xbb\xbf")) {
		return a, malformed("the body begins with a byte order mark")
	}
	if tooDeep(body) {
		return a, malformed("the body nests deeper than %d", maxNesting)
	}
	r := read(body)
	defer r.release()
	switch r.PeekKind() {
	case '{':
		p, bad := entry(r, l)
		if bad != nil {
			return a, bad
		}
		a.Params, a.Problems = []Params{p}, []*Problem{nil}
	case '[':
		if l.Batch < 2 {
			return a, malformed("there are no batches here")
		}
		a.Batch = true
		_, _ = r.ReadToken() // it has been seen
		for r.PeekKind() != ']' {
			if len(a.Params) == l.Batch {
				return a, malformed("a batch has %d entries at most", l.Batch)
			}
			value, err := r.ReadValue()
			if err != nil {
				return a, notJSON(err)
			}
			of := read(value)
			p, bad := entry(of, l)
			of.release()
			a.Params, a.Problems = append(a.Params, p), append(a.Problems, bad)
		}
		if _, err := r.ReadToken(); err != nil {
			return a, notJSON(err)
		}
		if len(a.Params) == 0 {
			return a, malformed("the batch is empty")
		}
	default:
		if _, err := r.ReadValue(); err != nil {
			return a, notJSON(err)
		}
		return a, malformed("the body is neither an object nor an array of them")
	}
	if !r.alone(body) {
		return a, malformed("something stands behind the body's JSON")
	}
	return a, nil
}

func notJSON(err error) *Problem { return malformed("the body can't be read: %v", err) }

// params are the specification's keys.
var params = [...]string{"query", "operationName", "variables", "extensions"}

// entry reads one object.
func entry(r *reader, l *Limits) (p Params, bad *Problem) {
	if r.PeekKind() != '{' {
		return p, malformed("an entry is no object")
	}
	_, _ = r.ReadToken() // it has been seen
	var scratch [16]byte
	seen := 0
	for {
		name, more := r.name(scratch[:])
		if !more {
			break
		}
		what := string(name)
		if i := slices.Index(params[:], what); i >= 0 {
			if seen&(1<<i) != 0 {
				return p, malformed("%q stands there twice", what)
			}
			seen |= 1 << i
		}
		value, err := r.ReadValue()
		if err != nil {
			return p, notJSON(err)
		}
		if bad := p.set(what, value, l); bad != nil {
			return p, bad
		}
	}
	if _, err := r.ReadToken(); err != nil {
		return p, notJSON(err)
	}
	return p, nil
}

// set takes a parameter over. null is as if it were absent.
func (p *Params) set(name string, value jsontext.Value, l *Limits) *Problem {
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
		if !value.IsValid() { // by the library's own rule: no key stands twice in any object of it
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
			return problem(CodeLimit, "the variables have %d bytes, %d at most", len(value), l.Variables)
		}
		return object(&p.Variables)
	case "extensions":
		if bad := object(&p.Extensions); bad != nil || p.Extensions == nil {
			return bad
		}
		return p.persisted()
	}
	for _, known := range params {
		if strings.EqualFold(name, known) {
			return malformed("%q is written %q", name, known)
		}
	}
	return malformed("%q is no parameter of a GraphQL request: what is added belongs into extensions", name)
}

// persisted takes persistedQuery out of the extensions: it is resolved here, and the node gets the text.
func (p *Params) persisted() *Problem {
	r := read(p.Extensions)
	defer r.release()
	rest := []byte{'{'}
	_, _ = r.ReadToken() // it is an object
	for r.PeekKind() == '"' {
		name, err := r.ReadValue()
		if err != nil {
			return notJSON(err)
		}
		plain, err := jsontext.AppendUnquote(nil, name)
		if err != nil {
			return notJSON(err)
		}
		name = name.Clone()
		value, err := r.ReadValue()
		if err != nil {
			return notJSON(err)
		}
		if string(plain) == "persistedQuery" {
			if bad := p.hash(value); bad != nil {
				return bad
			}
			continue
		}
		if len(rest) > 1 {
			rest = append(rest, ',')
		}
		rest = append(append(append(rest, name...), ':'), value...)
	}
	if p.Extensions = append(rest, '}'); len(rest) == 1 {
		p.Extensions = nil
	}
	return nil
}

// hash reads {"version": 1, "sha256Hash": "..."}.
func (p *Params) hash(value jsontext.Value) *Problem {
	if value.Kind() != '{' {
		return malformed("persistedQuery is no object")
	}
	of := variables(value)
	hash, _ := scalar(of["sha256Hash"], "")
	hash = strings.ToLower(hash)
	version := string(of["version"])
	if version != "1" || hash == "" {
		p.BadHash = true
	}
	p.Hash = hash
	return nil
}

// URLQuery reads a GET's parameters. They are for queries only, which Decide holds them to.
func URLQuery(raw string, l *Limits) (a Asked, bad *Problem) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return a, malformed("the URL's query can't be read: %v", err)
	}
	var p Params
	for name, all := range values {
		if len(all) > 1 {
			return a, malformed("%q stands there twice", name)
		}
		v := all[0]
		if name == "query" || name == "operationName" {
			quoted, err := jsontext.AppendQuote(nil, v)
			if err != nil {
				return a, malformed("%s is no UTF-8", name)
			}
			if bad := p.set(name, quoted, l); bad != nil {
				return a, bad
			}
			continue
		}
		value := jsontext.Value(v)
		if name == "variables" || name == "extensions" {
			if v == "" {
				continue
			}
			if !value.IsValid() {
				return a, malformed("%s is no JSON", name)
			}
			for len(value) > 0 && strings.IndexByte(" \t\r\n", value[0]) >= 0 {
				value = value[1:]
			}
		}
		if bad := p.set(name, value, l); bad != nil {
			return a, bad
		}
	}
	return Asked{Params: []Params{p}, Problems: []*Problem{nil}}, nil
}

// Plain tells whether a POST's URL is without parameters that some nodes read before the body.
func Plain(raw string) bool {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return false
	}
	for name := range values {
		for _, known := range params {
			if strings.EqualFold(name, known) {
				return false
			}
		}
	}
	return true
}

// encode is the one form in which operations go on: whatever the client's was, it has one reading.
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

// Methods are the ones that an endpoint is for.
const Methods = http.MethodGet + ", " + http.MethodPost
