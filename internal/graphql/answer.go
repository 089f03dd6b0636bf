package graphql

import "slices"

// Classification is what an upstream's answer means to the balancer.
type Classification int

// The classifications.
const (
	Served         Classification = iota // an answer for the client, errors of its own mistakes included
	UpstreamFailed                       // the upstream has failed; the operation may have run
	NotExecuted                          // the upstream says that it has not run the operation
	Malformed                            // no GraphQL answer; the operation may have run
)

// Classify says what an answer is that came with a status which the service takes for an answer.
//
// Weighed were: that errors without data are a failure, as an HTTP 500 is; that they never are; and by their codes. The
// first lets one client's wrong operation, sent to node after node, eject a fleet; the second serves what a node answers
// whose own back end has gone, for as long as it is the fastest one. So codes tell, and only those that the operator names:
// the specification has none, and INTERNAL_SERVER_ERROR, which most servers give for any exception, is as often the
// operation's as the node's. An answer with data is served whatever errors stand beside it.
//
// With a status of 200 a body has to be a GraphQL answer. With any other one that the service serves, it may be anything:
// what stands before a node says 401 or 413 in words of its own.
func (e *Endpoint) Classify(status int, body []byte, encoded bool) Classification {
	if encoded {
		return Malformed // nobody asked for it, and what stands in it can't be told
	}
	a, ok := readAnswer(body)
	switch {
	case !ok && status/100 == 2:
		return Malformed
	case !ok || a.data:
		return Served
	}
	for _, code := range a.codes {
		if slices.Contains(e.options.NotRunCodes, code) {
			if len(a.codes) == a.errors && !slices.ContainsFunc(a.codes, func(c string) bool { return !slices.Contains(e.options.NotRunCodes, c) }) {
				return NotExecuted // every error says so
			}
			return UpstreamFailed
		}
	}
	for _, code := range a.codes {
		if slices.Contains(e.options.FailingCodes, code) {
			return UpstreamFailed
		}
	}
	return Served
}

// IsAnswer reports whether a body is a GraphQL answer, so that it may be an item of a batch's answer.
func IsAnswer(body []byte) bool {
	_, ok := readAnswer(body)
	return ok
}

// answerContent is what an answer has.
type answerContent struct {
	data   bool // and it is not null
	errors int
	codes  []string // of the errors that have one
}

// readAnswer reads an answer as the specification has it: an object with data, errors or both, each once; errors are a list
// that is not empty, of objects with a message. Every byte is read: one that is cut or has more than one value is none.
func readAnswer(body []byte) (a answerContent, ok bool) {
	r := newReader(body)
	defer r.release()
	if r.PeekKind() != '{' {
		return a, false
	}
	_, _ = r.ReadToken() // peeked above
	var scratch [16]byte
	data, errors := false, false
	for {
		name, more := r.nextName(scratch[:])
		if !more {
			break
		}
		switch string(name) {
		case "data":
			kind := r.PeekKind()
			if data || kind != '{' && kind != 'n' {
				return a, false
			}
			data, a.data = true, kind == '{'
			if _, err := r.ReadValue(); err != nil {
				return a, false
			}
		case "errors":
			if errors || r.PeekKind() != '[' {
				return a, false
			}
			errors = true
			_, _ = r.ReadToken() // peeked above
			for r.PeekKind() == '{' {
				code, valid := readError(r)
				if !valid {
					return a, false
				}
				if a.errors++; code != "" {
					a.codes = append(a.codes, code)
				}
			}
			if _, err := r.ReadToken(); err != nil || a.errors == 0 {
				return a, false
			}
		default:
			if _, err := r.ReadValue(); err != nil {
				return a, false
			}
		}
	}
	if end, err := r.ReadToken(); err != nil || end.Kind() != '}' {
		return a, false
	}
	return a, (data || errors) && r.atEnd(body)
}

// readError reads one error's code.
func readError(r *reader) (code string, ok bool) {
	_, _ = r.ReadToken() // its brace has been seen
	hasMessage := false
	var scratch [16]byte
	for {
		name, more := r.nextName(scratch[:])
		if !more {
			break
		}
		key := string(name)
		value, err := r.ReadValue()
		if err != nil {
			return "", false
		}
		switch kind := value.Kind(); {
		case key == "message":
			if hasMessage = kind == '"'; !hasMessage {
				return "", false
			}
		case key == "extensions" && kind == '{':
			if c, found := objectMembers(value)["code"]; found {
				code, _ = scalar(c, "")
			}
		}
	}
	end, err := r.ReadToken()
	return code, hasMessage && err == nil && end.Kind() == '}'
}
