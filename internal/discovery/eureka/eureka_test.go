package eureka

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// heard is a Sink that keeps the list, and what else it is told.
type heard struct {
	mu    sync.Mutex
	list  map[string]endpoints.Endpoint
	lost  int
	heard int
	said  []string
}

func (h *heard) Update(l *endpoints.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Snapshot {
		clear(h.list)
	}
	for _, e := range l.Endpoints {
		if h.list[e.Name] = e; e.Status == endpoints.StatusGone {
			delete(h.list, e.Name)
		}
	}
}

func (h *heard) Current()         { h.mu.Lock(); h.heard++; h.mu.Unlock() }
func (h *heard) Lost(error, bool) { h.mu.Lock(); h.lost++; h.mu.Unlock() }

// says is the list as "name status", in order.
func (h *heard) says() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, name := range slices.Sorted(maps.Keys(h.list)) {
		out = append(out, name+" "+h.list[name].Status)
	}
	return strings.Join(out, ", ")
}

func (h *heard) logged(part string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, line := range h.said {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}

func declaration(servers ...*fakes.Eureka) Declaration {
	d := Declaration{Service: "s", Name: "eureka", Poll: units.Duration(5 * time.Millisecond), Timeout: units.Duration(300 * time.Millisecond),
		Backoff: units.Duration(20 * time.Millisecond), MaxAnswer: 16 * units.MiB, ZoneKey: "zone", TypeKey: "type", GroupKey: "group"}
	for _, s := range servers {
		d.Servers = append(d.Servers, s.Base)
	}
	return d
}

// follow runs a Source until the test ends.
func follow(t *testing.T, d Declaration) (*heard, *Source) {
	t.Helper()
	h := &heard{list: map[string]endpoints.Endpoint{}}
	s, err := New(d, time.Second, 1, logging.NewFunc(func(line string) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.said = append(h.said, line)
	}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx, h) }()
	t.Cleanup(func() { stop(); <-done })
	return h, s
}

func node(app, id string, port int, status string) fakes.EurekaInstance {
	return fakes.EurekaInstance{App: app, ID: id, Host: "node.example", IP: "127.0.0.2", VIP: strings.ToLower(app), Port: port,
		SecurePort: port + 1000, SecureOn: true, Status: status, Up: time.UnixMilli(1_700_000_000_000),
		Metadata: map[string]string{"zone": "upper-hill", "type": "large", "group": "3"}}
}

// Guards against a status, an override, an end or a start that is not followed: by each format, oddity and way of asking.
func TestFollowsTheRegistry(t *testing.T) {
	for name, change := range map[string]func(*Declaration, *fakes.EurekaOptions){
		"one application":  func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications = []string{"seats"} },
		"xml":              func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications, d.Format = []string{"SEATS"}, "xml" },
		"numbers as texts": func(d *Declaration, o *fakes.EurekaOptions) { d.Applications, o.Texts = []string{"SEATS"}, true },
		"vip":              func(d *Declaration, _ *fakes.EurekaOptions) { d.VirtualAddress = "seats" },
		"changes":          func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications, d.Delta = []string{"SEATS"}, true },
		"changes in xml, v2": func(d *Declaration, _ *fakes.EurekaOptions) {
			d.Applications, d.Delta, d.Format, d.Servers[0] = []string{"SEATS"}, true, "xml", d.Servers[0]+"/v2/"
		},
		"with a password": func(d *Declaration, o *fakes.EurekaOptions) {
			d.Applications, d.User, o.User, o.Password = []string{"SEATS"}, "u", "u", "p w"
		},
		"secure ports": func(d *Declaration, _ *fakes.EurekaOptions) { d.Applications, d.Secure = []string{"SEATS"}, true },
		"answers out of a cache": func(d *Declaration, o *fakes.EurekaOptions) {
			d.Applications, o.CacheFor = []string{"SEATS"}, 30*time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, o := declaration(), fakes.EurekaOptions{}
			d.Servers = []string{""}
			change(&d, &o)
			e := base.Eureka(t, o)
			d.Servers[0] = e.Base + d.Servers[0]
			if d.User != "" {
				d.PasswordFile = base.File(t, "password", []byte("p w\n"))
			}
			e.Put(node("SEATS", "a", 81, "UP"))
			e.Put(node("OTHER", "x", 90, "UP"))
			h, s := follow(t, d)
			port := 81
			if d.Secure {
				port += 1000
			}
			want := func(list string) {
				t.Helper()
				base.Eventually(t, list, func() bool { return h.says() == list })
			}
			want("a Ready")
			h.mu.Lock()
			if got, want := h.list["a"], (endpoints.Endpoint{Name: "a", Address: fmt.Sprint("127.0.0.2:", port), Zone: "upper-hill", MachineType: "large",
				Cell: 3, Status: endpoints.StatusReady, StartedMs: 1_700_000_000_000}); got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
			h.mu.Unlock()
			e.Put(node("SEATS", "b", 82, "STARTING"))
			want("a Ready, b Starting")
			e.SetStatus("SEATS", "b", "UP")
			e.Override("SEATS", "a", "OUT_OF_SERVICE")
			want("a OutOfService, b Ready")
			e.Override("SEATS", "a", "")
			e.SetStatus("SEATS", "b", "DOWN")
			want("a Ready, b Down")
			e.SetStatus("SEATS", "a", "ON_HOLIDAY")
			e.Cancel("SEATS", "b")
			want("a Unknown")
			e.Cancel("SEATS", "a")
			want("")
			e.Put(node("SEATS", "a", 81, "UP"))
			want("a Ready")
			if d.Delta && e.Calls("GET /apps") > 1 {
				t.Errorf("everything was asked for %d times", e.Calls("GET /apps"))
			}
			if requests, bytes := s.Traffic(); requests == 0 || bytes == 0 {
				t.Error("what was asked is not counted")
			}
		})
	}
}

