package eureka

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"orchiddrift/internal/endpoints"
)

// instanceCache is the client's copy of the registry's instances. It takes documents and returns the changes of the endpoints. It has no
// I/O.
type instanceCache struct {
	mapping      Mapping
	applications map[string]bool // that are wanted, in capitals; empty: all
	instances    map[string]cachedInstance
	statusCounts map[string]int // instances by status, for hash
	unusable     int            // wanted instances without a usable address
	reported     map[string]endpoints.Endpoint
}

// cachedInstance is an instance in the cache. Of one that is not wanted only the status counts.
type cachedInstance struct {
	status   string
	isWanted bool
	endpoint endpoints.Endpoint // without a name: it is unusable
}

func newInstanceCache(m Mapping, applications []string) *instanceCache {
	c := &instanceCache{mapping: m, applications: map[string]bool{}, reported: map[string]endpoints.Endpoint{}}
	for _, a := range applications {
		c.applications[strings.ToUpper(a)] = true
	}
	c.clear()
	return c
}

// clear forgets all instances, but not what was reported.
func (c *instanceCache) clear() {
	c.instances, c.statusCounts, c.unusable = map[string]cachedInstance{}, map[string]int{}, 0
}

// put takes an instance of a whole document, or an action of a delta. Its error is always nil; it is a document's visit.
func (c *instanceCache) put(i *instance) error {
	key := strings.ToUpper(i.application) + "\x00" + i.key()
	c.remove(key)
	if i.action == actionDeleted {
		return nil
	}
	cached := cachedInstance{status: i.status, isWanted: len(c.applications) == 0 || c.applications[strings.ToUpper(i.application)]}
	if cached.isWanted {
		if e, ok := c.mapping.endpoint(i); ok {
			cached.endpoint = e
		} else {
			c.unusable++
		}
	}
	c.statusCounts[i.status]++
	c.instances[key] = cached
	return nil
}

func (c *instanceCache) remove(key string) {
	was, ok := c.instances[key]
	if !ok {
		return
	}
	if c.statusCounts[was.status]--; c.statusCounts[was.status] == 0 {
		delete(c.statusCounts, was.status)
	}
	if was.isWanted && was.endpoint.Name == "" {
		c.unusable--
	}
	delete(c.instances, key)
}

// hash returns the registry's checksum over its instances: each status in order with its count, DOWN_1_UP_7_.
func (c *instanceCache) hash() string {
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(c.statusCounts)) {
		b.WriteString(status + "_" + strconv.Itoa(c.statusCounts[status]) + "_")
	}
	return b.String()
}

// changes returns what changed since the last call, or with snapshot all endpoints. With partial the cache may lack instances: what is
// missing from it stays.
func (c *instanceCache) changes(snapshot, partial bool) *endpoints.List {
	l := &endpoints.List{Snapshot: snapshot}
	present := make(map[string]bool, len(c.reported))
	for _, cached := range c.instances {
		e := cached.endpoint
		if e.Name == "" {
			continue
		}
		present[e.Name] = true
		if was, ok := c.reported[e.Name]; snapshot || !ok || was != e {
			l.Endpoints = append(l.Endpoints, e)
		}
		c.reported[e.Name] = e
	}
	for name, e := range c.reported {
		if present[name] || partial {
			continue
		}
		if !snapshot {
			e.Status = endpoints.StatusGone
			l.Endpoints = append(l.Endpoints, e)
		}
		delete(c.reported, name)
	}
	slices.SortFunc(l.Endpoints, func(a, b endpoints.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return l
}
