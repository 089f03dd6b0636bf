package eureka

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"orchiddrift/internal/tlscredentials"
)

// Registration makes this process known in a registry as long as it runs.
type Registration struct {
	d      Declaration
	client *client
	keys   *tlscredentials.Store
	log    *slog.Logger
	rng    *rand.Rand
	app    string
	id     string
	host   string
	port   string
	drain  chan struct{}
}

// NewRegistration returns one for a process of that name that listens there; Run makes it work.
func NewRegistration(d Declaration, name, listen string, connect time.Duration, seed uint64, log *slog.Logger) (*Registration, error) {
	r := &Registration{d: d, log: cmp.Or(log, slog.New(slog.DiscardHandler)), rng: rand.New(rand.NewPCG(seed, 0x7265676973746572)),
		app: strings.ToUpper(d.Register.Application), drain: make(chan struct{}, 1)}
	address := cmp.Or(d.Register.Address, listen)
	var err error
	if r.host, r.port, err = net.SplitHostPort(address); err != nil {
		return nil, fmt.Errorf("eureka %s: register: %w", d.Name, err)
	}
	if ip := net.ParseIP(r.host); ip == nil || ip.IsUnspecified() {
		return nil, fmt.Errorf("eureka %s: register.address: %s is nowhere to be found at", d.Name, address)
	}
	r.id = cmp.Or(d.Register.ID, strings.Trim(name+":"+address, ":"))
	r.client, r.keys, err = newClient(d, connect, r.log)
	return r, err
}

// Drain has the registry told that nothing new is wanted. It does not block.
func (r *Registration) Drain() {
	select {
	case r.drain <- struct{}{}:
	default:
	}
}

// endPatience is how long the registration's end may hold up the process.
const endPatience = 500 * time.Millisecond

// Run registers, renews, and withdraws the registration when ctx ends.
func (r *Registration) Run(ctx context.Context) {
	defer r.client.http.CloseIdleConnections()
	rest, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if r.keys != nil {
		over := make(chan struct{})
		go func() { defer close(over); r.keys.Run(rest) }()
		defer func() { stop(); <-over }()
	}
	l := newLease(time.Now(), r.d.Register.Renew.D())
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := ctx.Done()
	for {
		select {
		case <-timer.C:
		case <-r.drain:
			l.drain(time.Now())
		case <-done:
			done = nil
			l.end(time.Now())
			var last context.CancelFunc
			rest, last = context.WithTimeout(rest, endPatience)
			defer last()
		}
		for {
			c, due := l.next(time.Now())
			if c == callNone {
				if due.IsZero() {
					return
				}
				timer.Reset(time.Until(due))
				break
			}
			calling := rest
			if done != nil {
				calling = ctx
			}
			err := r.call(calling, c)
			o := callDone
			switch {
			case isStatus(err, http.StatusNotFound):
				o = callUnknown
			case err != nil:
				o = callFailed
				r.log.Warn("registering failed", "registry", r.d.Name, "id", r.id, "reason", err)
			case c == callRegister:
				r.log.Info("registered", "registry", r.d.Name, "id", r.id)
			}
			l.done(time.Now(), c, o, r.rng.Float64())
			if done != nil && ctx.Err() != nil {
				break // the end comes first
			}
		}
	}
}

func (r *Registration) call(ctx context.Context, c call) error {
	at := "/apps/" + url.PathEscape(r.app)
	mine := at + "/" + url.PathEscape(r.id)
	switch c {
	case callRegister:
		body, err := json.Marshal(map[string]any{"instance": r.document()})
		if err != nil {
			return err
		}
		return r.client.say(ctx, http.MethodPost, at, string(body))
	case callOutOfService:
		return r.client.say(ctx, http.MethodPut, mine+"/status?value="+statusOutOfService, "")
	case callCancel:
		return r.client.say(ctx, http.MethodDelete, mine, "")
	}
	return r.client.say(ctx, http.MethodPut, mine, "")
}

// document is the instance as the registry wants it.
func (r *Registration) document() map[string]any {
	n, _ := strconv.Atoi(r.port) // it has been split off an address that is listened at
	renew := int(r.d.Register.Renew.D().Seconds())
	metadata := map[string]string{"product": "orchiddrift"}
	for k, v := range r.d.Register.Metadata {
		metadata[k] = v
	}
	return map[string]any{
		"instanceId": r.id, "hostName": r.host, "app": r.app, "ipAddr": r.host, "status": statusUp,
		"vipAddress":     cmp.Or(r.d.Register.VIP, strings.ToLower(r.app)),
		"port":           map[string]any{"$": n, "@enabled": "true"},
		"securePort":     map[string]any{"$": 443, "@enabled": "false"},
		"dataCenterInfo": map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
		"leaseInfo":      map[string]any{"renewalIntervalInSecs": renew, "durationInSecs": 3 * renew},
		"metadata":       metadata,
	}
}
