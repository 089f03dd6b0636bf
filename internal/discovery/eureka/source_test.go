package eureka

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
)

// pollCases are the ways of polling and the forms of the registry's responses. A path that configure sets in Servers[0] is appended to the
// base address of the test's registry.
var pollCases = []struct {
	name      string
	configure func(*Declaration, *fakes.EurekaOptions)
}{
	{"one application", func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications = []string{"seats"} }},
	{"xml", func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications, d.Format = []string{"SEATS"}, "xml" }},
	{"numbers as strings", func(d *Declaration, o *fakes.EurekaOptions) {
		d.Applications, o.NumbersAsText = []string{"SEATS"}, true
	}},
	{"vip", func(d *Declaration, _ *fakes.EurekaOptions) { d.VirtualAddress = "seats" }},
	{"deltas", func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications, d.Delta = []string{"SEATS"}, true }},
	{"deltas in xml, v2", func(d *Declaration, _ *fakes.EurekaOptions) {
		d.Applications, d.Delta, d.Format, d.Servers[0] = []string{"SEATS"}, true, "xml", d.Servers[0]+"/v2/"
	}},
	{"with a password", func(d *Declaration, o *fakes.EurekaOptions) {
		d.Applications, d.User, o.User, o.Password = []string{"SEATS"}, "u", "u", "p w"
	}},
	{"secure ports", func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications, d.Secure = []string{"SEATS"}, true }},
	{"answers out of a cache", func(d *Declaration, o *fakes.EurekaOptions) {
		d.Applications, o.CacheFor = []string{"SEATS"}, 30*time.Millisecond
	}},
}

// TestSourceFollowsRegistry checks that, with each way of polling, a Source reports changes of status, overrides, starts and ends of
// instances.
func TestSourceFollowsRegistry(t *testing.T) {
	for _, c := range pollCases {
		t.Run(c.name, func(t *testing.T) {
			d, o := testDeclaration(), fakes.EurekaOptions{}
			d.Servers = []string{""}
			c.configure(&d, &o)
			e := base.Eureka(t, o)
			d.Servers[0] = e.Base + d.Servers[0]
			if d.User != "" {
				d.PasswordFile = base.File(t, "password", []byte("p w\n"))
			}
			e.Put(testInstance("SEATS", "a", 81, "UP"))
			e.Put(testInstance("OTHER", "x", 90, "UP"))
			sink, s := startSource(t, d)
			sink.waitFor(t, "up", "a Ready")
			checkEndpoint(t, sink, d.Secure)
			changeInstances(t, e, sink)
			if d.Delta && e.Calls("GET /apps") > 1 {
				t.Errorf("the full registry was polled %d times, want once", e.Calls("GET /apps"))
			}
			if requests, bytes := s.Traffic(); requests == 0 || bytes == 0 {
				t.Error("Traffic counts no requests or no bytes")
			}
		})
	}
}

// checkEndpoint checks all properties of endpoint a.
func checkEndpoint(t *testing.T, sink *recordingSink, isSecure bool) {
	t.Helper()
	port := 81
	if isSecure {
		port += 1000
	}
	want := endpoints.Endpoint{Name: "a", Address: fmt.Sprint("127.0.0.2:", port), Zone: "upper-hill", MachineType: "large",
		Cell: 3, Status: endpoints.StatusReady, StartedMs: 1_700_000_000_000}
	if got := sink.endpoint("a"); got != want {
		t.Errorf("endpoint a is %+v, want %+v", got, want)
	}
}

// changeInstances takes the instances a and b through all statuses, and waits until each change is reported.
func changeInstances(t *testing.T, e *fakes.Eureka, sink *recordingSink) {
	t.Helper()
	e.Put(testInstance("SEATS", "b", 82, "STARTING"))
	sink.waitFor(t, "b starts", "a Ready, b Starting")
	e.SetStatus("SEATS", "b", "UP")
	e.Override("SEATS", "a", "OUT_OF_SERVICE")
	sink.waitFor(t, "a is overridden", "a OutOfService, b Ready")
	e.Override("SEATS", "a", "")
	e.SetStatus("SEATS", "b", "DOWN")
	sink.waitFor(t, "b is down", "a Ready, b Down")
	e.SetStatus("SEATS", "a", "ON_HOLIDAY")
	e.Cancel("SEATS", "b")
	sink.waitFor(t, "an unknown status, and b is cancelled", "a Unknown")
	e.Cancel("SEATS", "a")
	sink.waitFor(t, "a is cancelled", "")
	e.Put(testInstance("SEATS", "a", 81, "UP"))
	sink.waitFor(t, "a is back", "a Ready")
}

