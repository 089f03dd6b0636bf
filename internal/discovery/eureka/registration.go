package eureka

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"orchiddrift/internal/tlscredentials"
)

const (
	deregisterTimeout      = 500 * time.Millisecond // longest time by which deregistering delays the end of the process
	leaseDurationIntervals = 3                      // a lease expires after this number of renewal intervals
	unusedSecurePort       = 443
	registrationStream     = 0x7265676973746572 // selects the random number stream of the seed
)

// Registration keeps this process registered in a registry while Run runs.
type Registration struct {
	declaration Declaration
	client      *client
	credentials *tlscredentials.Store // nil if no TLS is configured
	log         *slog.Logger
	rng         *rand.Rand
	application string
	id          string
	host        string
	port        string
	drain       chan struct{}
}

// NewRegistration returns the registration of the process with the given name and listen address. Run registers the process.
func NewRegistration(d Declaration, name, listen string, connectTimeout time.Duration, seed uint64, log *slog.Logger) (*Registration, error) {
	r := &Registration{
		declaration: d,
		log:         cmp.Or(log, slog.New(slog.DiscardHandler)),
		rng:         rand.New(rand.NewPCG(seed, registrationStream)),
		application: strings.ToUpper(d.Register.Application),
		drain:       make(chan struct{}, 1),
	}
	address := cmp.Or(d.Register.Address, listen)
	var err error
	if r.host, r.port, err = net.SplitHostPort(address); err != nil {
		return nil, fmt.Errorf("eureka %s: register: %w", d.Name, err)
	}
	if ip := net.ParseIP(r.host); ip == nil || ip.IsUnspecified() {
		return nil, fmt.Errorf("eureka %s: register.address: %s is not an IP address that other hosts can connect to", d.Name, address)
	}
	r.id = cmp.Or(d.Register.ID, strings.Trim(name+":"+address, ":"))
	r.client, r.credentials, err = newClient(d, connectTimeout, r.log)
	return r, err
}

// Drain makes Run set the instance's status to out of service, since the process wants no new requests. It does not block.
func (r *Registration) Drain() {
	select {
	case r.drain <- struct{}{}:
	default:
	}
}

// Run registers the process, renews the lease, and cancels the lease when ctx ends.
func (r *Registration) Run(ctx context.Context) {
	defer r.client.http.CloseIdleConnections()
	cleanupCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if r.credentials != nil {
		credentialsDone := make(chan struct{})
		go func() { defer close(credentialsDone); r.credentials.Run(cleanupCtx) }()
		defer func() { stop(); <-credentialsDone }()
	}
	l := newLease(time.Now(), r.declaration.Register.Renew.D())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.drain:
			l.drain(time.Now())
		case <-ctx.Done():
			l.end(time.Now())
			r.cancel(cleanupCtx, l)
			return
		}
		if dueAt, ok := r.makeDueCalls(ctx, l); ok {
			timer.Reset(time.Until(dueAt))
		}
	}
}

// makeDueCalls makes the calls that are due, and returns the time at which the next call is due. It returns false if ctx has ended.
func (r *Registration) makeDueCalls(ctx context.Context, l *lease) (dueAt time.Time, ok bool) {
	for {
		call, dueAt := l.next(time.Now())
		if call == callNone {
			return dueAt, true
		}
		r.makeCall(ctx, l, call)
		if ctx.Err() != nil {
			return time.Time{}, false
		}
	}
}

// cancel makes the last call of an ending lease, which cancels the lease if the process is registered.
func (r *Registration) cancel(ctx context.Context, l *lease) {
	ctx, stop := context.WithTimeout(ctx, deregisterTimeout)
	defer stop()
	for {
		call, _ := l.next(time.Now())
		if call == callNone {
			return
		}
		r.makeCall(ctx, l, call)
	}
}

// makeCall makes one call to the registry and reports the call's outcome to the lease.
func (r *Registration) makeCall(ctx context.Context, l *lease, call leaseCall) {
	err := r.send(ctx, call)
	outcome := outcomeDone
	switch {
	case isStatus(err, http.StatusNotFound):
		outcome = outcomeUnknown
	case err != nil:
		outcome = outcomeFailed
		r.log.Warn("registration call failed", "registry", r.declaration.Name, "id", r.id, "reason", err)
	case call == callRegister:
		r.log.Info("registered", "registry", r.declaration.Name, "id", r.id)
	}
	l.done(time.Now(), call, outcome, r.rng.Float64())
}

func (r *Registration) send(ctx context.Context, call leaseCall) error {
	applicationPath := allApplicationsPath + "/" + url.PathEscape(r.application)
	instancePath := applicationPath + "/" + url.PathEscape(r.id)
	switch call {
	case callRegister:
		body, err := json.Marshal(map[string]any{"instance": r.instanceDocument()})
		if err != nil {
			return err
		}
		return r.client.execute(ctx, http.MethodPost, applicationPath, string(body))
	case callOutOfService:
		return r.client.execute(ctx, http.MethodPut, instancePath+"/status?value="+statusOutOfService, "")
	case callCancel:
		return r.client.execute(ctx, http.MethodDelete, instancePath, "")
	}
	return r.client.execute(ctx, http.MethodPut, instancePath, "")
}

// instanceDocument returns this process's instance in the form that the registry expects.
func (r *Registration) instanceDocument() map[string]any {
	register := &r.declaration.Register
	port, _ := strconv.Atoi(r.port) // valid, since the process listens at this address
	renewSeconds := int(register.Renew.D().Seconds())
	metadata := map[string]string{"product": "orchiddrift"}
	maps.Copy(metadata, register.Metadata)
	return map[string]any{
		"instanceId": r.id, "hostName": r.host, "app": r.application, "ipAddr": r.host, "status": statusUp,
		"vipAddress":     cmp.Or(register.VIP, strings.ToLower(r.application)),
		"port":           map[string]any{"$": port, "@enabled": "true"},
		"securePort":     map[string]any{"$": unusedSecurePort, "@enabled": "false"},
		"dataCenterInfo": map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
		"leaseInfo":      map[string]any{"renewalIntervalInSecs": renewSeconds, "durationInSecs": leaseDurationIntervals * renewSeconds},
		"metadata":       metadata,
	}
}
