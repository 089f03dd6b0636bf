package routes

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// readFields reads the values of the route's sources, and checks them. path is the path as the route matched it.
func (t *Table) readFields(d *Decision, path string, request Request) *Rejection {
	route := d.Route
	get := func(source Source) string {
		value, _ := source.value(route.Pattern, path, request.Header)
		return value
	}
	d.ID = get(route.ID)
	if d.ID == "" && route.NeedID {
		return reject(http.StatusBadRequest, "one %s is needed", displayName(route.ID.header()))
	}
	if route.ClassHeader != "" {
		if rejection := t.checkClassName(request.Header.Get(route.ClassHeader), d.Class.Name); rejection != nil {
			return rejection
		}
	}
	if rejection := d.readKey(path, request.Header); rejection != nil {
		return rejection
	}
	if request.ContentLength != 0 && (request.Method == http.MethodGet || request.Method == http.MethodHead) {
		return reject(http.StatusBadRequest, "class %s has no body", d.Class.Name)
	}
	if rejection := d.checkPreconditions(request.Header); rejection != nil {
		return rejection
	}
	d.Tenant = get(route.Tenant)
	if rejection := d.readTimeout(get(route.Deadline)); rejection != nil {
		return rejection
	}
	if rejection := d.readCost(get(route.Cost)); rejection != nil {
		return rejection
	}
	if request.ContentLength > route.MaxBody {
		return reject(http.StatusRequestEntityTooLarge, "a body holds %d bytes at most", route.MaxBody)
	}
	return nil
}

// readKey reads the idempotency key. A request of a class that needs a key must have exactly one. By the platform's rules a request of
// any other class must have none.
func (d *Decision) readKey(path string, header http.Header) *Rejection {
	route := d.Route
	key, given := route.Key.value(route.Pattern, path, header)
	needed := d.Class.Idempotency == balancer.IdempotentWithKey
	switch {
	case needed && !given, route.StrictKey && needed != given:
		return reject(http.StatusBadRequest, "class %s: keyed is %v, and that is what a key says (%s)", d.Class.Name, needed,
			displayName(route.Key.header()))
	case needed && !isUsableKey(key):
		return reject(http.StatusBadRequest, "%s: one key is needed, without commas outside quotes", displayName(route.Key.header()))
	case needed:
		d.IdempotencyKey = key
	}
	return nil
}

// checkPreconditions rejects a request that has preconditions and is not idempotent, if only complete answers count as success.
func (d *Decision) checkPreconditions(header http.Header) *Rejection {
	if !d.Route.CompleteOnly || d.Class.Idempotency == balancer.Idempotent {
		return nil
	}
	for _, name := range preconditionHeaders {
		if _, given := header[name]; given {
			return reject(http.StatusBadRequest, "%s is not taken: an answer that it leads to can't be told from a failure", name)
		}
	}
	return nil
}

// readTimeout sets how long the client waits: the duration in text, but at most the class's deadline. If text is empty, it is the
// deadline.
func (d *Decision) readTimeout(text string) *Rejection {
	d.Timeout = d.Class.Deadline
	if text == "" {
		return nil
	}
	timeout, err := ParseTimeout(text)
	if err != nil {
		return reject(http.StatusBadRequest, "%s: %v", displayName(d.Route.Deadline.header()), err)
	}
	d.Timeout = min(timeout, d.Class.Deadline)
	return nil
}

// readCost sets the expected work from a number of microseconds. If text is empty, the expected work is unknown.
func (d *Decision) readCost(text string) *Rejection {
	if text == "" {
		return nil
	}
	microseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(microseconds >= 0) || microseconds > float64(maxClientDuration/time.Microsecond) {
		return reject(http.StatusBadRequest, "%s: %q is not a usable number of microseconds", displayName(d.Route.Cost.header()), text)
	}
	d.CostHint = time.Duration(microseconds * float64(time.Microsecond))
	return nil
}

// maxClientDuration bounds the durations that clients send: timeouts and expected work.
const maxClientDuration = time.Hour

// ParseTimeout parses a number with a unit: m for milliseconds or u for microseconds.
func ParseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	value, err := strconv.ParseFloat(number, 64)
	timeout := value * float64(unit)
	if !ok || err != nil || math.IsNaN(value) || value < 0 || timeout > float64(maxClientDuration) {
		return 0, fmt.Errorf("%q is not a usable number with the unit m or u", text)
	}
	return time.Duration(timeout), nil
}

// Forward returns the headers that are forwarded to an upstream.
func (d *Decision) Forward(received http.Header) http.Header {
	header := httpheader.EndToEnd(received)
	delete(header, httpheader.Timeout)
	if d.Route.CompleteOnly {
		for _, name := range preconditionHeaders {
			delete(header, name)
		}
		for _, name := range partialAnswerHeaders {
			delete(header, name)
		}
	}
	return header
}