// TestBadAnswersKeepLastGoodList checks that bad responses do not change the list, are logged only once, and do not stop the Source from
// polling.
func TestBadAnswersKeepLastGoodList(t *testing.T) {
	for _, delta := range []bool{false, true} {
		for name, fault := range map[string]fakes.EurekaFault{"down": fakes.EurekaDown, "cut": fakes.EurekaCut, "html": fakes.EurekaHTML,
			"hangs": fakes.EurekaHangs, "huge": fakes.EurekaHuge} {
			t.Run(fmt.Sprint(name, " ", delta), func(t *testing.T) {
				e := base.Eureka(t, fakes.EurekaOptions{})
				d := testDeclaration(e)
				d.Applications, d.Delta, d.MaxAnswer = []string{"SEATS"}, delta, units.MiB
				if name != "hangs" {
					d.Timeout = units.Duration(30 * time.Second) // a slow machine needs long for the 20 MB of a huge response
				}
				e.Put(testInstance("SEATS", "a", 81, "UP"))
				e.Put(testInstance("SEATS", "b", 82, "UP"))
				sink, _ := startSource(t, d)
				sink.waitFor(t, "first list", "a Ready, b Ready")
				e.Fault(func(string) fakes.EurekaFault { return fault })
				base.Eventually(t, "four losses are reported", func() bool { return sink.lossCount() >= 4 })
				e.Cancel("SEATS", "b")
				if got := sink.listText(); got != "a Ready, b Ready" {
					t.Errorf("list is %q after bad responses, want the last good list", got)
				}
				if n := sink.logCount("the last good list stays"); n != 1 && !(delta && n <= 2) { // one line for the delta, one for the full poll
					t.Errorf("the failed polls were logged %d times, want once per kind of poll: %q", n, sink.logLines)
				}
				e.Fault(nil)
				sink.waitFor(t, "a change during the outage", "a Ready")
				base.Eventually(t, "the end of the outage is logged", func() bool { return sink.logCount("can be used again") == 1 })
			})
		}
	}
}

// TestAlternatingFailuresAreLoggedOnce checks that failures that alternate are logged once per outage, not with every poll.
func TestAlternatingFailuresAreLoggedOnce(t *testing.T) {
	sink := &recordingSink{}
	s := &Source{log: logging.NewFunc(sink.log)}
	for outage := 1; outage <= 2; outage++ {
		for n := range 100 {
			s.logFailure(fmt.Errorf("reason %d", n%(2*maxLoggedReasons)))
		}
		s.logRecovery()
		if failures, recoveries := sink.logCount("stays"), sink.logCount("again"); failures != outage*maxLoggedReasons || recoveries != outage {
			t.Errorf("after outage %d: %d failures and %d recoveries logged, want maxLoggedReasons failures and one recovery per outage", outage, failures, recoveries)
		}
	}
}

// startDelta runs a Source that polls deltas. Each of its servers lists instance a. It returns the last server and the Source's sink.
func startDelta(t *testing.T, others ...*fakes.Eureka) (*fakes.Eureka, *recordingSink) {
	t.Helper()
	e := base.Eureka(t, fakes.EurekaOptions{})
	servers := append(others, e)
	d := testDeclaration(servers...)
	d.Applications, d.Delta = []string{"SEATS"}, true
	for _, s := range servers {
		s.Put(testInstance("SEATS", "a", 81, "UP"))
	}
	sink, _ := startSource(t, d)
	sink.waitFor(t, "first list", "a Ready")
	return e, sink
}

func TestLostDeltaIsMadeUpFor(t *testing.T) {
	e, sink := startDelta(t)
	e.Fault(func(string) fakes.EurekaFault { return fakes.EurekaLostDelta })
	e.Put(testInstance("SEATS", "b", 82, "UP"))
	sink.waitFor(t, "list of the full poll", "a Ready, b Ready")
}

