package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Whatever is framed is read as it was, one after another; cut anywhere, it is not read at all; and no changed bit goes by.
func TestFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := MessageKind(rapid.IntRange(1, int(kinds)-1).Draw(t, "kind"))
		payload := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "payload")
		one := Append(nil, kind, payload)
		in := bytes.NewReader(Append(one, Ready, nil))
		if k, got, err := Read(in); err != nil || k != kind || !bytes.Equal(got, payload) {
			t.Fatalf("%v %v %v", k, got, err)
		}
		if k, _, err := Read(in); err != nil || k != Ready {
			t.Fatalf("the next: %v %v", k, err)
		}
		cut := rapid.IntRange(0, len(one)-1).Draw(t, "cut")
		if _, _, err := Read(bytes.NewReader(one[:cut])); err == nil {
			t.Fatalf("cut at %d of %d it is read", cut, len(one))
		}
		bad := bytes.Clone(one)
		at := rapid.IntRange(0, len(bad)-1).Draw(t, "at")
		bad[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		k, got, err := Read(bytes.NewReader(bad))
		if err == nil && (at != 5 || k == kind || !bytes.Equal(got, payload)) { // another kind is one that both ends check
			t.Fatalf("changed at %d it is read: %v", at, k)
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, Hello, []byte(`{"name":"n"}`)))
	f.Add(Append(nil, Ready, nil))
	f.Add([]byte("ODHO\x01\x02\xff\xff\xff\xff\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		in := bytes.NewReader(b)
		k, payload, err := Read(in)
		if err != nil {
			return
		}
		if again := Append(nil, k, payload); !bytes.Equal(again, b[:len(b)-in.Len()]) {
			t.Errorf("%q is read as %q", b, again)
		}
		_, _ = Decode(payload, Identity{}) // no bytes make it panic
	})
}

func testState() State {
	index := int64(41)
	return State{Identity: Identity{"n1", "127.0.0.1:9000"}, Draining: true, Services: map[string]Service{"platform": {Discovery: "127.0.0.1:8500",
		List:     &endpoints.List{Index: &index, Snapshot: true, Endpoints: []endpoints.Endpoint{{Name: "s", Address: "127.0.0.1:9", Status: "Ready"}}},
		Snapshot: &balancer.Snapshot{MeanLatency: 0.1, Upstreams: map[string]balancer.UpstreamSnapshot{"s": {Estimate: 0.2, Ejections: 1}}}}}}
}

// Guards against a state of another sidecar, and one that can't be used: it is turned down as a whole.
func TestDecode(t *testing.T) {
	s := testState()
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text, s.Identity)
	again, _ := json.Marshal(got)
	if err != nil || string(again) != string(text) {
		t.Errorf("%s, %v", again, err)
	}
	if _, err := Decode(text, Identity{"n2", "127.0.0.1:9000"}); err == nil {
		t.Error("another sidecar's is taken")
	}
	for name, spoil := range map[string]func(*Service){
		"a list without version": func(s *Service) { s.List.Index = nil },
		"an address":             func(s *Service) { s.List.Endpoints[0].Address = "nowhere" },
		"knowledge":              func(s *Service) { s.Snapshot.MeanLatency = -1 },
	} {
		s := testState()
		one := s.Services["platform"]
		spoil(&one)
		s.Services["platform"] = one
		text, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(text, s.Identity); err == nil {
			t.Errorf("%s: it is taken", name)
		}
	}
}

// A state beyond a message's bound leaves behind what costs least to lack.
func TestALargeStateIsCutDown(t *testing.T) {
	s := testState()
	one := s.Services["platform"]
	for i := range 20000 {
		one.Snapshot.Upstreams[fmt.Sprintf("upstream-%d", i)] = balancer.UpstreamSnapshot{Estimate: 0.123456789, Age: time.Duration(i)}
	}
	text, err := s.Encode()
	if err != nil || len(text) > MaxPayload {
		t.Fatalf("%d bytes, %v", len(text), err)
	}
	got, err := Decode(text, s.Identity)
	if err != nil || got.Services["platform"].List == nil || got.Services["platform"].Snapshot != nil || !got.Draining {
		t.Errorf("%+v, %v", got, err)
	}
}

// offered starts a process that waits for successors.
func offered(t *testing.T, path string, who Identity) (net.Listener, <-chan *Link) {
	t.Helper()
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	links := make(chan *Link, 8)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			l, err := o.Next(who, clients, func() State { s := testState(); s.Identity = who; return s })
			if errors.Is(err, ErrNoSuccessor) {
				continue
			}
			if err != nil {
				return
			}
			links <- l
		}
	}()
	t.Cleanup(func() {
		o.Close()
		<-done
		clients.Close()
	})
	return clients, links
}

