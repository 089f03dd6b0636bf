package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// startOffer starts a process that waits for successors, until the test ends. It returns its clients' socket and the links to successors.
func startOffer(t *testing.T, path string, own Identity) (net.Listener, <-chan *Link) {
	t.Helper()
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	offer, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	links := make(chan *Link, 8)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			link, err := offer.Next(own, clients, func() State { return stateOf(own) })
			if errors.Is(err, ErrNoSuccessor) {
				continue
			}
			if err != nil {
				return
			}
			links <- link
		}
	}()
	t.Cleanup(func() {
		offer.Close()
		<-done
		clients.Close()
	})
	return clients, links
}

func stateOf(own Identity) State {
	s := testState()
	s.Identity = own
	return s
}

// TestQueuedConnectionsSurvive checks that connections in the accept queue of the old process are accepted by the successor, which has the
// same socket. It logs how many are where both have sockets of their own with SO_REUSEPORT.
func TestQueuedConnectionsSurvive(t *testing.T) {
	path, own := filepath.Join(t.TempDir(), "a.sock"), Identity{"n1", "127.0.0.1:0"}
	clients, links := startOffer(t, path, own)
	state, listener, link, err := Request(path, own)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	defer listener.Close()
	if !state.Draining || state.Services["platform"].Discovery != "127.0.0.1:8500" || listener.Addr().String() != clients.Addr().String() {
		t.Errorf("%+v at %v", state, listener.Addr())
	}
	if n := countAnswered(t, clients, func() net.Listener { return listener }); n != queuedConnections {
		t.Errorf("%d of %d are answered", n, queuedConnections)
	}
	old := listenReusePort(t, "127.0.0.1:0")
	var next net.Listener
	n := countAnswered(t, old, func() net.Listener { next = listenReusePort(t, old.Addr().String()); return next })
	next.Close()
	t.Logf("behind SO_REUSEPORT alone %d of %d are answered", n, queuedConnections)
	if link := <-links; link.Close() != nil {
		t.Error("the link was closed")
	}
}

// queuedConnections is how many connections wait in the accept queue when the old process closes its socket.
const queuedConnections = 20

// countAnswered opens connections to old, closes it, and returns how many of them the process that has next's socket answers.
func countAnswered(t *testing.T, old net.Listener, next func() net.Listener) (answered int) {
	t.Helper()
	address := old.Addr().String()
	conns := make([]net.Conn, queuedConnections)
	for i := range conns {
		var err error
		if conns[i], err = net.Dial("tcp", address); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
		_, _ = io.WriteString(conns[i], "x")
	}
	old.Close()
	listener := next()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("y"))
			conn.Close()
		}
	}()
	for _, conn := range conns {
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			answered++
		}
	}
	return answered
}

func listenReusePort(t *testing.T, address string) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return err
	}}
	listener, err := config.Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// TestRequestWithoutPredecessor checks the errors where no process waits, and where a dead one has left its path.
func TestRequestWithoutPredecessor(t *testing.T) {
	dir, own := t.TempDir(), Identity{"n1", "127.0.0.1:9"}
	if _, _, _, err := Request(filepath.Join(dir, "none.sock"), own); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no process: %v", err)
	}
	left := filepath.Join(dir, "left.sock")
	offer, err := Listen(left)
	if err != nil {
		t.Fatal(err)
	}
	offer.Close()
	if _, _, _, err := Request(left, own); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a dead process: %v", err)
	}
}

// TestOfferSurvivesStrangers checks that an offer takes over the path of a dead process, gives nothing to other sidecars and to what does
// not follow the protocol, and serves a successor after them; and the messages of both ends up to the successor's end.
func TestOfferSurvivesStrangers(t *testing.T) {
	path, own := filepath.Join(t.TempDir(), "left.sock"), Identity{"n1", "127.0.0.1:9"}
	dead, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	_, links := startOffer(t, path, own)
	if _, _, _, err := Request(path, Identity{"n2", own.Listen}); err == nil {
		t.Error("another sidecar got the socket")
	}
	for _, noise := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(Append(nil, Ready, nil)), string(Append(nil, Hello, []byte("{}")))} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, noise)
		conn.Close()
	}
	_, listener, successor, err := Request(path, own)
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	if err := successor.Send(Ready); err != nil {
		t.Error(err)
	}
	predecessor := <-links
	if kind, _, err := predecessor.Next(); err != nil || kind != Ready {
		t.Errorf("%v, %v", kind, err)
	}
	if err := predecessor.SendDescriptorsHeld(77); err != nil {
		t.Error(err)
	}
	if kind, held, err := successor.Next(); err != nil || kind != DescriptorsHeld || held != 77 {
		t.Errorf("%v, %v, %v", kind, held, err)
	}
	successor.Close()
	if _, _, err := predecessor.Next(); err == nil {
		t.Error("the successor's end is not noticed")
	}
	predecessor.Close()
}

// TestRequestOfBrokenPredecessor checks that a successor takes nothing from a process that ends in the middle or does not follow the
// protocol.
func TestRequestOfBrokenPredecessor(t *testing.T) {
	own := Identity{"n1", "127.0.0.1:9"}
	for _, c := range []struct{ name, reply string }{
		{"nothing", ""},
		{"half a message", string(Append(nil, Welcome, []byte("{}"))[:9])},
		{"no socket", string(Append(nil, Welcome, mustEncode(t, stateOf(own))))},
		{"another kind", string(Append(nil, Ready, nil))},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "broken.sock")
			listener, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _, _ = Read(conn)
				_, _ = io.WriteString(conn, c.reply)
				conn.Close()
			}()
			if _, _, _, err := Request(path, own); err == nil {
				t.Error("accepted")
			}
		})
	}
}

// TestListenPathTooLong checks that a path longer than a Unix socket's may be is an error.
func TestListenPathTooLong(t *testing.T) {
	if _, err := Listen(filepath.Join(t.TempDir(), strings.Repeat("x", 120)+".sock")); err == nil {
		t.Error("a path beyond what a socket's may have")
	}
}
