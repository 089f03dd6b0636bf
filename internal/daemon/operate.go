package daemon

import (
	"net/http"

	"orchiddrift/internal/handover"
	"orchiddrift/internal/server/control"
)

// operate answers the operators' calls. Nothing in it waits for traffic: the figures are counters, and the module's lock is held
// for one decision at a time.
func (d *daemon) operate(c control.Call) control.Answer {
	say := func(ok bool, yes, no string) control.Answer {
		if ok {
			return control.Answer{Status: http.StatusOK, Body: yes}
		}
		return control.Answer{Status: http.StatusServiceUnavailable, Body: no}
	}
	get := c.Method == http.MethodGet || c.Method == http.MethodHead
	post := c.Method == http.MethodPost
	wrong := func(allow string) control.Answer {
		return control.Answer{Status: http.StatusMethodNotAllowed, Allow: allow, Body: "asked for with " + allow}
	}
	switch c.Path {
	case "/ready":
		if !get {
			return wrong("GET, HEAD")
		}
		return say(!d.course.stopping.Load() && d.ready() && d.succession.placed.Load(), "yes: "+d.course.state().String(), "no: "+d.why())
	case "/metrics":
		if !get {
			return wrong("GET, HEAD")
		}
		return control.Answer{Status: http.StatusOK, Body: d.read().Text()}
	case "/drain":
		if !post {
			return wrong("POST")
		}
		defer d.succession.tell(handover.Drain)
		return say(d.course.drain(), "draining", "no: "+d.why())
	case "/undrain":
		if !post {
			return wrong("POST")
		}
		defer d.succession.tell(handover.Undrain)
		return say(d.course.undrain(), "serving", "no: "+d.why())
	}
	return control.Answer{Status: http.StatusNotFound, Body: "known here: GET /ready, GET /metrics, POST /drain, POST /undrain"}
}

// why words what keeps the process from serving.
func (d *daemon) why() string {
	if d.course.stopping.Load() {
		return d.course.state().String()
	}
	if d.ready() {
		return "its predecessor has not heard of it yet"
	}
	return "no upstream is known"
}