// The successor gets the socket itself: what waits in its queue when the old process has closed it is there for the new one. Guards
// against requests that a replacement resets; the same queue behind SO_REUSEPORT is lost, which is counted beside it.
func TestWhatWaitsInTheQueueIsNotLost(t *testing.T) {
	path, who := filepath.Join(t.TempDir(), "a.sock"), Identity{"n1", "127.0.0.1:0"}
	clients, links := offered(t, path, who)
	state, listener, link, err := Request(path, who)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	defer listener.Close()
	if !state.Draining || state.Services["platform"].Discovery != "127.0.0.1:8500" || listener.Addr().String() != clients.Addr().String() {
		t.Errorf("%+v at %v", state, listener.Addr())
	}
	served := func(address string, old net.Listener, next func() net.Listener) (answered int) {
		const waiting = 20
		conns := make([]net.Conn, waiting)
		for i := range conns {
			if conns[i], err = net.Dial("tcp", address); err != nil {
				t.Fatal(err)
			}
			defer conns[i].Close()
			_, _ = io.WriteString(conns[i], "x")
		}
		old.Close()
		l := next()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte("y"))
				c.Close()
			}
		}()
		for _, c := range conns {
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err == nil {
				answered++
			}
		}
		return answered
	}
	if n := served(clients.Addr().String(), clients, func() net.Listener { return listener }); n != 20 {
		t.Errorf("%d of 20 are answered", n)
	}
	reuse := func(address string) net.Listener {
		c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
			_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
			return err
		}}
		l, err := c.Listen(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	old := reuse("127.0.0.1:0")
	var next net.Listener
	n := served(old.Addr().String(), old, func() net.Listener { next = reuse(old.Addr().String()); return next })
	next.Close()
	t.Logf("behind SO_REUSEPORT alone %d of 20 are answered", n)
	if l := <-links; l.Close() != nil {
		t.Error("the link was closed")
	}
}

// Guards against leftovers and strangers that cost more than themselves: a path that a dead process left, another sidecar behind it, one
// that says nothing or nonsense, and a predecessor that ends in the middle.
func TestStrangersAndLeftovers(t *testing.T) {
	dir, who := t.TempDir(), Identity{"n1", "127.0.0.1:9"}
	if _, _, _, err := Request(filepath.Join(dir, "none.sock"), who); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nobody there: %v", err)
	}
	left := filepath.Join(dir, "left.sock")
	o, err := Listen(left)
	if err != nil {
		t.Fatal(err)
	}
	o.Close()
	if _, _, _, err := Request(left, who); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a leftover: %v", err)
	}
	_, links := offered(t, left, who) // over the leftover
	if _, _, _, err := Request(left, Identity{"n2", who.Listen}); err == nil {
		t.Error("another sidecar got the socket")
	}
	for _, nonsense := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(Append(nil, Ready, nil)), string(Append(nil, Hello, []byte("{}")))} {
		c, err := net.Dial("unix", left)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, nonsense)
		c.Close()
	}
	_, listener, link, err := Request(left, who) // it still waits
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	if err := link.Send(Ready); err != nil {
		t.Error(err)
	}
	old := <-links
	if k, _, err := old.Next(); err != nil || k != Ready {
		t.Errorf("%v, %v", k, err)
	}
	if err := old.SendDescriptorsHeld(77); err != nil {
		t.Error(err)
	}
	if k, held, err := link.Next(); err != nil || k != DescriptorsHeld || held != 77 {
		t.Errorf("%v, %v, %v", k, held, err)
	}
	link.Close()
	if _, _, err := old.Next(); err == nil {
		t.Error("the successor's end is not seen")
	}
	old.Close()

	broken := filepath.Join(dir, "broken.sock")
	for name, says := range map[string]string{"nothing": "", "half a message": string(Append(nil, Welcome, []byte("{}"))[:9]),
		"no socket": string(Append(nil, Welcome, mustEncode(t, who))), "another kind": string(Append(nil, Ready, nil))} {
		l, err := net.Listen("unix", broken)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _, _ = Read(c)
			_, _ = io.WriteString(c, says)
			c.Close()
		}()
		if _, _, _, err := Request(broken, who); err == nil {
			t.Errorf("%s is taken", name)
		}
		l.Close()
	}
	if _, err := Listen(filepath.Join(dir, strings.Repeat("x", 120)+".sock")); err == nil {
		t.Error("a path beyond what a socket's may have")
	}
}

func mustEncode(t *testing.T, who Identity) []byte {
	s := testState()
	s.Identity = who
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return text
}
