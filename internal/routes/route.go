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

	// Class is the class of the requests. If it is nil, the method decides: requests with GET, HEAD or OPTIONS have the class Read, all
	// others Write.
	Class       *balancer.Class
	Read, Write *balancer.Class

	Key, Tenant, Cost, ID, Deadline Source

	// Repeats are unsafe methods of HTTP that the route accepts although its class is idempotent.
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
	CompleteOnly bool   // only complete answers are successes: headers that request other answers are not forwarded
}

// class returns the class of requests with a method, or nil if the route is not for the method.
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

// allowed returns the methods among listedMethods and Repeats that the route accepts.
func (r *Route) allowed() []string {
	var methods []string
	for _, method := range slices.Concat(listedMethods, r.Repeats) {
		if r.Pattern.matchesMethod(method) && r.class(method) != nil && !slices.Contains(methods, method) {
			methods = append(methods, method)
		}
	}
	return methods
}

// Unreachable returns the reason why requests with the one method of the route's pattern cannot have the route's class. It returns an
// empty text if they can, or if the pattern is for any method.
func (r *Route) Unreachable() string {
	method := r.Pattern.Method
	if method == "" || r.class(method) != nil {
		return ""
	}
	return "class " + r.Class.Name + " may be repeated, but " + method + " is not safe by HTTP: set repeats = [\"" + method + "\"] if its requests may be repeated"
}
