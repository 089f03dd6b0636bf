package routes

import (
	"net/http"
	"strconv"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// readFields reads what the route's sources say.
func (t *Table) readFields(d *Decision, path string, q Request) *Rejection {
	r, class := d.Route, d.Class
	get := func(s Source) string {
		v, _ := s.value(r.Pattern, path, q.Header)
		return v
	}
	if d.ID = get(r.ID); d.ID == "" && r.NeedID {
		return reject(http.StatusBadRequest, "one %s is needed", displayName(r.ID.header()))
	}
	if name := q.Header.Get(r.ClassHeader); r.ClassHeader != "" && name != "" && name != class.Name {
		if !t.classes[name] {
			return reject(http.StatusNotFound, "unknown class %q", name)
		}
		return reject(http.StatusBadRequest, "the header names class %q, the path %q", name, class.Name)
	}
	key, has := r.Key.value(r.Pattern, path, q.Header)
	switch keyed := class.Idempotency == balancer.IdempotentWithKey; {
	case keyed && !has, r.StrictKey && keyed != has:
		return reject(http.StatusBadRequest, "class %s: keyed is %v, and that is what a key says (%s)", class.Name, keyed,
			displayName(r.Key.header()))
	case keyed && !isUsableKey(key):
		return reject(http.StatusBadRequest, "%s: one key is needed, without commas outside quotes", displayName(r.Key.header()))
	case keyed:
		d.IdempotencyKey = key
	}
	if q.ContentLength != 0 && (q.Method == http.MethodGet || q.Method == http.MethodHead) {
		return reject(http.StatusBadRequest, "class %s has no body", class.Name)
	}
	if class.Idempotency != balancer.Idempotent {
		for _, name := range preconditionHeaders {
			if _, has := q.Header[name]; has && r.CompleteOnly {
				return reject(http.StatusBadRequest, "%s is not taken: an answer that it leads to can't be told from a failure", name)
			}
		}
	}
	d.Tenant, d.Timeout = get(r.Tenant), class.Deadline
	if text := get(r.Deadline); text != "" {
		timeout, err := ParseTimeout(text)
		if err != nil {
			return reject(http.StatusBadRequest, "%s: %v", displayName(r.Deadline.header()), err)
		}
		d.Timeout = min(timeout, class.Deadline)
	}
	if text := get(r.Cost); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0) || us > maxTimeout.Seconds()*1e6 {
			return reject(http.StatusBadRequest, "%s: %q is not a usable number of microseconds", displayName(r.Cost.header()), text)
		}
		d.CostHint = time.Duration(us * float64(time.Microsecond))
	}
	if q.ContentLength > r.MaxBody {
		return reject(http.StatusRequestEntityTooLarge, "a body holds %d bytes at most", r.MaxBody)
	}
	return nil
}

// Forward is the headers that go on to an upstream.
func (d *Decision) Forward(h http.Header) http.Header {
	header := httpheader.EndToEnd(h)
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
