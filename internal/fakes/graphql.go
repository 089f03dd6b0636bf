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

// Codes of errors of a fake GraphQL node.
const (
	GraphQLNotExecuted = "OVERLOADED"          // it has not run
	GraphQLFailed      = "SERVICE_UNAVAILABLE" // it has failed
)

// ListenGraphQL makes the node serve GraphQL over HTTP at address, and returns where. It reads requests as a lenient server
// does: with the standard library's decoder, which takes keys in other letters and the last of two, and runs the operation
// that operationName selects. Each execution of a mutation is a run in the ledger, of the operation that the first argument
// called id, key or requestId names, in an input too; queries by the request's id. The argument requestId is the key
// by which repeats are dropped. An argument cost is the work, in microseconds. The class is "query" or "mutation".
func (n *Node) ListenGraphQL(address string) (string, error) {
	return n.listen(address, func(c net.Conn) { n.serveHTTP(c, graphqlJob) })
}

const graphqlHeaders = "Content-Type: application/graphql-response+json\r\n"

func graphqlError(message, code string) []byte {
	return []byte(`{"errors":[{"message":` + strconv.Quote(message) + `,"extensions":{"code":` + strconv.Quote(code) + `}}]}`)
}

func graphqlJob(req *http.Request, payload []byte) spoken {
	s := spoken{headers: graphqlHeaders, unrunned: graphqlError("full", GraphQLNotExecuted), failed: graphqlError("failed", GraphQLFailed)}
	refuse := func(message string) spoken {
		s.refusal, s.failed = "400 Bad Request", graphqlError(message, "BAD_REQUEST")
		return s
	}
	var r struct {
		Query, OperationName string
		Variables            map[string]any
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return refuse(err.Error())
	}
	doc, err := parser.ParseQuery(&ast.Source{Input: r.Query})
	if err != nil {
		return refuse(err.Error())
	}
	op := doc.Operations.ForName(r.OperationName)
	if op == nil || len(op.SelectionSet) == 0 {
		return refuse("no such operation")
	}
	s.job = Job{ID: req.Header.Get("X-Request-ID"), Class: string(op.Operation), Payload: payload}
	var names []string
	eachField(doc, op.SelectionSet, func(f *ast.Field) {
		names = append(names, f.Alias)
		for _, a := range f.Arguments {
			value, _ := a.Value.Value(r.Variables) // what can't be read names nothing
			s.job.argument(a.Name, value)
		}
	})
	s.answer = func(node []byte) []byte {
		data := make(map[string]string, len(names))
		for _, name := range names {
			data[name] = string(node)
		}
		body, _ := json.Marshal(map[string]any{"data": data}) // texts can be written
		return body
	}
	return s
}

func (j *Job) argument(name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, value := range v {
			j.argument(name, value)
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

// eachField visits the fields of a selection, fragments included.
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