// Guards against a bad answer that costs the list, is logged with every poll, or ends the following.
func TestBadAnswersLeaveTheLastGoodList(t *testing.T) {
	for _, delta := range []bool{false, true} {
		for name, fault := range map[string]fakes.EurekaFault{"down": fakes.EurekaDown, "cut": fakes.EurekaCut, "html": fakes.EurekaHTML,
			"hangs": fakes.EurekaHangs, "huge": fakes.EurekaHuge} {
			t.Run(fmt.Sprint(name, " ", delta), func(t *testing.T) {
				e := base.Eureka(t, fakes.EurekaOptions{})
				d := declaration(e)
				if d.Applications, d.Delta, d.MaxAnswer = []string{"SEATS"}, delta, units.MiB; name != "hangs" {
					d.Timeout = units.Duration(30 * time.Second) // 20 MB take a slow machine their time
				}
				e.Put(node("SEATS", "a", 81, "UP"))
				e.Put(node("SEATS", "b", 82, "UP"))
				h, _ := follow(t, d)
				base.Eventually(t, "the list", func() bool { return h.says() == "a Ready, b Ready" })
				e.Fault(func(string) fakes.EurekaFault { return fault })
				base.Eventually(t, "it is lost", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.lost >= 4 })
				e.Cancel("SEATS", "b")
				if got := h.says(); got != "a Ready, b Ready" {
					t.Errorf("the list is %q", got)
				}
				if n := h.logged("the last good list stays"); n != 1 && !(delta && n <= 2) { // changes, then everything
					t.Errorf("said %d times: %q", n, h.said)
				}
				e.Fault(nil)
				base.Eventually(t, "what happened meanwhile", func() bool { return h.says() == "a Ready" })
				base.Eventually(t, "it is said", func() bool { return h.logged("can be used again") == 1 })
			})
		}
	}
}

// Guards against failures that take turns and are logged with every poll.
func TestFailuresInTurn(t *testing.T) {
	h := &heard{}
	s := &Source{log: logging.NewFunc(func(line string) { h.said = append(h.said, line) })}
	for outage := 1; outage <= 2; outage++ {
		for n := range 100 {
			s.say(fmt.Errorf("reason %d", n%(2*maxReasons)))
		}
		s.say(nil)
		if lost, again := h.logged("stays"), h.logged("again"); lost != outage*maxReasons || again != outage {
			t.Errorf("outage %d: said %d and %d times", outage, lost, again)
		}
	}
}

