package daemon

import (
	"context"
	"sync"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery/eureka"
)

// registrationConnectTimeout is the connect timeout towards registries in which the process registers itself.
const registrationConnectTimeout = time.Second

// registrations holds the process's registrations in service registries.
type registrations struct {
	all  []*eureka.Registration
	stop context.CancelFunc
	done sync.WaitGroup
}

// register starts the registrations that the operator's file asks for.
func (d *daemon) register(p *config.Plan) (*registrations, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &registrations{stop: stop}
	for _, declared := range p.Registrations {
		registration, err := eureka.NewRegistration(declared, p.Name, d.listener.Addr().String(), registrationConnectTimeout, p.Seed, d.log)
		if err != nil {
			stop()
			return nil, err
		}
		r.all = append(r.all, registration)
	}
	for _, registration := range r.all {
		r.done.Go(func() { registration.Run(ctx) })
	}
	return r, nil
}

// drain notifies the registries that the process should get no new requests.
func (r *registrations) drain() {
	for _, registration := range r.all {
		registration.Drain()
	}
}

// stopAll withdraws the registrations and returns once they are withdrawn.
func (r *registrations) stopAll() {
	r.stop()
	r.done.Wait()
}
