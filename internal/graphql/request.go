package graphql

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// Request has the operations of an HTTP request. Problems has an element for each of Params.
type Request struct {
	Batch    bool
	Params   []Params
	Problems []*Problem // why an entry of a batch cannot be read; nil if it can
}

// ParseBody reads the body of a POST. The returned Problem concerns the whole request.
//
// It rejects everything that an upstream might read in another way than the sidecar: duplicate keys, even if one of them
// is escaped; a known key with other upper- and lower-case letters (encoding/json accepts it); text that is not UTF-8; a
// byte order mark; more than one JSON value. It also rejects keys that the specification does not define, since some
// servers run the operation that such a key names.
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
		_, _ = r.ReadToken() // peeked above
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

// readEntry reads the object of one operation.
func readEntry(r *reader, l *Limits) (p Params, problem *Problem) {
	if r.PeekKind() != '{' {
		return p, malformed("an entry is no object")
	}
	_, _ = r.ReadToken() // peeked above
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

// ParseURLQuery reads the parameters of a GET from the URL's query. Decide rejects mutations by GET.
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

// HasNoParameters reports whether the URL of a POST has no GraphQL parameters. Some upstreams use such parameters instead of the body.
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

// AllowedMethods are the HTTP methods that an endpoint accepts.
const AllowedMethods = http.MethodGet + ", " + http.MethodPost
