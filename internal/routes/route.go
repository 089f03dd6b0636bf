package routes

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"orchiddrift/balancer"
)

// Route says what the requests of a pattern are. A nil Class leaves that to the method: Read for GET, HEAD and OPTIONS,
// Write for all others.
type Route struct {
	Pattern     *Pattern
	Service     string
	Class       *balancer.Class
	Read, Write *balancer.Class

	Key, Tenant, Cost, ID, Deadline Source

	// Repeats are the methods which HTTP calls unsafe that may all the same reach a class that is safe to repeat.
	Repeats []string
	MaxBody int64 // bytes

	// Endpoint names what decides on the requests' classes in place of the route, by their bodies; empty: the route does.
	Endpoint string

	// What the platform's header rules add, see Platform.
	ClassHeader  string // names the class again, where it is there
	NeedID       bool   // a request without ID is turned down; else one is made
	StrictKey    bool   // a key on a class that is not keyed is turned down
	GetOnly      bool   // GET is not for HEAD too
	CompleteOnly bool   // only whole answers count: what asks for another is not passed on
}

// class is what a request of this method is by this route; nil: it is not for this method.
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
		return nil // who only reads the route's pattern must not make a method repeatable
	}
	return r.Class
}

// allowed lists the methods that a route is for, as far as they can be listed.
func (r *Route) allowed() (methods []string) {
	for _, m := range append([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete}, r.Repeats...) {
		of := r.Pattern.Method
		matches := of == "" || of == m || of == http.MethodGet && m == http.MethodHead
		if matches && r.class(m) != nil && !slices.Contains(methods, m) {
			methods = append(methods, m)
		}
	}
	return methods
}

// maxTimeout bounds what a client may say that it waits, or that its request costs.
const maxTimeout = time.Hour

// ParseTimeout reads a number and a unit: m milliseconds or u microseconds.
func ParseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if d := v * float64(unit); !ok || err != nil || math.IsNaN(v) || v < 0 || d > float64(maxTimeout) {
		return 0, fmt.Errorf("%q is not a usable number with the unit m or u", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// Unreachable tells why the route's class can't be reached by the one method that its pattern is for; or nothing.
func (r *Route) Unreachable() string {
	if m := r.Pattern.Method; m != "" && r.class(m) == nil {
		return "class " + r.Class.Name + " may be repeated, and " + m + " is not safe by HTTP: say repeats = [\"" + m + "\"] if it is"
	}
	return ""
}
