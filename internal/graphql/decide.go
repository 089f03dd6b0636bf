package graphql

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/vektah/gqlparser/v2/ast"

	"orchiddrift/balancer"
)

// Decision is what an operation is.
type Decision struct {
	Kind     OperationKind
	Class    *Class
	Key      string        // of a keyed class
	Cost     float64       // the static estimate
	CostHint time.Duration // what such an operation is expected to take; 0: nothing is known yet
	Body     []byte        // what goes on to a node, by POST
	Name     string        // the operation's; it is the client's word

	signature string
}

type valueOf = map[string]jsontext.Value

// Decide returns what an operation is, or why it is rejected. get says that the request's method is GET, which is for queries only. header
// is the request's, for keys in it; nil for an entry of a batch, since a header is of the batch.
func (e *Endpoint) Decide(p *Params, get bool, header http.Header) (Decision, *Problem) {
	text, trusted, bad := e.resolveText(p)
	if bad != nil {
		return Decision{}, bad
	}
	doc, ok := e.documents.get(text)
	if !ok {
		if doc, bad = e.parse(text); bad != nil {
			return Decision{}, bad
		}
		e.documents.put(text, doc, doc.size)
	}
	op, bad := doc.operation(p.Operation)
	if bad != nil {
		return Decision{}, bad
	}
	d := Decision{Name: op.name, signature: op.signature}
	switch op.kind {
	case ast.Subscription:
		return d, newProblem(CodeSubscription, "subscriptions are not served here")
	case ast.Mutation:
		if d.Kind = Mutation; get {
			return d, &Problem{Status: http.StatusMethodNotAllowed, Code: CodeRequest, Message: "a mutation is asked for with POST", Allow: http.MethodPost}
		}
	}
	var vars valueOf
	lazily := func() valueOf {
		if vars == nil {
			vars = objectMembers(p.Variables)
		}
		return vars
	}
	d.Class, d.Key = e.classify(op, d.Kind, lazily, header)
	if named := e.operationClasses[op.name]; named != nil && op.name != "" && (trusted || named.Idempotency >= d.Class.Idempotency) &&
		(d.Kind == Query || named.Idempotency == balancer.NonIdempotent) {
		d.Class, d.Key = named, ""
	}
	if d.Cost = op.fixedCost; d.Cost < 0 {
		d.Cost = (&costEstimator{vars: lazily(), defs: op.variableDefinitions, memo: map[*costNode]float64{}}).sum(op.costTree, nil, 1)
	}
	if most := e.options.Limits.Cost; most > 0 && d.Cost > most {
		return d, newProblem(CodeLimit, "the operation's cost is %.4g, %.4g at most", d.Cost, most)
	}
	e.mu.Lock()
	d.CostHint = e.durations.estimate(op.signature, d.Cost)
	e.mu.Unlock()
	var err error
	if d.Body, err = p.encode(text); err != nil {
		return d, malformed("the query can't be written: %v", err)
	}
	return d, nil
}

// classify is an operation's, by its kind and its root fields.
func (e *Endpoint) classify(op *operation, kind OperationKind, vars func() valueOf, header http.Header) (*Class, string) {
	typ := rootType(op.kind)
	all := make([]*Class, 0, 4)
	var keyed *Class
	key, byHeader := "", 0
	for i := range op.roots {
		r := &op.roots[i]
		rule := e.fieldRules[typ+"."+r.name]
		switch {
		case r.name == "__typename" && len(op.roots) > 1: // it does nothing
		case rule == nil:
			all = append(all, e.classes[kind])
		case rule.key == "":
			all = append(all, rule.class)
		default:
			k, ok := "", false
			if name, is := strings.CutPrefix(rule.key, headerKey); is {
				byHeader++ // one key can't be that of two fields: a node would drop the second as the first one's repeat
				if v := header.Values(name); len(v) == 1 && byHeader == 1 {
					k, ok = v[0], v[0] != "" && len(v[0]) <= maxKey
				}
			} else {
				k, ok = r.keyOf(rule.key, vars, op.variableDefinitions)
			}
			if !ok || keyed != nil && keyed != rule.class { // of two classes no group of nodes drops the repeats of both
				all = append(all, e.classes[kind])
				break
			}
			keyed, key = rule.class, k
			all = append(all, rule.class)
		}
	}
	if len(all) == 0 {
		return e.classes[kind], ""
	}
	c := strictest(all)
	if c.Idempotency != balancer.IdempotentWithKey {
		key = ""
	}
	return c, key
}

// RecordDuration records how long an operation that was answered took.
func (e *Endpoint) RecordDuration(d *Decision, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.durations.add(d.signature, d.Cost, took)
}

// strictest picks of an operation's classes the one whose Effect allows least; of those alike the one that is worth least, so
// that a field more buys nothing, then the one with the later deadline.
func strictest(all []*Class) *Class {
	return slices.MinFunc(all, func(a, b *Class) int {
		return cmp.Or(-cmp.Compare(a.Idempotency, b.Idempotency), cmp.Compare(a.PriorityWeight, b.PriorityWeight), -cmp.Compare(a.Deadline, b.Deadline))
	})
}
