package daemon

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/admission"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/server/downstream"
)

// awaitAdmission has a request wait until its turn has come, where its service has a door. The answer is not nil where it goes no
// further: nothing of it was sent.
func (s *server) awaitAdmission(r *http.Request, svc *service, req *downstream.Request, begun time.Duration, body int) (controller.Permit, *engine.Answer) {
	k := svc.admission.Load()
	if k == nil {
		return controller.Permit{}, nil
	}
	marked := r.Header.Get(k.RetryHeader())
	pass, verdict, in := k.Acquire(r.Context(), clientOf(r, req.Tenant), admission.Arrival{Class: req.Class.Name, CostHint: req.CostHint, ArrivedAt: begun,
		Deadline: begun + req.Timeout, Bytes: int64(body), Retry: marked != "" && marked != "0", Fingerprint: fingerprint(req)})
	switch verdict {
	case controller.Rejected:
		return pass, &engine.Answer{Kind: engine.Rejected, RetryAfter: in}
	case controller.ClientLeft:
		return pass, &engine.Answer{Kind: engine.ClientGone}
	}
	return pass, nil
}

// fingerprint tells requests apart: method, target and key, which a client's repeat has again.
func fingerprint(req *downstream.Request) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [3]string{req.Method, req.Target, req.IdempotencyKey} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}

// clientOf is what is known of a request's sender.
func clientOf(r *http.Request, tenant string) admission.Client {
	return admission.Client{Tenant: tenant, Header: r.Header.Get,
		Peer: func() netip.Addr {
			a, err := netip.ParseAddrPort(r.RemoteAddr)
			if err != nil { // the library writes it
				return netip.Addr{}
			}
			return a.Addr()
		},
		Certificate: func() string { return certificateName(r) }}
}

// certificateName is the name that a client's certificate bears: its first URI, else its first DNS name, else its common
// name.
func certificateName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	switch c := r.TLS.PeerCertificates[0]; {
	case len(c.URIs) > 0:
		return c.URIs[0].String()
	case len(c.DNSNames) > 0:
		return c.DNSNames[0]
	default:
		return c.Subject.CommonName
	}
}
