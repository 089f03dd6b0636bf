package graphql

import (
	"bytes"
	"slices"

	"github.com/go-json-experiment/json/jsontext"
)

// Verdict is what a node's answer is for the balancer.
type Verdict int

// The verdicts.
const (
	Served  Verdict = iota // the client's answer, errors of its own mistakes included
	Failing                // the node has failed; the operation may have run
	Unrun                  // the node says that it has not run it
	Garbled                // no GraphQL answer; it may have run
)

// Judge says what an answer is that came with a status which the service takes for an answer.
//
// Weighed were: that errors without data are a failure, as an HTTP 500 is; that they never are; and by their codes. The
// first lets one client's wrong operation, sent to node after node, eject a fleet; the second serves what a node answers
// whose own back end has gone, for as long as it is the fastest one. So codes tell, and only those that the operator names:
// the specification has none, and INTERNAL_SERVER_ERROR, which most servers give for any exception, is as often the
// operation's as the node's. An answer with data is served whatever errors stand beside it.
//
// With a status of 200 a body has to be a GraphQL answer. With any other one that the service serves, it may be anything:
// what stands before a node says 401 or 413 in words of its own.
func (e *Endpoint) Judge(status int, body []byte, encoded bool) Verdict {
	if encoded {
		return Garbled // nobody asked for it, and what stands in it can't be told
	}
	a, ok := readAnswer(body)
	switch {
	case !ok && status/100 == 2:
		return Garbled
	case !ok || a.data:
		return Served
	}
	for _, code := range a.codes {
		if slices.Contains(e.o.Unrun, code) {
			if len(a.codes) == a.errors && !slices.ContainsFunc(a.codes, func(c string) bool { return !slices.Contains(e.o.Unrun, c) }) {
				return Unrun // every error says so
			}
			return Failing
		}
	}
	for _, code := range a.codes {
		if slices.Contains(e.o.Failing, code) {
			return Failing
		}
	}
	return Served
}

// IsAnswer tells whether a body is a GraphQL answer, so that it may stand in a batch's array.
func IsAnswer(body []byte) bool {
	_, ok := readAnswer(body)
	return ok
}

// given is what an answer has.
type given struct {
	data   bool // and it is not null
	errors int
	codes  []string // of the errors that have one
}

// readAnswer reads an answer as the specification has it: an object with data, errors or both; errors are a list that is
// not empty, of objects with a message. Every byte is read: one that is cut, has a key twice or more than one value is none.
func readAnswer(body []byte) (a given, ok bool) {
	dec := jsontext.NewDecoder(bytes.NewBuffer(body))
	if dec.PeekKind() != '{' {
		return a, false
	}
	_, _ = dec.ReadToken() // it has been seen
	has := false
	for dec.PeekKind() != '}' {
		token, err := dec.ReadToken()
		if err != nil {
			return a, false
		}
		switch token.String() {
		case "data":
			has = true
			switch dec.PeekKind() {
			case '{':
				a.data = true
			case 'n':
			default:
				return a, false
			}
			err = dec.SkipValue()
		case "errors":
			has = true
			if dec.PeekKind() != '[' {
				return a, false
			}
			_, _ = dec.ReadToken() // it has been seen
			for dec.PeekKind() == '{' {
				code, good := readError(dec)
				if !good {
					return a, false
				}
				if a.errors++; code != "" {
					a.codes = append(a.codes, code)
				}
			}
			if _, err = dec.ReadToken(); err != nil || a.errors == 0 {
				return a, false
			}
		default:
			err = dec.SkipValue()
		}
		if err != nil {
			return a, false
		}
	}
	if _, err := dec.ReadToken(); err != nil {
		return a, false
	}
	if rest := body[dec.InputOffset():]; len(bytes.TrimLeft(rest, " \t\r\n")) > 0 {
		return a, false
	}
	return a, has
}

// readError reads one error's code.
func readError(dec *jsontext.Decoder) (code string, ok bool) {
	_, _ = dec.ReadToken() // its brace has been seen
	has := false
	for dec.PeekKind() != '}' {
		token, err := dec.ReadToken()
		if err != nil {
			return "", false
		}
		name := token.String()
		kind := dec.PeekKind()
		value, err := dec.ReadValue()
		if err != nil {
			return "", false
		}
		switch {
		case name == "message":
			if has = kind == '"'; !has {
				return "", false
			}
		case name == "extensions" && kind == '{':
			if c, there := variables(value)["code"]; there {
				code, _ = scalar(c, "")
			}
		}
	}
	_, err := dec.ReadToken()
	return code, has && err == nil
}
