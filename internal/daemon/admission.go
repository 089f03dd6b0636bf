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

// awaitAdmission waits until the service's admission queue admits the request. Without a queue it returns at once. rejected is the final
// answer to a request that is not admitted, of which nothing was sent to an upstream; it is nil if the request is admitted.
func (s *server) awaitAdmission(r *http.Request, service *service, req *downstream.Request, startedAt time.Duration,
	bodyBytes int) (permit controller.Permit, rejected *engine.Answer) {
	queue := service.admission.Load()
	if queue == nil {
		return controller.Permit{}, nil
	}
	retryMarker := r.Header.Get(queue.RetryHeader())
	permit, verdict, retryAfter := queue.Acquire(r.Context(), clientOf(r, req.Tenant), admission.Arrival{
		Class:       req.Class.Name,
		CostHint:    req.CostHint,
		ArrivedAt:   startedAt,
		Deadline:    startedAt + req.Timeout,
		Bytes:       int64(bodyBytes),
		Retry:       retryMarker != "" && retryMarker != "0",
		Fingerprint: fingerprint(req),
	})
	switch verdict {
	case controller.Rejected:
		return permit, &engine.Answer{Kind: engine.Rejected, RetryAfter: retryAfter}
	case controller.ClientLeft:
		return permit, &engine.Answer{Kind: engine.ClientGone}
	}
	return permit, nil
}

// fingerprint identifies a request by its method, target and idempotency key, which a client's retry repeats.
func fingerprint(req *downstream.Request) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [3]string{req.Method, req.Target, req.IdempotencyKey} {
		_, _ = h.WriteString(part) // a write to a hash never fails
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}

// clientOf describes the sender of a request to the admission queue.
func clientOf(r *http.Request, tenant string) admission.Client {
	return admission.Client{
		Tenant:      tenant,
		Header:      r.Header.Get,
		Peer:        func() netip.Addr { return peerAddress(r) },
		Certificate: func() string { return certificateName(r) },
	}
}

func peerAddress(r *http.Request) netip.Addr {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil { // cannot happen: net/http sets RemoteAddr to a valid address
		return netip.Addr{}
	}
	return address.Addr()
}

// certificateName returns the name in a client's certificate: its first URI, else its first DNS name, else its common name.
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
