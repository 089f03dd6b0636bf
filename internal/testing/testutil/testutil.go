// Package testutil holds helpers that tests of several packages share: waiting for conditions, fakes that are closed at the end of the test, and
// valid configurations and requests. Only tests import it.
package testutil

import (
	"bytes"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// Timeout is base.Timeout.
const Timeout = base.Timeout

// Eventually is base.Eventually.
func Eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	base.Eventually(t, condition, ok)
}

// Raw starts a fake upstream that answers requests with the function answer.
func Raw(t testing.TB, answer func(net.Conn, fakes.Got) bool) *fakes.Raw {
	t.Helper()
	u, err := fakes.NewRaw(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// Discovery starts a fake discovery service that sends each line that script passes to the function send.
func Discovery(t testing.TB, script func(n int, send func(string), done <-chan struct{})) *fakes.ScriptedDiscovery {
	t.Helper()
	d, err := fakes.NewScriptedDiscovery(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Quiet starts a fake discovery service that sends an empty list and then only heartbeats, every 200 ms.
func Quiet(t testing.TB) *fakes.ScriptedDiscovery {
	return Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(`{"index":1,"snapshot":false,"endpoints":[]}`)
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
				send("")
			}
		}
	})
}

// Entry returns an entry of an endpoint list as JSON.
func Entry(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":0,"status":%q,"weight":1,"since_ms":0}`,
		name, address, status)
}

// List returns an endpoint list as JSON.
func List(index int, snapshot bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
}

// EndpointList returns a parsed endpoint list.
func EndpointList(t testing.TB, index int, snapshot bool, entries ...string) *endpoints.List {
	t.Helper()
	l, err := endpoints.ParseList([]byte(List(index, snapshot, entries...)))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Settings are balancer settings as JSON. They contain one class for each kind of Semantics.
const Settings = `{"Balancers":1,"Zone":"a","Discovery":"ask","TickMs":5,"WorthBy":"work",
 "Classes":[
  {"Name":"search","Semantics":"retryable","AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5},
  {"Name":"record","Semantics":"dedup","KeyScope":"zone","DedupWindowMs":6000,"AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5},
  {"Name":"confirm","Semantics":"fragile","AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5}],
 "Limits":{"Cancelling":true,"ConnIdleMs":15000,"ConnectTimeoutMs":2000,"MaxRetryAfterMs":1500,"RetryAfter":true,
  "SecondCopies":true,"SendCap":5},
 "Rules":{"ColdFrom":0.3,"FallMs":2000,"FallMultiple":3,"WarmUpMs":8800},"Tenants":[]}`

// ConfigText returns a configuration as JSON, with Settings and the given known endpoints.
func ConfigText(discovery string, known ...string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:9000","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery, List(1, true, known...), Settings)
}

// Config returns the parsed configuration of ConfigText.
func Config(t testing.TB, discovery string, known ...string) *config.Config {
	t.Helper()
	c, err := config.Parse([]byte(ConfigText(discovery, known...)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var lastID atomic.Int64

// Request returns a valid request of a class in Settings, with a new request ID.
func Request(t testing.TB, address, class, body string) *http.Request {
	t.Helper()
	method := http.MethodPost
	if class == "search" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+address+"/"+class+"/7f3a", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", fmt.Sprintf("%016x", lastID.Add(1)))
	req.Header.Set("X-Priority-Class", class)
	req.Header.Set("X-Timeout", "9000m")
	if class == "record" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	return req
}

// Logged collects the output of package log until the end of the test. The returned function returns the output so far.
func Logged(t testing.TB) func() string {
	t.Helper()
	l := &logBuffer{}
	log.SetOutput(l)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return l.String
}

// logBuffer is a buffer that is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
