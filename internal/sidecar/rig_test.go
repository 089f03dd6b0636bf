package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// patience bounds every wait of the tests; on a good run none comes near it.
const patience = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// got is a request as an upstream read it.
type got struct {
	method, target string
	header         http.Header
	body           string
	conn           int // which connection brought it
}

// fakeUpstream reads requests and answers each with what answer writes to the connection. Answering false
// ends the connection with a reset.
type fakeUpstream struct {
	address string
	answer  func(w net.Conn, g got) bool
	opened  atomic.Int32
	closed  atomic.Int32

	mu  sync.Mutex
	got []got
	lst net.Listener
}

func newUpstream(t *testing.T, answer func(net.Conn, got) bool) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{address: l.Addr().String(), answer: answer, lst: l}
	var wg sync.WaitGroup
	var conns sync.Map
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(u.opened.Add(1))
			conns.Store(c, true)
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer u.closed.Add(1)
				defer c.Close()
				u.serve(c, n)
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
		wg.Wait()
	})
	return u
}

func (u *fakeUpstream) serve(c net.Conn, n int) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		g := got{req.Method, req.RequestURI, req.Header, string(body), n}
		u.mu.Lock()
		u.got = append(u.got, g)
		u.mu.Unlock()
		if !u.answer(c, g) {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (u *fakeUpstream) requests() []got {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]got(nil), u.got...)
}

// says answers every request with the same text.
func says(text string) func(net.Conn, got) bool {
	return func(c net.Conn, _ got) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

func ok200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// silent holds every request until the client ends the connection.
func silent(c net.Conn, _ got) bool {
	_, _ = c.Read(make([]byte, 1))
	return true
}

// fakeDiscovery serves watches. Each runs script with its number, from 1, and what it asked for.
type fakeDiscovery struct {
	address string
	mu      sync.Mutex
	froms   []string
}

func newDiscovery(t *testing.T, script func(n int, send func(string), done <-chan struct{})) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address = l.Addr().String()
	stop, cancel := context.WithCancel(context.Background())
	srv := &http.Server{ReadHeaderTimeout: patience, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.froms = append(d.froms, r.URL.Query().Get("from"))
		n := len(d.froms)
		d.mu.Unlock()
		ctx, end := context.WithCancel(r.Context())
		defer end()
		defer context.AfterFunc(stop, end)()
		script(n, func(line string) {
			_, _ = io.WriteString(w, line+"\n")
			_ = http.NewResponseController(w).Flush()
		}, ctx.Done())
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { cancel(); srv.Close() })
	return d
}

func (d *fakeDiscovery) watches() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.froms...)
}

// quiet is a discovery without news.
func quiet(t *testing.T) *fakeDiscovery {
	return newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
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

func entry(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":0,"status":%q,"weight":1,"since_ms":0}`,
		name, address, status)
}

func list(index int, snapshot bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
}

const testSettings = `{"Balancers":1,"Zone":"a","Discovery":"ask","TickMs":5,"WorthBy":"work",
 "Classes":[
  {"Name":"search","Semantics":"retryable","AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5},
  {"Name":"record","Semantics":"dedup","KeyScope":"zone","DedupWindowMs":6000,"AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5},
  {"Name":"confirm","Semantics":"fragile","AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5}],
 "Limits":{"Cancelling":true,"ConnIdleMs":15000,"ConnectTimeoutMs":2000,"MaxRetryAfterMs":1500,"RetryAfter":true,
  "SecondCopies":true,"SendCap":5},
 "Rules":{"ColdFrom":0.3,"FallMs":2000,"FallMultiple":3,"WarmUpMs":8800},"Tenants":[]}`

func testConfigText(discovery string, known ...string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:9000","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery, list(1, true, known...), testSettings)
}

func testConfig(t *testing.T, discovery string, known ...string) *Config {
	t.Helper()
	c, err := parseConfig([]byte(testConfigText(discovery, known...)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// running is a whole sidecar in this process.
type running struct {
	address string
	stop    context.CancelFunc // as SIGTERM
	ended   chan struct{}
	err     error
	client  *http.Client
}

func start(t *testing.T, c *Config, listen string) *running {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{address: l.Addr().String(), stop: cancel, ended: make(chan struct{}),
		client: &http.Client{Timeout: patience, Transport: &http.Transport{}}}
	go func() {
		r.err = serve(ctx, c, l, "", nil)
		close(r.ended)
	}()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		cancel()
		<-r.ended
	})
	eventually(t, "ready", func() bool {
		resp, err := r.client.Get("http://" + r.address + "/-/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

var lastID atomic.Int64

// request is a well-formed request of a class.
func request(t *testing.T, address, class, body string) *http.Request {
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

func (r *running) do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := r.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// later sends a request and brings its status and body once it is answered.
func (r *running) later(req *http.Request) <-chan string {
	end := make(chan string, 1)
	go func() {
		resp, err := r.client.Do(req)
		if err != nil {
			end <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			end <- err.Error()
			return
		}
		end <- fmt.Sprint(resp.StatusCode, " ", string(body))
	}()
	return end
}

func parsed(t *testing.T, text string) *listing {
	t.Helper()
	if !json.Valid([]byte(text)) {
		t.Fatalf("not JSON: %s", text)
	}
	l, err := parseListing([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}