// Guards against changes that were lost, sums that never fit, servers that tell no changes, and replicas that are away.
func TestDeltas(t *testing.T) {
	start := func(t *testing.T, others ...*fakes.Eureka) (*fakes.Eureka, *heard) {
		e := base.Eureka(t, fakes.EurekaOptions{})
		d := declaration(append(others, e)...)
		d.Applications, d.Delta = []string{"SEATS"}, true
		for _, x := range append(others, e) {
			x.Put(node("SEATS", "a", 81, "UP"))
		}
		h, _ := follow(t, d)
		base.Eventually(t, "the list", func() bool { return h.says() == "a Ready" })
		return e, h
	}
	t.Run("lost changes", func(t *testing.T) {
		e, h := start(t)
		e.Fault(func(string) fakes.EurekaFault { return fakes.EurekaLostDelta })
		e.Put(node("SEATS", "b", 82, "UP"))
		base.Eventually(t, "by everything", func() bool { return h.says() == "a Ready, b Ready" })
	})
	t.Run("a sum that never fits", func(t *testing.T) {
		e, h := start(t)
		e.Put(node("SEATS", "b", 82, "UP"))
		base.Eventually(t, "two", func() bool { return h.says() == "a Ready, b Ready" })
		e.Fault(func(string) fakes.EurekaFault { return fakes.EurekaWrongSum })
		e.Override("SEATS", "a", "OUT_OF_SERVICE")
		e.Cancel("SEATS", "b")
		base.Eventually(t, "believed in what it says, not in what it lacks", func() bool { return h.says() == "a OutOfService, b Ready" })
		base.Eventually(t, "no changes are asked for", func() bool {
			before := e.Calls("GET /apps/delta")
			all := e.Calls("GET /apps")
			base.Eventually(t, "polls", func() bool { return e.Calls("GET /apps") > all+3 })
			return e.Calls("GET /apps/delta") == before
		})
		if n := h.logged("does not come to its own sum"); n != 1 {
			t.Errorf("said %d times", n)
		}
		e.Fault(nil)
		base.Eventually(t, "it fits again", func() bool { return h.says() == "a OutOfService" })
	})
	t.Run("no changes are told", func(t *testing.T) {
		e, h := start(t)
		e.Fault(func(string) fakes.EurekaFault { return fakes.EurekaNoDelta })
		e.Put(node("SEATS", "b", 82, "UP"))
		base.Eventually(t, "by everything", func() bool { return h.says() == "a Ready, b Ready" })
	})
	t.Run("the first replica goes away", func(t *testing.T) {
		first, err := fakes.NewEureka(fakes.EurekaOptions{})
		if err != nil {
			t.Fatal(err)
		}
		e, h := start(t, first)
		first.Close()
		e.Put(node("SEATS", "b", 82, "UP"))
		base.Eventually(t, "by the second", func() bool { return h.says() == "a Ready, b Ready" })
	})
	t.Run("it starts anew, empty", func(t *testing.T) {
		e, h := start(t)
		e.Restart()
		base.Eventually(t, "empty", func() bool { return h.says() == "" }) // for membership to doubt
		e.Put(node("SEATS", "a", 81, "UP"))
		base.Eventually(t, "filled", func() bool { return h.says() == "a Ready" })
	})
}

// Guards against a lease that is not renewed, withdrawn twice, or calls without end.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1e12)
		l := newLease(now, 30*time.Second)
		calls, known, draining, ending, cancelled := 0, false, false, false, 0
		called := now // the last call, whatever came of it
		for range 200 {
			c, due := l.next(now)
			if c == callNone {
				if due.IsZero() {
					break
				}
				if due.After(called.Add(30 * time.Second)) {
					t.Fatalf("called at %v, and next at %v", called, due)
				}
				switch step := rapid.IntRange(0, 20).Draw(t, "step"); {
				case step == 0:
					l.drain(now)
					draining = true
				case step == 1:
					l.end(now)
					ending = true
				case step == 2:
					known = false // the registry forgets
					now = due
				default:
					now = due
				}
				calls = 0
				continue
			}
			called = now
			if calls++; calls > 6 {
				t.Fatalf("%d calls at once", calls)
			}
			o := outcome(rapid.SampledFrom([]outcome{callDone, callDone, callFailed}).Draw(t, "outcome"))
			if o == callDone && c != callRegister && !known {
				o = callUnknown
			}
			switch {
			case c == callCancel:
				cancelled++
			case ending:
				t.Fatalf("call %d after the end", c)
			case c == callOutOfService && !draining:
				t.Fatal("out of service though it does not drain")
			case o == callDone:
				known = true
			}
			l.done(now, c, o, rapid.Float64Range(0, 1).Draw(t, "spread"))
		}
		if cancelled > 1 {
			t.Fatalf("withdrawn %d times", cancelled)
		}
	})
}

