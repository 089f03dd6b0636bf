package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/testing/testutil"
)

// pausingReader gives its pieces one by one, with a pause before each.
type pausingReader struct {
	pieces int
	size   int
	pause  time.Duration
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if r.pieces == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	r.pieces--
	return copy(p, make([]byte, r.size)), nil
}

// slowListener accepts connections whose reads take a pause each, with small buffers.
type slowListener struct {
	net.Listener
	pause time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	return slowConn{conn, l.pause}, nil
}

type slowConn struct {
	net.Conn
	pause time.Duration
}

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(p)
}

// Where an upstream read a large request slowly, or hung, the final answer came seconds after the client's time: its last byte had been
// written long before. A client that sends slowly has all its time from its own last byte on.
func TestUploadsThatTheUpstreamBlocks(t *testing.T) {
	const timeout = 500 * time.Millisecond
	const usualBytes = 1 << 20 // takes milliseconds, also on a busy machine
	large := bytes.Repeat([]byte("x"), 12<<20)
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int64
		pause  time.Duration // of the upstream before each read
		want   balancer.Result
	}{
		{"a known length, an upstream that reads slowly", bytes.NewReader(large), int64(len(large)), 20 * time.Millisecond, balancer.ConnectFailed},
		{"chunks, an upstream that reads slowly", bytes.NewReader(large), -1, 20 * time.Millisecond, balancer.ConnectFailed},
		{"a known length, an upstream that hangs", bytes.NewReader(large), int64(len(large)), time.Hour, balancer.ConnectFailed},
		{"a client that sends slowly", &pausingReader{10, 1000, 100 * time.Millisecond}, 10_000, 0, balancer.OK},
		{"a client that sends slowly, in chunks", &pausingReader{10, 1000, 100 * time.Millisecond}, -1, 0, balancer.OK},
		{"nobody is slow", bytes.NewReader(large[:usualBytes]), usualBytes, 0, balancer.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "done")
			})}
			go server.Serve(slowListener{l, c.pause})
			t.Cleanup(func() { server.Close() })
			pool := testPool(t, 1, testutil.Entry("s", l.Addr().String(), "Ready"))
			upload := &Upload{Body: c.body, Length: c.length, Timeout: timeout}
			startedAt := time.Now()
			response := pool.Attempt(t.Context(), "s", NewUpload("POST", "/confirm/1", "s", http.Header{}, nil, upload), time.Time{})
			upload.End()
			took := time.Since(startedAt)
			if response.Result != c.want {
				t.Errorf("the attempt ended with result %d after %v, want %d", response.Result, took, c.want)
			}
			if c.want != balancer.OK && took > 2*timeout {
				t.Errorf("the attempt took %v, want at most the client's %v and some", took, timeout)
			}
		})
	}
}
