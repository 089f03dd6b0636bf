package routes

import (
	"net/http"
	"slices"

	"orchiddrift/balancer"
)

// Route determines the service, the class and further properties of the requests that match a pattern.
type Route struct {
	Pattern *Pattern
	Service string

	// Class is the class of the requests; nil: the method decides, Read for GET, HEAD and OPTIONS and Write for all others.
	Class       *balancer.Class
	Read, Write *balancer.Class

	Key, Tenant, Cost, ID, Deadline Source

	// Repeats are unsafe methods of HTTP that may nevertheless reach an idempotent class.
	Repeats []string
	MaxBody int64 // bytes

	// Endpoint identifies the GraphQL endpoint that determines the class of a request by its body, instead of the route. If it is empty, the
	// route determines the class.
	Endpoint string

	// Fields of the platform's rules, see Platform.
	ClassHeader  string // header that must name the same class if it is present
	NeedID       bool   // a request without an id is rejected; otherwise an id is generated
	StrictKey    bool   // a key on a class that needs none is rejected
	GetOnly      bool   // GET does not include HEAD
	CompleteOnly bool   // only complete answers are successes: headers that request others are not forwarded
}

// class returns the class of requests of a method; nil: the route is not for the method.
func (r *Route) class(method string) *balancer.Class {
	reads := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	switch {
	case method == http.MethodConnect || method == http.MethodTrace:
		return nil
	case r.GetOnly && method == http.MethodHead:
		return nil
	case r.Class == nil && reads:
		return r.Read
	case r.Class == nil:
		return r.Write
	case r.Class.Idempotency == balancer.Idempotent && !reads && !slices.Contains(r.Repeats, method):
		return nil // an unsafe method is retried only if the operator lists it
	}
	return r.Class
}

// listedMethods are the methods that an Allow header may list, beside a route's Repeats.
var listedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete}

// allowed returns those of listedMethods and Repeats that the route is for.
func (r *Route) allowed() []string {
	var methods []string
	for _, method := range slices.Concat(listedMethods, r.Repeats) {
		if r.Pattern.matchesMethod(method) && r.class(method) != nil && !slices.Contains(methods, method) {
			methods = append(methods, method)
		}
	}
	return methods
}

// Unreachable returns why the route's class cannot be reached by the one method that its pattern is for; empty: it can.
func (r *Route) Unreachable() string {
	method := r.Pattern.Method
	if method == "" || r.class(method) != nil {
		return ""
	}
	return "class " + r.Class.Name + " may be repeated, but " + method + " is not safe by HTTP: set repeats = [\"" + method + "\"] if its requests may be repeated"
}
