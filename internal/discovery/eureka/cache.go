package eureka

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"orchiddrift/internal/endpoints"
)

// instanceCache is the client's copy of the registry's instances. It applies documents and returns the changes of the endpoints. It does
// no I/O.
type instanceCache struct {
	mapping      Mapping
	applications map[string]bool // wanted applications, in upper case; if empty, all are wanted
	instances    map[string]cachedInstance
	statusCounts map[string]int                // number of instances with each status, for hash
	unusable     int                           // number of wanted instances without a usable address
	reported     map[string]endpoints.Endpoint // the endpoints as last returned by changes, by name
}

// cachedInstance is an instance in the cache. If its application is unwanted, only its status is used, to compute the hash.
type cachedInstance struct {
	status   string
	isWanted bool
	endpoint endpoints.Endpoint // without a name if the instance has no usable address
}

func newInstanceCache(m Mapping, applications []string) *instanceCache {
	c := &instanceCache{mapping: m, applications: map[string]bool{}, reported: map[string]endpoints.Endpoint{}}
	for _, a := range applications {
		c.applications[strings.ToUpper(a)] = true
	}
	c.clear()
	return c
}

// clear removes all instances. The endpoints that were reported stay in c.reported.
func (c *instanceCache) clear() {
	c.instances, c.statusCounts, c.unusable = map[string]cachedInstance{}, map[string]int{}, 0
}

// put stores an instance of a full document, or applies an instance of a delta. It always returns nil; it has an error result so that it
// can be used as a document's visit function.
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

// hash returns the checksum that the registry computes over its instances: the sorted statuses with their counts, such as DOWN_1_UP_7_.
func (c *instanceCache) hash() string {
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(c.statusCounts)) {
		b.WriteString(status + "_" + strconv.Itoa(c.statusCounts[status]) + "_")
	}
	return b.String()
}

// changes returns the endpoints that changed since the last call, or all endpoints if snapshot is set. partial says that the cache may lack
// instances. In that case, endpoints that are missing from the cache are not reported as gone.
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
