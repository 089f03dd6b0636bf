package eureka

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingSink is a Sink that records the list and the number of Lost reports. It also records log lines.
type recordingSink struct {
	mu       sync.Mutex
	list     map[string]endpoints.Endpoint
	losses   int
	logLines []string
}

func (s *recordingSink) Update(l *endpoints.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Snapshot {
		clear(s.list)
	}
	for _, e := range l.Endpoints {
		if s.list[e.Name] = e; e.Status == endpoints.StatusGone {
			delete(s.list, e.Name)
		}
	}
}

func (s *recordingSink) Current() {}

func (s *recordingSink) Lost(error, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses++
}

func (s *recordingSink) lossCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses
}

func (s *recordingSink) endpoint(name string) endpoints.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list[name]
}

// listText returns the list as "name status", sorted by name.
func (s *recordingSink) listText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.list)) {
		out = append(out, name+" "+s.list[name].Status)
	}
	return strings.Join(out, ", ")
}

// waitFor waits until listText returns list.
func (s *recordingSink) waitFor(t *testing.T, step, list string) {
	t.Helper()
	base.Eventually(t, step+": "+list, func() bool { return s.listText() == list })
}

func (s *recordingSink) log(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLines = append(s.logLines, line)
}

// logCount returns the number of log lines that contain text.
func (s *recordingSink) logCount(text string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.logLines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// testDeclaration returns a declaration of a registry with the given servers, which is polled every 5 ms.
func testDeclaration(servers ...*fakes.Eureka) Declaration {
	d := Declaration{Service: "s", Name: "eureka", Poll: units.Duration(5 * time.Millisecond), Timeout: units.Duration(300 * time.Millisecond),
		Backoff: units.Duration(20 * time.Millisecond), MaxAnswer: 16 * units.MiB, ZoneKey: "zone", TypeKey: "type", GroupKey: "group"}
	for _, s := range servers {
		d.Servers = append(d.Servers, s.Base)
	}
	return d
}

// startSource runs a Source until the test ends.
func startSource(t *testing.T, d Declaration) (*recordingSink, *Source) {
	t.Helper()
	sink := &recordingSink{list: map[string]endpoints.Endpoint{}}
	s, err := New(d, time.Second, 1, logging.NewFunc(sink.log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx, sink) }()
	t.Cleanup(func() { cancel(); <-done })
	return sink, s
}

func testInstance(application, id string, port int, status string) fakes.EurekaInstance {
	return fakes.EurekaInstance{App: application, ID: id, Host: "node.example", IP: "127.0.0.2", VIP: strings.ToLower(application), Port: port,
		SecurePort: port + 1000, SecureOn: true, Status: status, Up: time.UnixMilli(1_700_000_000_000),
		Metadata: map[string]string{"zone": "upper-hill", "type": "large", "group": "3"}}
}
