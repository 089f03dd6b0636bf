package main

import (
	"fmt"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
)

const (
	heartbeat    = 2 * time.Second  // of a watch that is well
	readyTimeout = 30 * time.Second // a sidecar is ready by then
	endTimeout   = 10 * time.Second // a planned restart: the longest deadline (3 s at most) and 0.7 s, with room
)

// window is how long the nodes of a group drop a repeat; settings.json says the same.
const window = 6 * time.Second

// fleet is a small deployment: nodes in zones, a discovery that lists them, and where the sidecar listens.
type fleet struct {
	trial         *trial
	nodes         []*node
	discovery     *fakes.Discovery
	listen        string
	address       string          // of discovery
	known         *endpoints.List // as the sidecar last had it, before its first start
	env           []string
	keyed, unsafe string // names of classes
	safe          string
	starts        int
}

// newFleet starts nodes, two in each zone, and discovery, and writes the configuration of a sidecar.
func (t *trial) newFleet(window time.Duration, zones ...string) (*fleet, error) {
	f := &fleet{trial: t}
	var entries []endpoints.Endpoint
	for _, zone := range zones {
		g := newGroup(window)
		for i := range 2 {
			n, err := t.newNode(fmt.Sprintf("%s-%d", zone, i+1), zone, g)
			if err != nil {
				return nil, err
			}
			f.nodes = append(f.nodes, n)
			entries = append(entries, n.entry())
		}
	}
	f.discovery = fakes.NewDiscovery(entries...)
	f.discovery.Heartbeat = heartbeat
	address, err := f.discovery.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if f.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	f.address, f.known = address, f.discovery.List()
	for effect, name := range map[string]*string{"dedup": &f.keyed, "fragile": &f.unsafe, "retryable": &f.safe} {
		if *name, err = t.class(effect); err != nil {
			return nil, err
		}
	}
	f.env = []string{"GW_LISTEN=" + f.listen, "GW_DISCOVERY=" + address, "GW_NAME=n0"}
	return f, nil
}

// useOperatorFile has the sidecar read operator.toml of the case's folder beside the platform's file.
func (f *fleet) useOperatorFile(words map[string]string) error {
	text, err := f.trial.data("operator.toml", words)
	if err != nil {
		return err
	}
	path, err := f.trial.write("operator.toml", text)
	f.env = append(f.env, "ORCHIDDRIFT_FILE="+path)
	return err
}

// start starts the sidecar once more.
func (f *fleet) start() (*sidecar, error) {
	f.starts++
	config, err := f.trial.platformFile(f.listen, f.address, f.known, f.starts)
	if err != nil {
		return nil, err
	}
	return f.trial.start(fmt.Sprintf("sidecar, start %d", f.starts), f.listen, append([]string{"GW_CONFIG=" + config}, f.env...)...)
}

// startReady starts the sidecar and waits until it is ready.
func (f *fleet) startReady() (*sidecar, error) {
	s, err := f.start()
	if err != nil {
		return nil, err
	}
	if !s.awaitReady(readyTimeout) {
		s.noteLog()
		return nil, fmt.Errorf("%s was not ready", s.name)
	}
	return s, nil
}

// set changes what all nodes do, or those of one zone.
func (f *fleet) set(zone string, b behaviour) {
	for _, n := range f.nodes {
		if zone == "" || n.zone == zone {
			n.set(b)
		}
	}
}

// runs returns the executions of a key at all nodes.
func (f *fleet) runs(key string) (of []execution) {
	for _, n := range f.nodes {
		of = append(of, n.runs(key)...)
	}
	return of
}

// payment is a keyed request.
func (f *fleet) payment(key string, timeout time.Duration) request {
	return request{method: "POST", path: "/" + f.keyed + "/u" + key, class: f.keyed, key: key, body: `{"amount":700,"key":"` + key + `"}`, timeout: timeout}
}

// useEureka starts a registry and adds it to the operator's file.
func (f *fleet) useEureka() (*fakes.Eureka, error) {
	registry, err := fakes.NewEureka(fakes.EurekaOptions{})
	if err != nil {
		return nil, err
	}
	return registry, f.useOperatorFile(map[string]string{"EUREKA": registry.Base})
}

// register registers a node, which is up. Its zone is told if it has one.
func register(registry *fakes.Eureka, n *node) {
	host, port := splitAddress(n.address)
	i := fakes.EurekaInstance{App: "SEATS", ID: n.name, Host: host, IP: host, Port: port, Status: "UP"}
	if n.zone != "" {
		i.Metadata = map[string]string{"zone": n.zone}
	}
	registry.Put(i)
}
