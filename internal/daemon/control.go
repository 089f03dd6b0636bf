package daemon

import (
	"net/http"

	"orchiddrift/internal/handover"
	"orchiddrift/internal/server/control"
)

// Values of the Allow header in answers to operators.
const (
	allowRead  = "GET, HEAD"
	allowWrite = "POST"
)

// handleControl answers an operator's request. It never waits for client traffic: metrics are counters, and the engine's lock is held for
// one decision at a time.
func (d *daemon) handleControl(c control.Call) control.Answer {
	read := c.Method == http.MethodGet || c.Method == http.MethodHead
	write := c.Method == http.MethodPost
	switch c.Path {
	case "/ready":
		if !read {
			return methodNotAllowed(allowRead)
		}
		ready := !d.lifecycle.stopping.Load() && d.ready() && d.upgrade.established.Load()
		return yesOrNo(ready, "yes: "+d.lifecycle.state().String(), "no: "+d.notReadyReason())
	case "/metrics":
		if !read {
			return methodNotAllowed(allowRead)
		}
		return control.Answer{Status: http.StatusOK, Body: d.readMetrics().Text()}
	case "/drain":
		if !write {
			return methodNotAllowed(allowWrite)
		}
		defer d.upgrade.notifyPeers(handover.Drain)
		return yesOrNo(d.lifecycle.drain(), "draining", "no: "+d.notReadyReason())
	case "/undrain":
		if !write {
			return methodNotAllowed(allowWrite)
		}
		defer d.upgrade.notifyPeers(handover.Undrain)
		return yesOrNo(d.lifecycle.undrain(), "serving", "no: "+d.notReadyReason())
	}
	return control.Answer{Status: http.StatusNotFound, Body: "known here: GET /ready, GET /metrics, POST /drain, POST /undrain"}
}

func methodNotAllowed(allow string) control.Answer {
	return control.Answer{Status: http.StatusMethodNotAllowed, Allow: allow, Body: "asked for with " + allow}
}

// yesOrNo answers 200 with the text yes, or 503 with the text no.
func yesOrNo(ok bool, yes, no string) control.Answer {
	if ok {
		return control.Answer{Status: http.StatusOK, Body: yes}
	}
	return control.Answer{Status: http.StatusServiceUnavailable, Body: no}
}

// notReadyReason returns why the process does not serve.
func (d *daemon) notReadyReason() string {
	switch {
	case d.lifecycle.stopping.Load():
		return d.lifecycle.state().String()
	case d.ready():
		return "its predecessor has not heard of it yet"
	}
	return "no upstream is known"
}
