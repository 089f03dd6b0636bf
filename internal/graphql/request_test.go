package graphql

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against forwarding a body that an upstream may read in another way than the sidecar: such bodies must be rejected. No body may
// take long to reject.
func TestParseBody(t *testing.T) {
	e := endpoint(t, "", nil)
	hash := strings.Repeat("ab", 32)
	for body, want := range map[string]string{
		`{"query":"{seats}"}`:                                                         "search",
		" \n{\"query\":\"{seats}\"}\n":                                                "search",
		`{"query":"{seats}","query":"mutation{confirm}"}`:                             CodeRequest,
		`{"query":"{seats}","qu\u0065ry":"mutation{x}"}`:                              CodeRequest,
		`{"qu\u0065ry":"mutation{confirm}"}`:                                          "confirm",
		`{"query":"{seats}","Query":"mutation{confirm}"}`:                             CodeRequest,
		`{"query":"{seats}","id":"` + hash + `"}`:                                     CodeRequest,
		"\xef\xbb\xbf" + `{"query":"{seats}"}`:                                        CodeRequest,
		"{\"query\":\"{seats}\",\"operationName\":\"\xff\"}":                          CodeRequest,
		`{"query":"{seats}","operationName":"\ud800"}`:                                CodeRequest,
		`{"query":"{seats}"}{"query":"mutation{confirm}"}`:                            CodeRequest,
		`{"query":"{seats}"} x`:                                                       CodeRequest,
		`{"query":"{seats}"`:                                                          CodeRequest,
		`{"query":["{seats}"]}`:                                                       CodeRequest,
		`{"query":"{seats}","variables":[]}`:                                          CodeRequest,
		`{"query":"{seats}","variables":{"a":{"b":1,"b":2}}}`:                         CodeRequest,
		`{"query":"{seats}","variables":null,"operationName":null,"extensions":null}`: "search",
		`{"query":"{seats}","variables":{"a":"` + strings.Repeat("x", 33<<10) + `"}}`: CodeLimit,
		`{"query":"\ufeff{seats}"}`:                                                   "search", // the specification ignores a byte order mark in the document
		`{"query":"{ seats # }\n }"}`:                                                 "search",
		`"{seats}"`:                                                                   CodeRequest,
		``:                                                                            CodeRequest,
		`[]`:                                                                          CodeRequest,
		`{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"` + hash + `"}}}`: CodePersistedNotSupported,
		`{"extensions":{"persistedQuery":{"version":2,"sha256Hash":"` + hash + `"}}}`: CodeRequest,
		`{"extensions":{"persistedQuery":7}}`:                                         CodeRequest,
		strings.Repeat("{", 64<<10):                                                   CodeRequest,
		strings.Repeat(`{"query":`, 7<<10):                                            CodeRequest, `{"query":"{seats}","variables":` + strings.Repeat(`{"a":`, 101) + "1" + strings.Repeat("}", 101) + "}": CodeRequest,
		requestBody(strings.Repeat("{", 64<<10)):                                  CodeParse,
		"[" + strings.Repeat(`{"query":"{seats}"},`, 10) + `{"query":"{seats}"}]`: CodeRequest,
	} {
		begun := time.Now()
		if _, got := decide(e, body); got != want {
			t.Errorf("body %.120q: got %s, want %s", body, got, want)
		}
		if took := time.Since(begun); took > 500*time.Millisecond { // 5 ms on an idle machine, by cmd/measure
			t.Errorf("body %.60q took %v to decide, want at most 500 ms", body, took)
		}
	}
	// The forwarded body must have one form, whatever form the client sent.
	d, _ := decide(e, `{"extensions":{"a":[1, 2],"persistedQuery":{"version":1,"sha256Hash":"`+hash+`"}},"variables":{"v":"\u0041"},"qu\u0065ry":"{seats}"}`)
	if got, want := string(d.Body), `{"query":"{seats}","variables":{"v":"\u0041"},"extensions":{"a":[1, 2]}}`; got != want {
		t.Errorf("forwarded body is %s, want %s", got, want)
	}
}

// Guards against a mutation by GET that is accepted, and against a parameter that occurs twice and is accepted although upstreams may
// use either value.
func TestParseURLQuery(t *testing.T) {
	e := endpoint(t, "", nil)
	for raw, want := range map[string]string{
		"query={seats}": "search", "query=mutation{confirm}": "405", "query={seats}&query=mutation{confirm}": CodeRequest,
		"query={seats}&Query=x": CodeRequest, "query=query+A{seats}mutation+B{confirm}&operationName=B": "405",
		"query=query+A{seats}mutation+B{confirm}&operationName=A": "search", "query=%ff": CodeRequest, "query=%zz": CodeRequest,
		"query={seats}&variables=%7B%22a%22:1%7D": "search", "query={seats}&variables={": CodeRequest, "query={seats}&variables=": "search",
		"variables={}": CodeRequest, "query={seats};x=1": CodeRequest,
	} {
		request, problem := ParseURLQuery(raw, e.Limits())
		got := ""
		if problem == nil {
			var d Decision
			if d, problem = e.Decide(&request.Params[0], true, nil); problem == nil {
				got = d.Class.Name
			}
		}
		if problem != nil {
			if got = problem.Code; problem.Status != 400 {
				got = fmt.Sprint(problem.Status)
			}
		}
		if got != want {
			t.Errorf("URL query %s: got %s, want %s", raw, got, want)
		}
	}
	for raw, want := range map[string]bool{"": true, "a=1": true, "query=x": false, "QUERY=x": false, "extensions": false, "a;b": false} {
		if HasNoParameters(raw) != want {
			t.Errorf("HasNoParameters(%q) is %v, want the opposite", raw, !want)
		}
	}
}

func TestNegotiateMedia(t *testing.T) {
	for accept, want := range map[string]string{"": MediaResponse, "*/*": MediaResponse, "application/json": MediaJSON,
		"application/graphql-response+json, application/json;q=0.9": MediaResponse, "application/*;q=0.1, application/json": MediaJSON,
		"application/json;q=0.2,application/graphql-response+json;q=0.1": MediaJSON, "text/html": "", "application/json;q=0": "",
		"application/json; charset=utf-8": MediaJSON, "application/json;q=x": "", "*/*, application/graphql-response+json;q=0": MediaJSON} {
		var list []string
		if accept != "" {
			list = []string{accept}
		}
		if got, ok := NegotiateMedia(list); got != want || ok != (want != "") {
			t.Errorf("NegotiateMedia for Accept %q returned %q, which is not the expected media type or result", accept, got)
		}
	}
	for kind, want := range map[string]bool{"application/json": true, "application/JSON; charset=UTF-8": true, `application/json;charset="utf-8"`: true,
		"application/json;charset=utf-16": false, "text/plain": false, "": false, "application/jsonp": false} {
		if IsJSON(kind) != want {
			t.Errorf("IsJSON(%q) is %v, want the opposite", kind, !want)
		}
	}
}
