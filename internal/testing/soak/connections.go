package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"orchiddrift/internal/testing/processes"
)

const (
	keepingClients = 6                      // of each sidecar
	meanRest       = 150 * time.Millisecond // of a keeping client between two requests
	redialInterval = 5 * time.Millisecond   // after a connection that was refused
	crowdIdleTime  = 2 * time.Second        // of a crowd's idle connections
)

// keepingClient sends one request at a time on a connection that it keeps until the sidecar ends it, and opens another one then.
type keepingClient struct {
	*client
	rng *rand.Rand
}

func newKeepingClient(c *client, number int) *keepingClient {
	return &keepingClient{c, rand.New(rand.NewPCG(c.rng.Uint64(), uint64(number)))}
}

func (k *keepingClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", k.address, patienceOver)
		if err != nil {
			time.Sleep(redialInterval)
			continue
		}
		k.use(ctx, conn)
		conn.Close()
	}
}

// use sends requests on a connection until it ends.
func (k *keepingClient) use(ctx context.Context, conn net.Conn) {
	in := bufio.NewReader(conn)
	for ctx.Err() == nil && !processes.ConnectionEnded(conn) {
		if !k.exchange(conn, in) {
			return
		}
		time.Sleep(time.Duration(k.rng.ExpFloat64() * float64(meanRest)))
	}
}

// exchange sends a request, records its end, and reports whether the connection may be used again.
func (k *keepingClient) exchange(conn net.Conn, in *bufio.Reader) (again bool) {
	q := Request{ID: RequestID(fmt.Sprintf("%016x", requests.Add(1))), Sidecar: k.sidecar,
		Deadline: between(k.rng, leastDeadline, k.deadline), Effect: []Effect{Safe, Keyed, Unsafe}[k.rng.IntN(3)]}
	again = exchange(conn, in, &q, k.address, k.record)
	k.record.do(func(r *Record) { r.Requests = append(r.Requests, q) })
	return again
}

// exchange sends a request on a connection and sets its end.
func exchange(conn net.Conn, in *bufio.Reader, q *Request, address string, record *recorder) (again bool) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+patienceOver)
	defer cancel()
	_ = conn.SetDeadline(time.Now().Add(q.Deadline + patienceOver)) // an error shows in the write
	request, err := newRequest(ctx, address, *q)
	if err != nil {
		panic(err) // of constants
	}
	defer func() {
		q.Ended = record.now()
		if err != nil {
			q.Failure = err.Error()
		}
	}()
	err = request.Write(conn)
	q.SentAt = record.now()
	if err != nil { // the connection had ended before the last byte
		q.Refused = true
		return false
	}
	response, err := http.ReadResponse(in, request)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	if response.StatusCode == http.StatusOK && string(body) != string(q.ID) {
		err = errForeign
		return false
	}
	q.Status = response.StatusCode
	return !response.Close
}

// crowd opens a step's connections to a sidecar, evenly over its time. Every second one sends a request, the others are idle.
func (f *fleet) crowd(s *sidecar, step Step) {
	interval := step.For / time.Duration(step.Count)
	for n := range step.Count {
		f.playing.Go(func() { f.crowdConnection(s, n%2 == 0) })
		time.Sleep(interval)
	}
}

func (f *fleet) crowdConnection(s *sidecar, idle bool) {
	conn, err := net.DialTimeout("tcp", s.address, patienceOver)
	if err != nil {
		return
	}
	defer conn.Close()
	if idle {
		_ = conn.SetDeadline(time.Now().Add(crowdIdleTime)) // an error shows in the read
		_, _ = conn.Read(make([]byte, 1))                   // until the sidecar ends it
		return
	}
	q := Request{ID: RequestID(fmt.Sprintf("%016x", requests.Add(1))), Sidecar: s.number, Deadline: f.script.Deadline, Effect: Unsafe}
	exchange(conn, bufio.NewReader(conn), &q, s.address, f.record)
	f.record.do(func(r *Record) { r.Requests = append(r.Requests, q) })
}
