package graphql

import "slices"

// Classification is the meaning of an upstream's answer for the balancer.
type Classification int

// The classifications.
const (
	Served         Classification = iota // an answer for the client, which may report errors in the client's request
	UpstreamFailed                       // the upstream reports a failure of its own; the operation may have run
	NotExecuted                          // the upstream reports that it has not run the operation
	Malformed                            // the answer is not a GraphQL answer; the operation may have run
)

// Classify classifies an answer whose HTTP status is one that the service serves. encoded says that the answer has a content
// encoding.
//
// An answer with errors and without data is classified by its error codes. If every such answer counted as a failure, as an
// HTTP 500 does, one client's faulty operation, retried on one upstream after another, would eject them all. If none did, an
// upstream whose own back end is down would get requests for as long as it answers fastest. Only the codes that the operator
// lists count as failures: the specification defines none, and INTERNAL_SERVER_ERROR, which most servers return for any
// exception, is as often caused by the operation as by the upstream. An answer with data is served whatever errors it has.
//
// With a 2xx status the body has to be a GraphQL answer. With any other status that the service serves, the body may be
// anything: a proxy before the upstream answers 401 or 413 in a format of its own.
func (e *Endpoint) Classify(status int, body []byte, encoded bool) Classification {
	if encoded {
		return Malformed // no request accepts an encoding, and the content cannot be inspected
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
				return NotExecuted // every error has such a code
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

// IsAnswer reports whether a body is a GraphQL answer. Only a GraphQL answer may be an entry of the answer to a batch.
func IsAnswer(body []byte) bool {
	_, ok := readAnswer(body)
	return ok
}

// answerContent is the part of an answer that Classify uses.
type answerContent struct {
	data   bool     // there is data other than null
	errors int      // number of errors
	codes  []string // extensions.code of the errors that have one
}

// readAnswer reads an answer in the form of the specification: an object with data, errors or both, each at most once, where
// errors is a non-empty list of objects with a message. It reads every byte: a truncated text, or a text with more than one
// JSON value, is not an answer.
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

// readError reads an error and returns its code, which is empty if the error has none. It returns false if the error does not
// have the specification's form.
func readError(r *reader) (code string, ok bool) {
	_, _ = r.ReadToken() // the opening brace, peeked by the caller
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
