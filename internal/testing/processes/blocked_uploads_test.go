package processes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/loadgen/hostile"
)

// The uploads, and when they have to be answered.
const (
	uploadBytes     = 3_000_000
	uploadChunk     = 6000
	uploadWait      = 1200 * time.Millisecond // for an answer, from the last byte on
	uploadSlack     = 550 * time.Millisecond  // after its time an answer is late and not lost
	uploadsAtOnce   = 8
	uploadReadBytes = 20_095 // of an upload, after which a node stops
)

// uploadNode is an upstream that reads a request in its own way, and does not answer it.
type uploadNode func(ctx context.Context, conn net.Conn)

// stopsReading reads the beginning of a request and then nothing.
func stopsReading(ctx context.Context, conn net.Conn) {
	_, _ = io.CopyN(io.Discard, conn, uploadReadBytes)
	<-ctx.Done()
}

// readsInSteps returns a node that reads so many bytes, and pauses, until the connection ends.
func readsInSteps(bytes int64, pause time.Duration) uploadNode {
	return func(_ context.Context, conn net.Conn) {
		for {
			if _, err := io.CopyN(io.Discard, conn, bytes); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// upload sends a request in chunks or with a length, over a time, and returns how long after its last byte its answer came.
func upload(address, id string, chunked bool, over time.Duration) (took time.Duration, status int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	answered := make(chan error, 1)
	var answeredAt time.Time
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		answeredAt = time.Now()
		if err == nil {
			status = response.StatusCode
		}
		answered <- err
	}()
	framing := fmt.Sprintf("Content-Length: %d", uploadBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST /confirm/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n%s\r\n\r\n", id, id, uploadWait.Milliseconds(), framing)
	pieces := uploadBytes / uploadChunk
	piece := strings.Repeat("x", uploadChunk)
	if chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", uploadChunk, piece)
	}
	for i := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			break // the answer came before the last byte
		}
		if over > 0 && i%10 == 0 {
			time.Sleep(over / time.Duration(pieces/10))
		}
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	written := time.Now()
	_ = conn.SetReadDeadline(written.Add(2*uploadWait + 10*time.Second))
	err = <-answered
	return answeredAt.Sub(written), status, err
}

// disturbance is what happens to a process beside the uploads, until the context ends.
type disturbance struct {
	name string
	play func(ctx context.Context, p *Process, address string)
}

// A process may be held up for 0.15 s.
const (
	heldUpFor   = 120 * time.Millisecond
	heldUpPause = 280 * time.Millisecond
)

// holdUp stops the process again and again.
func holdUp(ctx context.Context, p *Process, _ string) {
	for ctx.Err() == nil {
		time.Sleep(heldUpPause)
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(heldUpFor)
		_ = p.Signal(syscall.SIGCONT)
	}
}

// playCrowd plays hostile clients.
func playCrowd(ctx context.Context, p *Process, address string) {
	hostile.Play(ctx, hostile.Target{Address: address, PID: p.PID()}, hostile.Crowd(1), Patience)
}

// Where a server read a large request slowly, or stopped, the final answer came seconds after its time.
func TestUploadsToSlowNodesAreAnsweredInTime(t *testing.T) {
	for _, node := range []struct {
		name  string
		serve uploadNode
	}{
		{"stops reading", stopsReading},
		{"reads a little often", readsInSteps(2<<10, 5*time.Millisecond)},
		{"reads a little now and then", readsInSteps(32<<10, 100*time.Millisecond)},
		{"reads much now and then", readsInSteps(256<<10, 300*time.Millisecond)},
	} {
		for _, beside := range []disturbance{
			{"alone", func(context.Context, *Process, string) {}},
			{"beside a crowd", playCrowd},
			{"held up", holdUp},
		} {
			for _, over := range []time.Duration{0, 2 * time.Second} {
				t.Run(fmt.Sprintf("%s, %s, written over %v", node.name, beside.name, over), func(t *testing.T) {
					t.Parallel()
					var addresses []string
					for range 6 {
						addresses = append(addresses, listenRaw(t, node.serve))
					}
					p, address := startPlatformSidecarBefore(t, New(t, 1), 192, addresses)
					var disturbing sync.WaitGroup
					defer disturbing.Wait()
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					disturbing.Go(func() { beside.play(ctx, p, address) })
					var uploads sync.WaitGroup
					for i := range uploadsAtOnce {
						chunked := i%2 == 0
						uploads.Go(func() {
							took, status, err := upload(address, fmt.Sprintf("f%015x", i), chunked, over)
							if err != nil || took > uploadWait+uploadSlack {
								t.Errorf("upload %d (chunked %v): status %d %v after the last byte, error %v: want an answer within %v", i, chunked, status, took,
									err, uploadWait+uploadSlack)
							}
						})
					}
					uploads.Wait()
				})
			}
		}
	}
}
