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

// startOffer waits for successors in the role of a predecessor, until the test ends. It returns the predecessor's listening socket for
// clients and the links to successors.
func startOffer(t *testing.T, path string, own Identity) (net.Listener, <-chan *Link) {
	t.Helper()
	clientListener, err := net.Listen("tcp", "127.0.0.1:0")
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
			link, err := offer.Next(own, clientListener, func() State { return stateOf(own) })
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
		clientListener.Close()
	})
	return clientListener, links
}

func stateOf(own Identity) State {
	s := testState()
	s.Identity = own
	return s
}

// TestQueuedConnectionsSurvive guards against connections that are reset in an upgrade: those in the accept queue of the old process are
// accepted by the successor, which has the same socket. For comparison the test logs how many connections are answered if each process has
// its own socket with SO_REUSEPORT.
func TestQueuedConnectionsSurvive(t *testing.T) {
	path, own := filepath.Join(t.TempDir(), "a.sock"), Identity{"n1", "127.0.0.1:0"}
	clientListener, links := startOffer(t, path, own)
	state, listener, link, err := Request(path, own)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	defer listener.Close()
	if !state.Draining || state.Services["platform"].Discovery != "127.0.0.1:8500" || listener.Addr().String() != clientListener.Addr().String() {
		t.Errorf("the successor received state %+v and a socket at %v, want those of the predecessor", state, listener.Addr())
	}
	if n := countAnswered(t, clientListener, func() net.Listener { return listener }); n != queuedConnections {
		t.Errorf("the successor answered %d of %d queued connections, want all", n, queuedConnections)
	}
	old := listenReusePort(t, "127.0.0.1:0")
	var next net.Listener
	n := countAnswered(t, old, func() net.Listener { next = listenReusePort(t, old.Addr().String()); return next })
	next.Close()
	t.Logf("with SO_REUSEPORT instead of a passed socket, %d of %d queued connections are answered", n, queuedConnections)
	if link := <-links; link.Close() != nil {
		t.Error("closing the predecessor's link returned an error")
	}
}

// queuedConnections is the number of connections in the accept queue when the old process closes its socket.
const queuedConnections = 20

// countAnswered opens connections to old, closes old, accepts connections from the listener that next returns, and returns how many of the
// opened connections are answered.
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

// TestRequestWithoutPredecessor checks the errors of Request if no process waits, and if a process that has ended left its socket's path.
func TestRequestWithoutPredecessor(t *testing.T) {
	dir, own := t.TempDir(), Identity{"n1", "127.0.0.1:9"}
	if _, _, _, err := Request(filepath.Join(dir, "none.sock"), own); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("request without a socket: error %v, want os.ErrNotExist", err)
	}
	stalePath := filepath.Join(dir, "left.sock")
	offer, err := Listen(stalePath)
	if err != nil {
		t.Fatal(err)
	}
	offer.Close()
	if _, _, _, err := Request(stalePath, own); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("request to a process that has ended: error %v, want ECONNREFUSED", err)
	}
}

// TestOfferSurvivesStrangers guards against an offer that passes the socket to other sidecars or to clients that do not follow the
// protocol, or that fails because of them. The offer takes over the path of a process that has ended and must reject such clients. Then the
// test checks the messages between the predecessor and a successor until the successor ends.
func TestOfferSurvivesStrangers(t *testing.T) {
	path, own := filepath.Join(t.TempDir(), "left.sock"), Identity{"n1", "127.0.0.1:9"}
	ended, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	ended.Close()
	_, links := startOffer(t, path, own)
	if _, _, _, err := Request(path, Identity{"n2", own.Listen}); err == nil {
		t.Error("a process with the identity of another sidecar received the socket, want an error")
	}
	for _, input := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(Append(nil, Ready, nil)), string(Append(nil, Hello, []byte("{}")))} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, input)
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
		t.Errorf("the predecessor received kind %v, error %v; want Ready", kind, err)
	}
	if err := predecessor.SendDescriptorsHeld(77); err != nil {
		t.Error(err)
	}
	if kind, held, err := successor.Next(); err != nil || kind != DescriptorsHeld || held != 77 {
		t.Errorf("the successor received kind %v, number %v, error %v; want DescriptorsHeld with 77", kind, held, err)
	}
	successor.Close()
	if _, _, err := predecessor.Next(); err == nil {
		t.Error("the predecessor's Next returned no error after the successor closed the connection")
	}
	predecessor.Close()
}

// TestRequestOfBrokenPredecessor checks that a successor rejects the hand-over of a process that ends before its message is complete or
// does not follow the protocol.
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
				t.Error("the successor accepted the hand-over of a broken predecessor, want an error")
			}
		})
	}
}

// TestListenPathTooLong checks that Listen returns an error for a path that is too long for a Unix socket.
func TestListenPathTooLong(t *testing.T) {
	if _, err := Listen(filepath.Join(t.TempDir(), strings.Repeat("x", 120)+".sock")); err == nil {
		t.Error("Listen accepted a path that is too long for a Unix socket")
	}
}
