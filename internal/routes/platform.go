package routes

import (
	"net/http"
	"strings"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// PlatformBody bounds a request's body by the platform's protocol, in bytes.
const PlatformBody = 32 << 20

// Platform is the platform's header rules as routes: the class is the path's first segment, its effect tells the method,
// and what is said in headers must agree. A class whose name is no segment of a path has no route.
func Platform(service string, classes []balancer.Class) (routes []*Route) {
	for i := range classes {
		class := &classes[i]
		method := http.MethodPost
		if class.Idempotency == balancer.Idempotent {
			method = http.MethodGet
		}
		if class.Name == "" || strings.ContainsAny(class.Name, "/%?") || checkUnambiguous("/"+class.Name) != nil {
			continue
		}
		r := Route{Service: service, Class: class, Key: Header(httpheader.IdempotencyKey), Tenant: Header(httpheader.Tenant),
			Cost: Header(httpheader.Cost), ID: Header(httpheader.RequestID), Deadline: Header(httpheader.Timeout), MaxBody: PlatformBody,
			ClassHeader: httpheader.Class, NeedID: true, StrictKey: true, GetOnly: true, CompleteOnly: true}
		first := segment{text: class.Name}
		for _, segments := range [][]segment{{first}, {first, {kind: multiWildcard}}} {
			of := r
			of.Pattern = &Pattern{Method: method, segments: segments, text: method + " /" + class.Name}
			if len(segments) == 2 {
				of.Pattern.text += "/"
			}
			routes = append(routes, &of)
		}
	}
	return routes
}
