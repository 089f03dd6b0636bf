package grpcbalancer

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/discovery"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
)

// primarySourceName names, among the merged sources, the source whose list comes from Discovery or SetEndpoints.
const primarySourceName = "list"

// openSource returns the source of the endpoint list and the initial list. The source is nil if the list is given with SetEndpoints alone.
// With registries, it is p.mergedSource.
func (p *Plugin) openSource(o checkedOptions, log *slog.Logger) (endpoints.Source, *endpoints.List, error) {
	var primary endpoints.Source
	if o.Discovery != "" {
		primary = discovery.NewWatcher(discovery.WatcherOptions{
			Address:        o.Discovery,
			Index:          o.Version,
			ConnectTimeout: p.connectTimeout,
			Staleness:      staleness.Options{Pushed: !o.settings.MustSubscribe, FleetSize: o.settings.FleetSize},
			Seed:           o.Seed,
			Log:            log,
		})
	}
	if len(o.file.Registries) == 0 {
		return primary, o.initialList, nil
	}
	sources := []discovery.NamedSource{{Name: primarySourceName, Source: primary, Initial: o.initialList, Primary: true}}
	for _, registry := range o.file.Registries {
		source, err := eureka.New(registry, p.connectTimeout, o.Seed^xxhash.Sum64String(registry.Name), log)
		if err != nil {
			return nil, nil, err
		}
		sources = append(sources, discovery.NamedSource{Name: registry.Name, Source: source})
	}
	merged, err := discovery.NewMergedSource(o.file.Membership, log, sources...)
	if err != nil {
		return nil, nil, err
	}
	p.mergedSource = merged
	return merged, merged.Load(), nil
}

// SetEndpoints replaces the endpoint list. When it returns, no new attempt is sent to an upstream that the list does not contain. It fails
// and changes nothing if the list comes from Discovery or if the new list is invalid.
func (p *Plugin) SetEndpoints(list []Endpoint) error {
	if !p.listFromCaller {
		return errors.New("orchidgrpc: SetEndpoints: the endpoint list comes from Discovery")
	}
	p.setEndpointsMu.Lock()
	defer p.setEndpointsMu.Unlock()
	l, err := endpointList(list, 0)
	if err != nil {
		return fmt.Errorf("orchidgrpc: SetEndpoints: %w", err)
	}
	if p.mergedSource != nil {
		p.mergedSource.Update(primarySourceName, l)
		return nil
	}
	p.sink.Update(l)
	return nil
}

// endpointList returns a snapshot of the given version. It returns an error if a name is empty or occurs twice, or if an address is
// invalid.
func endpointList(list []Endpoint, version int64) (*endpoints.List, error) {
	l := &endpoints.List{Index: &version, Snapshot: true}
	names := map[string]bool{}
	for _, e := range list {
		if e.Name == "" || names[e.Name] {
			return nil, fmt.Errorf("endpoint name %q is empty or occurs twice", e.Name)
		}
		names[e.Name] = true
		if err := endpoints.CheckAddress(e.Address); err != nil {
			return nil, fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		startedMs := 0.0
		if !e.Since.IsZero() {
			startedMs = float64(e.Since.UnixMilli())
		}
		l.Endpoints = append(l.Endpoints, endpoints.Endpoint{
			Name:        e.Name,
			Address:     e.Address,
			Zone:        e.Zone,
			MachineType: e.Type,
			Cell:        endpoints.CellOfGroup(e.Group),
			Status:      endpoints.StatusReady,
			StartedMs:   startedMs,
			TLSIdentity: e.Identity,
		})
	}
	return l, nil
}
