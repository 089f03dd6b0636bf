package experiment

import (
	"fmt"
	"slices"
	"time"

	"orchiddrift/internal/simulation/fleetsim"
	"orchiddrift/internal/tomlfile"
)

// Problems is the error for an invalid experiment file. It holds every problem with the line where it occurs.
type Problems struct {
	Name string
	List []tomlfile.Problem
}

func (p *Problems) Error() string { return tomlfile.Text(p.Name, p.List) }

// Upper bounds on an experiment.
const (
	maxNodes    = 5000
	maxSidecars = 2000
	maxRequests = 100_000_000 // maximum number of requests in a run
	maxSeeds    = 1000
	maxPoints   = 10_000 // maximum number of intervals in a run
)

// validate reports every invalid value of the experiment to doc.
func (e *Experiment) validate(doc *tomlfile.Document) {
	if doc.Broken() {
		return
	}
	e.validateFleet(doc)
	if !e.validateTimes(doc) {
		return
	}
	e.validateLoad(doc)
	e.validatePolicies(doc)
	e.validateClasses(doc)
	e.validateDiscovery(doc)
	e.validateFaults(doc)
}

// reportOutside reports a value that is NaN or outside the range from lowest to highest.
func reportOutside(doc *tomlfile.Document, key string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		doc.Report(key, "%v is not from %v to %v", value, lowest, highest)
	}
}

func (e *Experiment) validateFleet(doc *tomlfile.Document) {
	if e.Name == "" {
		doc.Report("name", "missing")
	}
	reportOutside(doc, "seeds", float64(e.Seeds), 1, maxSeeds)
	reportOutside(doc, "fleet.nodes", float64(e.Fleet.Nodes), 1, maxNodes)
	reportOutside(doc, "fleet.sidecars", float64(e.Fleet.Sidecars), 1, maxSidecars)
	reportOutside(doc, "fleet.zones", float64(e.Fleet.Zones), 1, float64(max(1, e.Fleet.Nodes)))
	reportOutside(doc, "fleet.cold", e.Fleet.SlowStartMinCapacity, 0, 1)
	reportOutside(doc, "fleet.cross_zone_price", e.Fleet.CrossZonePrice, 0, 100)
	reportOutside(doc, "fleet.fall", e.Fleet.OverloadMultiple, 0, 1000)
	reportOutside(doc, "load.busy", e.Load.Utilization, 0, 100)
	reportOutside(doc, "clients.tries", float64(e.Clients.MaxRetries), 0, 100)
}

// validateTimes reports invalid lengths and intervals. It returns false if a time is too short for the checks that
// follow.
func (e *Experiment) validateTimes(doc *tomlfile.Document) bool {
	if e.Fleet.MeanServiceTime.D() < time.Microsecond || e.Length.D() < time.Second || e.Interval.D() < time.Millisecond || e.Clients.InitialBackoff <= 0 {
		doc.Report("", "length (1s), series (1ms), fleet.work (1us) and clients.wait need some time")
		return false
	}
	if e.Length.D()/e.Interval.D() > maxPoints {
		doc.Report("series", "%d intervals, %d at most", e.Length.D()/e.Interval.D(), maxPoints)
	}
	return true
}

func (e *Experiment) validateLoad(doc *tomlfile.Document) {
	maxUtilization := e.Load.Utilization
	for i, s := range e.Load.Steps {
		reportOutside(doc, fmt.Sprintf("load.step[%d].busy", i), s.Utilization, 0, 100)
		if i > 0 && s.At < e.Load.Steps[i-1].At {
			doc.Report(fmt.Sprintf("load.step[%d].at", i), "it is before the one before it")
		}
		maxUtilization = max(maxUtilization, s.Utilization)
	}
	if n := maxUtilization * e.warmCapacity() * e.Length.D().Seconds(); n > maxRequests {
		doc.Report("length", "%.0f requests, %d at most", n, maxRequests)
	}
}

func (e *Experiment) validatePolicies(doc *tomlfile.Document) {
	for i, name := range e.Policies {
		if !isBalancer(name) && fleetsim.Policies[name] == nil {
			doc.Report("policies", "there is no policy %q", name)
		}
		if slices.Contains(e.Policies[:i], name) {
			doc.Report("policies", "%q stands there twice", name)
		}
	}
}

func (e *Experiment) validateClasses(doc *tomlfile.Document) {
	for i, c := range e.Classes {
		prefix := fmt.Sprintf("class[%d]", i)
		if c.Name == "" || slices.ContainsFunc(e.Classes[:i], func(other Class) bool { return other.Name == c.Name }) {
			doc.Report(prefix+".name", "%q names no class of its own", c.Name)
		}
		reportOutside(doc, prefix+".share", c.Weight, 1e-9, 1e9)
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			doc.Report(prefix+".deadline", "%v is before aim, %v", c.Deadline, c.LatencyObjective)
		}
	}
}

func (e *Experiment) validateDiscovery(doc *tomlfile.Document) {
	if d := e.Discovery; d.TimeForAllCalls < 0 || d.Timeout < 0 || d.DownAt < 0 || d.DownFor < 0 {
		doc.Report("discovery", "a time is negative")
	}
	reportOutside(doc, "discovery.call_lines", float64(e.Discovery.LinesPerCall), 0, 1e6)
}

func (e *Experiment) validateFaults(doc *tomlfile.Document) {
	for i, f := range e.Faults {
		prefix := fmt.Sprintf("fault[%d]", i)
		if f.Kind == "" {
			doc.Report(prefix+".kind", "missing")
		}
		reportOutside(doc, prefix+".part", f.Fraction, 0, 1)
		reportOutside(doc, prefix+".factor", f.Factor, 1, 1e6)
		if fleetsim.FaultKind(f.Kind).Zonal() && (f.Zone < 0 || f.Zone >= e.Fleet.Zones) {
			doc.Report(prefix+".zone", "there is no zone %d of %d", f.Zone, e.Fleet.Zones)
		}
		if f.At < 0 || f.Duration <= 0 {
			doc.Report(prefix+".for", "it has no time")
		}
	}
}
