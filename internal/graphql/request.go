package graphql

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// Request is what a request asks for. Of a batch an entry that can't be read has a Problem in its place.
type Request struct {
	Batch    bool
	Params   []Params
	Problems []*Problem // nil where Params holds
}

// ParseBody reads a POST's body. Its problem is the whole request's.
//
// What a node might read in another way than the one who decides here is turned down: two keys of one name, also where one
// is escaped, a known key in other letters (Go's own decoder would take it), text that is no UTF-8, a byte order mark, more
// than one value. Keys that the specification does not have are turned down as well: some nodes run what they name.
func ParseBody(body []byte, l *Limits) (request Request, problem *Problem) {
	if bytes.HasPrefix(body, []byte("\xef\xbb\xbf")) {
		return request, malformed("the body begins with a byte order mark")
	}
	if nestsTooDeep(body) {
		return request, malformed("the body nests deeper than %d", maxNesting)
	}
	r := newReader(body)
	defer r.release()
	switch r.PeekKind() {
	case '{':
		p, problem := readEntry(r, l)
		if problem != nil {
			return request, problem
		}
		request.Params, request.Problems = []Params{p}, []*Problem{nil}
	case '[':
		if l.Batch < 2 {
			return request, malformed("there are no batches here")
		}
		request.Batch = true
		_, _ = r.ReadToken() // it has been seen
		for r.PeekKind() != ']' {
			if len(request.Params) == l.Batch {
				return request, malformed("a batch has %d entries at most", l.Batch)
			}
			value, err := r.ReadValue()
			if err != nil {
				return request, notJSON(err)
			}
			entryReader := newReader(value)
			p, problem := readEntry(entryReader, l)
			entryReader.release()
			request.Params, request.Problems = append(request.Params, p), append(request.Problems, problem)
		}
		if _, err := r.ReadToken(); err != nil {
			return request, notJSON(err)
		}
		if len(request.Params) == 0 {
			return request, malformed("the batch is empty")
		}
	default:
		if _, err := r.ReadValue(); err != nil {
			return request, notJSON(err)
		}
		return request, malformed("the body is neither an object nor an array of them")
	}
	if !r.atEnd(body) {
		return request, malformed("something stands behind the body's JSON")
	}
	return request, nil
}

func notJSON(err error) *Problem { return malformed("the body can't be read: %v", err) }

// readEntry reads one object.
func readEntry(r *reader, l *Limits) (p Params, problem *Problem) {
	if r.PeekKind() != '{' {
		return p, malformed("an entry is no object")
	}
	_, _ = r.ReadToken() // it has been seen
	var scratch [16]byte
	seen := 0
	for {
		name, more := r.nextName(scratch[:])
		if !more {
			break
		}
		key := string(name)
		if i := slices.Index(parameterNames[:], key); i >= 0 {
			if seen&(1<<i) != 0 {
				return p, malformed("%q stands there twice", key)
			}
			seen |= 1 << i
		}
		value, err := r.ReadValue()
		if err != nil {
			return p, notJSON(err)
		}
		if problem := p.setParameter(key, value, l); problem != nil {
			return p, problem
		}
	}
	if _, err := r.ReadToken(); err != nil {
		return p, notJSON(err)
	}
	return p, nil
}

// ParseURLQuery reads a GET's parameters. They are for queries only, which Decide holds them to.
func ParseURLQuery(raw string, l *Limits) (request Request, problem *Problem) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return request, malformed("the URL's query can't be read: %v", err)
	}
	var p Params
	for name, given := range values {
		if len(given) > 1 {
			return request, malformed("%q stands there twice", name)
		}
		v := given[0]
		if name == "query" || name == "operationName" {
			quoted, err := jsontext.AppendQuote(nil, v)
			if err != nil {
				return request, malformed("%s is no UTF-8", name)
			}
			if problem := p.setParameter(name, quoted, l); problem != nil {
				return request, problem
			}
			continue
		}
		value := jsontext.Value(v)
		if name == "variables" || name == "extensions" {
			if v == "" {
				continue
			}
			if !value.IsValid() {
				return request, malformed("%s is no JSON", name)
			}
			for len(value) > 0 && strings.IndexByte(" \t\r\n", value[0]) >= 0 {
				value = value[1:]
			}
		}
		if problem := p.setParameter(name, value, l); problem != nil {
			return request, problem
		}
	}
	return Request{Params: []Params{p}, Problems: []*Problem{nil}}, nil
}

// HasNoParameters reports whether a POST's URL has none of the parameters that some upstreams read in preference to the body.
func HasNoParameters(raw string) bool {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return false
	}
	for name := range values {
		for _, known := range parameterNames {
			if strings.EqualFold(name, known) {
				return false
			}
		}
	}
	return true
}

// AllowedMethods are the ones that an endpoint is for.
const AllowedMethods = http.MethodGet + ", " + http.MethodPost
