package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/parser"
)

// Error codes of a node that serves GraphQL.
const (
	GraphQLNotExecuted = "OVERLOADED"          // the operation was not executed
	GraphQLFailed      = "SERVICE_UNAVAILABLE" // the operation failed
)

// ListenGraphQL makes the node serve GraphQL over HTTP at address, and returns the address. It reads requests as a lenient
// server does: with the standard library's decoder, which ignores the case of keys and takes the last of duplicate keys. It
// executes the operation that operationName selects.
//
// The ledger records an execution under the value of an argument called id, key or requestId, which may be a field of an
// input object, or else under the ID of the request. The argument requestId is also the idempotency key. The argument cost
// is the work in microseconds. The class is "query" or "mutation".
func (n *Node) ListenGraphQL(address string) (string, error) {
	return n.listen(address, func(c net.Conn) { n.serveHTTP(c, graphqlJob) })
}

const graphqlHeaders = "Content-Type: application/graphql-response+json\r\n"

func graphqlError(message, code string) []byte {
	return []byte(`{"errors":[{"message":` + strconv.Quote(message) + `,"extensions":{"code":` + strconv.Quote(code) + `}}]}`)
}

func graphqlJob(req *http.Request, payload []byte) parsedRequest {
	s := parsedRequest{headers: graphqlHeaders, notExecutedBody: graphqlError("full", GraphQLNotExecuted), errorBody: graphqlError("failed", GraphQLFailed)}
	badRequest := func(message string) parsedRequest {
		s.errorStatus, s.errorBody = "400 Bad Request", graphqlError(message, "BAD_REQUEST")
		return s
	}
	var r struct {
		Query, OperationName string
		Variables            map[string]any
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return badRequest(err.Error())
	}
	doc, err := parser.ParseQuery(&ast.Source{Input: r.Query})
	if err != nil {
		return badRequest(err.Error())
	}
	op := doc.Operations.ForName(r.OperationName)
	if op == nil || len(op.SelectionSet) == 0 {
		return badRequest("no such operation")
	}
	s.job = Job{ID: req.Header.Get("X-Request-ID"), Class: string(op.Operation), Payload: payload}
	var names []string
	eachField(doc, op.SelectionSet, func(f *ast.Field) {
		names = append(names, f.Alias)
		for _, a := range f.Arguments {
			value, _ := a.Value.Value(r.Variables) // a value that cannot be evaluated is ignored
			s.job.setArgument(a.Name, value)
		}
	})
	s.answer = func(node []byte) []byte {
		data := make(map[string]string, len(names))
		for _, name := range names {
			data[name] = string(node)
		}
		body, _ := json.Marshal(map[string]any{"data": data}) // a map of strings can always be encoded
		return body
	}
	return s
}

// setArgument sets a job's operation, key or work from an argument of these names, or from the fields of an input object.
func (j *Job) setArgument(name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, value := range v {
			j.setArgument(name, value)
		}
	case string:
		switch name {
		case "id", "key":
			j.Op = v
		case "requestId":
			j.Op, j.Key = v, v
		}
	case int64:
		if name == "cost" {
			j.Work = time.Duration(v) * time.Microsecond
		}
	case float64:
		if name == "cost" {
			j.Work = time.Duration(v * float64(time.Microsecond))
		}
	}
}

// eachField visits the fields of a selection set, including those of fragments.
func eachField(doc *ast.QueryDocument, set ast.SelectionSet, visit func(*ast.Field)) {
	for _, s := range set {
		switch s := s.(type) {
		case *ast.Field:
			visit(s)
		case *ast.InlineFragment:
			eachField(doc, s.SelectionSet, visit)
		case *ast.FragmentSpread:
			if f := doc.Fragments.ForName(s.Name); f != nil {
				eachField(doc, f.SelectionSet, visit)
			}
		}
	}
}