// Guards against a sidecar that cannot be found, is still found when it drains, or stays registered after its end.
func TestRegistration(t *testing.T) {
	e := base.Eureka(t, fakes.EurekaOptions{})
	d := declaration(e)
	d.Register = Register{Application: "drift", Renew: units.Duration(time.Second), Metadata: map[string]string{"zone": "z"}}
	if _, err := NewRegistration(d, "n", "0.0.0.0:80", 0, 1, nil); err == nil {
		t.Error("registered at 0.0.0.0")
	}
	r, err := NewRegistration(d, "sidecar", "127.0.0.3:8080", 0, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	w := declaration(e)
	w.Applications = []string{"DRIFT"}
	h, _ := follow(t, w)
	const id = "sidecar:127.0.0.3:8080"
	base.Eventually(t, "found", func() bool { return h.says() == id+" Ready" })
	e.Restart()
	base.Eventually(t, "registered again after 404", func() bool { return e.Calls("POST /apps/DRIFT") == 2 })
	r.Drain()
	base.Eventually(t, "drained", func() bool { return h.says() == id+" OutOfService" })
	stop()
	<-done
	base.Eventually(t, "withdrawn", func() bool { return h.says() == "" })
}

// FuzzDecode guards against documents that crash the decoders, or are taken without their end.
func FuzzDecode(f *testing.F) {
	for _, asXML := range []bool{true, false} {
		for _, text := range []string{
			`{"applications":{"versions__delta":1,"apps__hashcode":"UP_1_","application":{"name":"A","instance":{"instanceId":"a","ipAddr":"127.0.0.2","status":"UP","port":{"$":"80","@enabled":"true"},"metadata":null}}}}`,
			`{"applications":{"application":[{"instance":[{"hostName":"127.0.0.2","port":80,"leaseInfo":{"serviceUpTimestamp":1.7e12}}],"name":"A"}]}}`,
			`<applications><apps__hashcode/><application><name>A</name><instance><instanceId>a</instanceId><port enabled="true">80</port><metadata><zone>z</zone></metadata></instance></application></applications>`,
			`<application><instance/></application>`, `null`, `{"applications":null}`, `[]`, `<html></html>`,
		} {
			f.Add(asXML, text)
		}
	}
	f.Fuzz(func(t *testing.T, asXML bool, text string) {
		kind := "application/json"
		if asXML {
			kind = "text/xml; charset=utf-8"
		}
		r := newRegistry(Mapping{ZoneKey: "zone"}, nil)
		d := &document{visit: r.put}
		if d.decode(kind, strings.NewReader(text)) != nil {
			return
		}
		for _, e := range r.news(true, false).Endpoints {
			if err := endpoints.CheckAddress(e.Address); err != nil || e.Name == "" {
				t.Errorf("%+v: %v", e, err)
			}
		}
		if trimmed := strings.TrimRight(text, " \t\r\n"); len(trimmed) > 0 && !asXML {
			if (&document{visit: r.put}).decode(kind, strings.NewReader(trimmed[:len(trimmed)-1])) == nil {
				t.Errorf("taken without its end: %q", text)
			}
		}
	})
}

// BenchmarkDecode reads a document of 5,000 instances into a copy.
//
//	go test -run '^$' -bench Decode -benchmem ./internal/discovery/eureka
func BenchmarkDecode(b *testing.B) {
	e := base.Eureka(b, fakes.EurekaOptions{})
	for i := range 5000 {
		e.Put(node("SEATS", fmt.Sprint("host:seats:", i), 1000+i, "UP"))
	}
	for _, format := range []string{"json", "xml"} {
		req, _ := http.NewRequest(http.MethodGet, e.Base+"/apps", nil)
		req.Header.Set("Accept", "application/"+format)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		var text strings.Builder
		if _, err := io.Copy(&text, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		b.Run(format, func(b *testing.B) {
			b.SetBytes(int64(text.Len()))
			b.ReportAllocs()
			for b.Loop() {
				r := newRegistry(Mapping{ZoneKey: "zone"}, []string{"SEATS"})
				d := &document{visit: r.put}
				if err := d.decode("application/"+format, strings.NewReader(text.String())); err != nil || len(r.now) != 5000 {
					b.Fatal(err, len(r.now))
				}
			}
		})
	}
}

// Guards against the documents' known oddities, each with what it comes to; "": it is no document.
func TestOddities(t *testing.T) {
	one := func(port, more string) string {
		return `{"applications":{"application":[{"name":"A","instance":[{"instanceId":"i","ipAddr":"127.0.0.2","status":"UP","port":` + port + more + `}]}]}}`
	}
	xml := func(more string) string {
		return `<?xml version="1.0"?><application><name>A</name><instance><hostName>127.0.0.2</hostName><status>UP</status>` + more + `</instance></application>`
	}
	for text, want := range map[string]string{
		one(`80`, ``):                         "i@127.0.0.2:80 Ready",
		one(`"80"`, ``):                       "i@127.0.0.2:80 Ready",
		one(`{"$":80,"@enabled":"true"}`, ``): "i@127.0.0.2:80 Ready",
		one(`{"$":"80","@enabled":true}`, `,"metadata":null`):              "i@127.0.0.2:80 Ready",
		one(`{"$":80,"@enabled":"false"}`, ``):                             "none",
		one(`null`, ``):                                                    "none",
		one(`0`, ``):                                                       "none",
		one(`99999999999999999999`, ``):                                    "none",
		one(`80`, `,"overriddenstatus":"OUT_OF_SERVICE"`):                  "i@127.0.0.2:80 OutOfService",
		one(`80`, `,"overriddenStatus":"UNKNOWN","metadata":""`):           "i@127.0.0.2:80 Ready",
		one(`80`, `,"status":"DOWN","overriddenStatus":"UP"`):              "i@127.0.0.2:80 Down",
		one(`80`, `,"ipAddr":"nowhere","hostName":"::1"`):                  "i@[::1]:80 Ready",
		one(`80`, `,"ipAddr":"node.example","hostName":"node.example"`):    "none",
		one(`80`, `,"leaseInfo":[],"dataCenterInfo":"x","metadata":[1,2]`): "i@127.0.0.2:80 Ready",
		`{"applications":{"versions__delta":"1","application":{"instance":{"hostName":"127.0.0.3","port":{"$":81},"status":"UP"},"name":"A"}}}`: "127.0.0.3@127.0.0.3:81 Ready",
		`{"applications":{"application":null}}`:            "none",
		`{"applications":{"application":{"name":"A"}}}`:    "none",
		`{"applications":null}`:                            "none",
		`{"error":"no"}`:                                   "",
		`{"applications":{}}{}`:                            "",
		`{"applications":{"application":[{"instance":[{}]`: "",
		`{"applications":{"application":{"instance":{}}}}`: "", // neither id nor host
		``:                                      "",
		xml(`<port enabled="true"> 80 </port>`): "127.0.0.2@127.0.0.2:80 Ready",
		xml(`<port>80</port><overriddenstatus>DOWN</overriddenstatus>`):                                         "127.0.0.2@127.0.0.2:80 Down",
		xml(`<port enabled="false">80</port>`):                                                                  "none",
		xml(`<port>80</port><metadata class="x"><zone><deep>1</deep></zone></metadata><unknown><a/></unknown>`): "127.0.0.2@127.0.0.2:80 Ready",
		`<applications/>`: "none",
		`<applications><application></applications>`: "",
		`<applications></applications><more/>`:       "",
		`<html><body/></html>`:                       "",
	} {
		kind := "application/json"
		if strings.HasPrefix(text, "<") {
			kind = "text/xml"
		}
		r := newRegistry(Mapping{ZoneKey: "zone"}, []string{"a"})
		got := ""
		if err := (&document{visit: r.put}).decode(kind, strings.NewReader(text)); err == nil {
			got = "none"
			for _, e := range r.news(true, false).Endpoints {
				got = e.Name + "@" + e.Address + " " + e.Status
			}
		}
		if got != want {
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
}

// Guards against leases that run out and are still followed, and against replicas of which one lags: the stand-in's own
// expiry, self-preservation and replication, seen by the client.
func TestLeasesAndReplicas(t *testing.T) {
	for _, preserves := range []bool{false, true} {
		var ahead atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
		e := base.Eureka(t, fakes.EurekaOptions{Preserves: preserves, Now: now})
		peer := base.Eureka(t, fakes.EurekaOptions{Now: now})
		e.Replicate(peer)
		for _, id := range []string{"a", "b"} {
			e.Put(node("SEATS", id, 81, "UP"))
		}
		d, w := declaration(e), declaration(peer)
		d.Applications, w.Applications = []string{"SEATS"}, []string{"SEATS"}
		h, _ := follow(t, d)
		other, _ := follow(t, w)
		for _, x := range []*heard{h, other} {
			base.Eventually(t, "replicated", func() bool { return x.says() == "a Ready, b Ready" })
		}
		e.Replicate()
		e.SetStatus("SEATS", "a", "DOWN")
		base.Eventually(t, "one knows", func() bool { return h.says() == "a Down, b Ready" })
		if got := other.says(); got != "a Ready, b Ready" {
			t.Errorf("a replica that is cut off has %q", got)
		}
		ahead.Store(int64(2 * time.Minute))
		if want := "a Down, b Ready"; preserves {
			calls := e.Calls("GET /apps/SEATS")
			base.Eventually(t, "polls", func() bool { return e.Calls("GET /apps/SEATS") > calls+3 })
			if got := h.says(); got != want {
				t.Errorf("%q in spite of self-preservation", got)
			}
			continue
		}
		base.Eventually(t, "expired", func() bool { return h.says() == "" })
	}
}
