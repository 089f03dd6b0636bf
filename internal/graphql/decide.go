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

// Decision is the classification of an operation, and the request that is forwarded for it.
type Decision struct {
	Kind     OperationKind
	Class    *Class
	Key      string        // idempotency key; empty unless the class is keyed
	Cost     float64       // static estimate, in units of field weight
	CostHint time.Duration // expected duration, from earlier operations of this kind; 0 if unknown
	Body     []byte        // body of the POST to the upstream
	Name     string        // the operation's name, as chosen by the client

	signature string
}

// valueOf holds the JSON values of an operation's variables, by name.
type valueOf = map[string]jsontext.Value

// Decide classifies an operation, or returns the problem for which the operation is rejected. get says that the request's method is GET,
// which is for queries only. header has the request's headers, in which keys are looked up. It is nil for an entry of a batch, since the
// headers belong to all entries.
func (e *Endpoint) Decide(p *Params, get bool, header http.Header) (Decision, *Problem) {
	text, trusted, problem := e.resolveText(p)
	if problem != nil {
		return Decision{}, problem
	}
	doc, ok := e.documents.get(text)
	if !ok {
		if doc, problem = e.parse(text); problem != nil {
			return Decision{}, problem
		}
		e.documents.put(text, doc, doc.size)
	}
	op, problem := doc.operation(p.Operation)
	if problem != nil {
		return Decision{}, problem
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
	variables := func() valueOf {
		if vars == nil {
			vars = objectMembers(p.Variables)
		}
		return vars
	}
	d.Class, d.Key = e.classify(op, d.Kind, variables, header)
	if named := e.operationClasses[op.name]; named != nil && op.name != "" && (trusted || named.Idempotency >= d.Class.Idempotency) &&
		(d.Kind == Query || named.Idempotency == balancer.NonIdempotent) {
		d.Class, d.Key = named, ""
	}
	if d.Cost = op.fixedCost; d.Cost < 0 {
		d.Cost = (&costEstimator{vars: variables(), defs: op.variableDefinitions, memo: map[*costNode]float64{}}).sum(op.costTree, nil, 1)
	}
	if limit := e.options.Limits.Cost; limit > 0 && d.Cost > limit {
		return d, newProblem(CodeLimit, "the operation's cost is %.4g, %.4g at most", d.Cost, limit)
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

// classify returns the class and the idempotency key of an operation, by its kind and its root fields.
func (e *Endpoint) classify(op *operation, kind OperationKind, vars func() valueOf, header http.Header) (*Class, string) {
	typ := rootType(op.kind)
	candidates := make([]*Class, 0, 4)
	var keyed *Class
	key, headerKeys := "", 0
	for i := range op.roots {
		field := &op.roots[i]
		rule := e.fieldRules[typ+"."+field.name]
		switch {
		case field.name == "__typename" && len(op.roots) > 1: // this field has no effect
		case rule == nil:
			candidates = append(candidates, e.classes[kind])
		case rule.key == "":
			candidates = append(candidates, rule.class)
		default:
			fieldKey, ok := "", false
			if name, inHeader := strings.CutPrefix(rule.key, headerKey); inHeader {
				headerKeys++ // two fields cannot share a key: an upstream would drop the second as a duplicate of the first
				if v := header.Values(name); len(v) == 1 && headerKeys == 1 {
					fieldKey, ok = v[0], v[0] != "" && len(v[0]) <= maxKey
				}
			} else {
				fieldKey, ok = field.keyOf(rule.key, vars, op.variableDefinitions)
			}
			if !ok || keyed != nil && keyed != rule.class { // no group of upstreams detects duplicates for two classes
				candidates = append(candidates, e.classes[kind])
				break
			}
			keyed, key = rule.class, fieldKey
			candidates = append(candidates, rule.class)
		}
	}
	if len(candidates) == 0 {
		return e.classes[kind], ""
	}
	c := strictest(candidates)
	if c.Idempotency != balancer.IdempotentWithKey {
		key = ""
	}
	return c, key
}

// RecordDuration records how long an upstream took to answer an operation. CostHint is estimated from these durations.
func (e *Endpoint) RecordDuration(d *Decision, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.durations.add(d.signature, d.Cost, took)
}

// strictest returns the class with the strictest Idempotency. Among equally strict classes it returns the class with the lowest
// PriorityWeight, so that a client gains no priority by adding a field. If the weights are equal as well, it returns the class with the
// longest deadline.
func strictest(classes []*Class) *Class {
	return slices.MinFunc(classes, func(a, b *Class) int {
		return cmp.Or(-cmp.Compare(a.Idempotency, b.Idempotency), cmp.Compare(a.PriorityWeight, b.PriorityWeight), -cmp.Compare(a.Deadline, b.Deadline))
	})
}
