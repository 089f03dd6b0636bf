package routes

import (
	"net/http"
	"strings"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// PlatformBody is the largest body of a request by the platform's protocol, in bytes.
const PlatformBody = 32 << 20

// Platform returns the platform's rules as routes. The first segment of a request's path is the name of its class, the idempotency of
// the class determines the method, and the headers must agree with both. A class whose name cannot be a segment of a path has no route.
func Platform(service string, classes []balancer.Class) []*Route {
	var routes []*Route
	for i := range classes {
		class := &classes[i]
		if class.Name == "" || strings.ContainsAny(class.Name, "/%?") || checkUnambiguous("/"+class.Name) != nil {
			continue
		}
		method := http.MethodPost
		if class.Idempotency == balancer.Idempotent {
			method = http.MethodGet
		}
		text, first := method+" /"+class.Name, segment{text: class.Name}
		routes = append(routes,
			platformRoute(service, class, &Pattern{Method: method, segments: []segment{first}, text: text}),
			platformRoute(service, class, &Pattern{Method: method, segments: []segment{first, {kind: multiWildcard}}, text: text + "/"}))
	}
	return routes
}

func platformRoute(service string, class *balancer.Class, pattern *Pattern) *Route {
	return &Route{
		Pattern:      pattern,
		Service:      service,
		Class:        class,
		Key:          Header(httpheader.IdempotencyKey),
		Tenant:       Header(httpheader.Tenant),
		Cost:         Header(httpheader.Cost),
		ID:           Header(httpheader.RequestID),
		Deadline:     Header(httpheader.Timeout),
		MaxBody:      PlatformBody,
		ClassHeader:  httpheader.Class,
		NeedID:       true,
		StrictKey:    true,
		GetOnly:      true,
		CompleteOnly: true,
	}
}
