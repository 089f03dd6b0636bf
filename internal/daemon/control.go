package daemon

import (
	"net/http"

	"orchiddrift/internal/handover"
	"orchiddrift/internal/server/control"
)

// handleControl answers the operators' calls. Nothing in it waits for traffic: the figures are counters, and the module's lock is held
// for one decision at a time.
func (d *daemon) handleControl(c control.Call) control.Answer {
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
		return say(!d.lifecycle.stopping.Load() && d.ready() && d.upgrade.established.Load(), "yes: "+d.lifecycle.state().String(), "no: "+d.notReadyReason())
	case "/metrics":
		if !get {
			return wrong("GET, HEAD")
		}
		return control.Answer{Status: http.StatusOK, Body: d.readMetrics().Text()}
	case "/drain":
		if !post {
			return wrong("POST")
		}
		defer d.upgrade.notifyPeers(handover.Drain)
		return say(d.lifecycle.drain(), "draining", "no: "+d.notReadyReason())
	case "/undrain":
		if !post {
			return wrong("POST")
		}
		defer d.upgrade.notifyPeers(handover.Undrain)
		return say(d.lifecycle.undrain(), "serving", "no: "+d.notReadyReason())
	}
	return control.Answer{Status: http.StatusNotFound, Body: "known here: GET /ready, GET /metrics, POST /drain, POST /undrain"}
}

// notReadyReason words what keeps the process from serving.
func (d *daemon) notReadyReason() string {
	if d.lifecycle.stopping.Load() {
		return d.lifecycle.state().String()
	}
	if d.ready() {
		return "its predecessor has not heard of it yet"
	}
	return "no upstream is known"
}
