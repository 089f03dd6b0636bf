package eureka

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"orchiddrift/internal/endpoints"
)

// registry is the client's copy of the registry's instances. It is a state machine: documents in, changes of the
// upstreams out. It does no I/O.
type registry struct {
	mapping Mapping
	apps    map[string]bool // those that are wanted, in capitals; empty: all
	now     map[string]entry
	counts  map[string]int // instances by the status that the registry counts
	told    map[string]endpoints.Endpoint
	unusual int // wanted instances without a usable address
}

// entry is an instance in the copy; of those that are not wanted only the status counts.
type entry struct {
	status string
	wanted bool
	e      endpoints.Endpoint
}

func newRegistry(m Mapping, apps []string) *registry {
	r := &registry{mapping: m, apps: map[string]bool{}, told: map[string]endpoints.Endpoint{}}
	for _, a := range apps {
		r.apps[strings.ToUpper(a)] = true
	}
	r.clear()
	return r
}

func (r *registry) clear() { r.now, r.counts = map[string]entry{}, map[string]int{} }

// put takes an instance of a whole document, or an action of a delta.
func (r *registry) put(i *instance) error {
	key := strings.ToUpper(i.app) + "\x00" + i.key()
	if was, there := r.now[key]; there {
		if r.counts[was.status]--; r.counts[was.status] == 0 {
			delete(r.counts, was.status)
		}
		if was.wanted && was.e.Name == "" {
			r.unusual--
		}
		delete(r.now, key)
	}
	if i.action == "DELETED" {
		return nil
	}
	n := entry{status: i.status, wanted: len(r.apps) == 0 || r.apps[strings.ToUpper(i.app)]}
	if n.wanted {
		var ok bool
		if n.e, ok = r.mapping.endpoint(i); !ok {
			n.e = endpoints.Endpoint{}
			r.unusual++
		}
	}
	r.counts[i.status]++
	r.now[key] = n
	return nil
}

// hash is the registry's own sum over its instances: each status, in order, with its number, DOWN_1_UP_7_.
func (r *registry) hash() string {
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(r.counts)) {
		b.WriteString(status + "_" + strconv.Itoa(r.counts[status]) + "_")
	}
	return b.String()
}

// news is what changed since news was last asked for; whole: all of it. Where the copy can't be trusted to be whole,
// partial has what is missing from it stay.
func (r *registry) news(whole, partial bool) *endpoints.List {
	l := &endpoints.List{Snapshot: whole}
	seen := make(map[string]bool, len(r.told))
	for _, n := range r.now {
		if n.e.Name == "" {
			continue
		}
		seen[n.e.Name] = true
		if was, there := r.told[n.e.Name]; whole || !there || was != n.e {
			l.Endpoints = append(l.Endpoints, n.e)
		}
		r.told[n.e.Name] = n.e
	}
	for name, e := range r.told {
		if seen[name] || partial {
			continue
		}
		e.Status = endpoints.StatusGone
		if !whole {
			l.Endpoints = append(l.Endpoints, e)
		}
		delete(r.told, name)
	}
	slices.SortFunc(l.Endpoints, func(a, b endpoints.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return l
}