// TestChecksumThatNeverMatches checks that the Source stops polling deltas if checksums never match. The Source must use the instances in a
// response, and must not treat missing instances as removed.
func TestChecksumThatNeverMatches(t *testing.T) {
	e, sink := startDelta(t)
	e.Put(testInstance("SEATS", "b", 82, "UP"))
	sink.waitFor(t, "two instances", "a Ready, b Ready")
	e.Fault(func(string) fakes.EurekaFault { return fakes.EurekaWrongSum })
	e.Override("SEATS", "a", "OUT_OF_SERVICE")
	e.Cancel("SEATS", "b")
	sink.waitFor(t, "a has changed, and b, which is missing, stays", "a OutOfService, b Ready")
	base.Eventually(t, "no deltas are polled any more", func() bool {
		before := e.Calls("GET /apps/delta")
		all := e.Calls("GET /apps")
		base.Eventually(t, "full polls", func() bool { return e.Calls("GET /apps") > all+3 })
		return e.Calls("GET /apps/delta") == before
	})
	if n := sink.logCount("does not match its own checksum"); n != 1 {
		t.Errorf("the checksum mismatch was logged %d times, want once", n)
	}
	e.Fault(nil)
	sink.waitFor(t, "the checksum matches again", "a OutOfService")
}

func TestRegistryWithoutDeltas(t *testing.T) {
	e, sink := startDelta(t)
	e.Fault(func(string) fakes.EurekaFault { return fakes.EurekaNoDelta })
	e.Put(testInstance("SEATS", "b", 82, "UP"))
	sink.waitFor(t, "list of the full poll", "a Ready, b Ready")
}

func TestFirstServerGoesAway(t *testing.T) {
	first, err := fakes.NewEureka(fakes.EurekaOptions{})
	if err != nil {
		t.Fatal(err)
	}
	e, sink := startDelta(t, first)
	first.Close()
	e.Put(testInstance("SEATS", "b", 82, "UP"))
	sink.waitFor(t, "list of the second server", "a Ready, b Ready")
}

func TestRegistryRestartsEmpty(t *testing.T) {
	e, sink := startDelta(t)
	e.Restart()
	sink.waitFor(t, "empty list, which package membership doubts", "")
	e.Put(testInstance("SEATS", "a", 81, "UP"))
	sink.waitFor(t, "instance registered again", "a Ready")
}

// TestLeasesAndReplicas checks that instances whose leases expired are reported as gone, unless the registry preserves them, and that a
// replica that is cut off keeps its list.
func TestLeasesAndReplicas(t *testing.T) {
	for _, preserves := range []bool{false, true} {
		t.Run(fmt.Sprint("self-preservation ", preserves), func(t *testing.T) {
			var clockOffset atomic.Int64
			now := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
			e := base.Eureka(t, fakes.EurekaOptions{SelfPreservation: preserves, Now: now})
			replica := base.Eureka(t, fakes.EurekaOptions{Now: now})
			e.Replicate(replica)
			for _, id := range []string{"a", "b"} {
				e.Put(testInstance("SEATS", id, 81, "UP"))
			}
			d, replicaDeclaration := testDeclaration(e), testDeclaration(replica)
			d.Applications, replicaDeclaration.Applications = []string{"SEATS"}, []string{"SEATS"}
			sink, _ := startSource(t, d)
			replicaSink, _ := startSource(t, replicaDeclaration)
			for _, s := range []*recordingSink{sink, replicaSink} {
				s.waitFor(t, "replicated", "a Ready, b Ready")
			}
			e.Replicate()
			e.SetStatus("SEATS", "a", "DOWN")
			sink.waitFor(t, "one replica has the change", "a Down, b Ready")
			if got := replicaSink.listText(); got != "a Ready, b Ready" {
				t.Errorf("list of the replica that is cut off is %q, want the unchanged list", got)
			}
			clockOffset.Store(int64(2 * time.Minute))
			if !preserves {
				sink.waitFor(t, "leases expired", "")
				return
			}
			calls := e.Calls("GET /apps/SEATS")
			base.Eventually(t, "polls", func() bool { return e.Calls("GET /apps/SEATS") > calls+3 })
			if got := sink.listText(); got != "a Down, b Ready" {
				t.Errorf("list is %q despite the registry's self-preservation, want the unchanged list", got)
			}
		})
	}
}
