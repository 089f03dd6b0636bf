package measure

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/units"
)

// subsetAlgorithm is an algorithm that selects the upstreams of a sidecar.
type subsetAlgorithm struct {
	name string
	pick func(nodes []string, sidecar, sidecars, size int) map[string]bool
}

func hash(seed uint64, name string) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, seed), name...))
}

// sortedByHash returns the nodes sorted by their hashes with the seed.
func sortedByHash(nodes []string, seed uint64) []string {
	keys := make(map[string]uint64, len(nodes))
	for _, n := range nodes {
		keys[n] = hash(seed, n)
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(a, b)) })
	return sorted
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// daemonSubset returns an algorithm that uses package subset as the daemon does. If indexKnown is set, package subset gets the index of the
// sidecar in its fleet.
func daemonSubset(indexKnown bool) func(nodes []string, sidecar, sidecars, size int) map[string]bool {
	return func(nodes []string, sidecar, sidecars, size int) map[string]bool {
		o := subset.Default()
		o.MinSize, o.MaxSize, o.ShrinkDelay = size, 1<<14, units.Duration(0)
		if indexKnown {
			o.FleetSize, o.Index = sidecars, sidecar
		}
		l := &endpoints.List{Snapshot: true}
		for _, n := range nodes {
			l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Name: n, Address: "127.0.0.1:1", Status: endpoints.StatusReady})
		}
		names := map[string]bool{}
		if out := subset.New(o, fmt.Sprint("sidecar", sidecar), "", 1<<20).Update(time.Time{}, l); out != nil {
			for _, e := range out.Endpoints {
				names[e.Name] = true
			}
		}
		return names
	}
}

var subsetAlgorithms = []subsetAlgorithm{
	{"random", func(nodes []string, sidecar, _, size int) map[string]bool {
		rng := rand.New(rand.NewPCG(uint64(sidecar), 1))
		names := map[string]bool{}
		for len(names) < size {
			names[nodes[rng.IntN(len(nodes))]] = true
		}
		return names
	}},
	// This algorithm is from chapter 20 of Site Reliability Engineering. The sidecars of a round share one shuffled list.
	{"rounds (SRE book)", func(nodes []string, sidecar, _, size int) map[string]bool {
		groups := len(nodes) / size
		rng := rand.New(rand.NewPCG(uint64(sidecar/groups), 2))
		list := slices.Clone(nodes)
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		at := sidecar % groups * size
		return setOf(list[at : at+size])
	}},
	// This is Twitter's deterministic aperture without fractional weights, because the balancer gives all upstreams the same weight.
	{"aperture, whole", func(nodes []string, sidecar, sidecars, size int) map[string]bool {
		list := sortedByHash(nodes, 0)
		from := sidecar * len(list) / sidecars
		names := map[string]bool{}
		for i := range size {
			names[list[(from+i)%len(list)]] = true
		}
		return names
	}},
	{"rendezvous", func(nodes []string, sidecar, _, size int) map[string]bool {
		return setOf(sortedByHash(nodes, uint64(sidecar)+1)[:size])
	}},
	{"subset, index not known", daemonSubset(false)},
	{"subset", daemonSubset(true)},
}

// Subset compares the algorithms for several numbers of sidecars at constant total traffic. It prints the load and the number of sidecars of a
// node, and how many nodes of a subset change when a node is replaced or a sidecar is added. Each sidecar distributes its requests evenly over
// its subset.
func Subset(o Options) error {
	const fleet = 5000
	nodes := make([]string, fleet)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("node-%04d", i)
	}
	replaced := slices.Clone(nodes)
	replaced[1234] = "node-new"
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "sidecars\tsize\tway\tmax/mean load\tunknown nodes\tsidecars a node, most\tits own, most\tmoved by one node, most\tmoved by one sidecar, mean\t")
	for _, c := range []struct{ sidecars, size int }{{10, 500}, {53, 300}, {190, 70}, {200, 100}} {
		for _, algorithm := range subsetAlgorithms {
			load, count := map[string]float64{}, map[string]int{}
			maxSubsetSize, maxMoved, movedBySidecar := 0, 0, 0
			for sidecar := range c.sidecars {
				chosen := algorithm.pick(nodes, sidecar, c.sidecars, c.size)
				maxSubsetSize = max(maxSubsetSize, len(chosen))
				for n := range chosen {
					load[n] += 1 / float64(len(chosen))
					count[n]++
				}
				maxMoved = max(maxMoved, countMissing(algorithm.pick(replaced, sidecar, c.sidecars, c.size), chosen))
				movedBySidecar += countMissing(algorithm.pick(nodes, sidecar, c.sidecars+1, c.size), chosen)
			}
			maxLoad, maxSidecars := 0.0, 0
			for n, v := range load {
				maxLoad, maxSidecars = max(maxLoad, v), max(maxSidecars, count[n])
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%.2f\t%d\t%d\t%d\t%d\t%.1f\t\n", c.sidecars, c.size, algorithm.name, maxLoad*fleet/float64(c.sidecars),
				fleet-len(load), maxSidecars, maxSubsetSize, maxMoved, float64(movedBySidecar)/float64(c.sidecars))
		}
	}
	return w.Flush()
}

// countMissing returns the number of names that are not in others.
func countMissing(names, others map[string]bool) (n int) {
	for name := range names {
		if !others[name] {
			n++
		}
	}
	return n
}
