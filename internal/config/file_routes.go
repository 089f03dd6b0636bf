package config

import (
	"fmt"
	"net/http"

	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/settings"
)

// placedRoute is a route with the key of its declaration in the operator's file. The key is empty for a route of the platform.
type placedRoute struct {
	route *routes.Route
	at    string
}

// reporter reports a problem at a key, which is relative to the part of the file that is being checked.
type reporter func(key, format string, args ...any)

func (b *planBuilder) addRoutes(at string, added []*routes.Route) {
	for _, route := range added {
		b.routes = append(b.routes, placedRoute{route: route, at: at})
	}
}

// addDeclaredRoutes adds the routes of the operator's file. If it has a single service and no routes, a catch-all route is added.
func (b *planBuilder) addDeclaredRoutes() {
	for i := range b.file.Routes {
		at := fmt.Sprintf("route[%d]", i)
		b.addRoutes(at+".match", b.makeRoutes(&b.file.Routes[i], func(key, format string, args ...any) {
			b.document.Report(at+key, format, args...)
		}))
	}
	if len(b.file.Routes) > 0 || len(b.file.GraphQL) > 0 {
		return
	}
	if len(b.plan.Services) == 1 && b.platform == nil { // the platform's service has its own routes
		catchAll := routes.Declaration{Match: "/", Key: routes.Header(httpheader.IdempotencyKey), MaxBody: routes.MaxMaxBody}
		b.addRoutes("route.match", b.makeRoutes(&catchAll, func(_, format string, args ...any) {
			b.document.Report("route", format, args...) // the added route has no keys in the file
		}))
		return
	}
	if len(b.file.Services) > 0 {
		b.document.Report("route", "missing: at least one [[route]] is needed if there is more than one service")
	}
}

// makeRoutes returns the routes of one declaration, or none if the declaration has a problem.
func (b *planBuilder) makeRoutes(declared *routes.Declaration, report reporter) []*routes.Route {
	service := b.serviceOrOnly(declared.Service, report)
	if service == nil {
		return nil
	}
	if declared.Set != "" {
		return routes.Platform(service.Name, service.Settings.Classes)
	}
	route, err := declared.Route()
	if err != nil {
		return nil // reported by its Check
	}
	route.Service = service.Name
	if !setClass(route, declared.Class, service, report) {
		return nil
	}
	if reason := route.Unreachable(); reason != "" {
		report(".class", "%s", reason)
	}
	route.CompleteOnly = completeOnly(service.SuccessStatuses)
	return []*routes.Route{route}
}

// setClass sets the class of a route to the class with the given name. If the name is empty, it sets the two classes between which the
// method decides. It reports whether the service has these classes.
func setClass(route *routes.Route, name string, service *ServicePlan, report reporter) bool {
	route.Class = service.class(name)
	if route.Class != nil {
		return true
	}
	if name != "" {
		report(".class", "service %s has no class %q", service.Name, name)
		return false
	}
	route.Read, route.Write = service.class(settings.ReadClass), service.class(settings.WriteClass)
	if route.Read == nil || route.Write == nil {
		report(".class", "missing: service %s has no classes %q and %q for the method to decide between", service.Name, settings.ReadClass,
			settings.WriteClass)
		return false
	}
	return true
}

// completeOnly reports whether only complete answers of a service's upstreams count as success. This is the case if any status of the
// answers to range and conditional requests counts as a failure.
func completeOnly(success *httpheader.Statuses) bool {
	return !success.Has(http.StatusNotModified) || !success.Has(http.StatusPartialContent) || !success.Has(http.StatusPreconditionFailed)
}

// markUnrouted marks the services of the file that no route leads to.
func (b *planBuilder) markUnrouted() {
	routed := map[string]bool{Platform: true}
	for _, placed := range b.routes {
		routed[placed.route.Service] = true
	}
	for i := range b.plan.Services {
		b.plan.Services[i].Unrouted = !routed[b.plan.Services[i].Name]
	}
}

// buildRouteTable makes the table of all routes, and reports routes that conflict.
func (b *planBuilder) buildRouteTable() {
	var all []*routes.Route
	for _, placed := range b.routes {
		all = append(all, placed.route)
	}
	table, conflicts := routes.New(all)
	for _, conflict := range conflicts {
		first, second := b.routes[conflict.First], b.routes[conflict.Second]
		place := "the platform's rules"
		if first.at != "" {
			place = fmt.Sprintf("line %d", b.document.Line(first.at))
		}
		b.document.Report(second.at, "conflicts with %s: %s", place, routes.Describe(first.route.Pattern, second.route.Pattern))
	}
	b.plan.Table = table
}
