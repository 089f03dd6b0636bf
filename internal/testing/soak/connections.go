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
	keepAliveClientCount = 6                      // number of keep-alive clients of each sidecar
	meanThinkTime        = 150 * time.Millisecond // mean pause of a keep-alive client between two requests
	redialInterval       = 5 * time.Millisecond   // pause after a refused connection
	crowdIdleTime        = 2 * time.Second        // time after which an idle connection of a crowd is closed
)

// keepAliveClient sends one request at a time over a connection until the sidecar closes the connection. Then it opens another connection.
type keepAliveClient struct {
	*client
	rng *rand.Rand
}

func newKeepAliveClient(c *client, number int) *keepAliveClient {
	return &keepAliveClient{c, rand.New(rand.NewPCG(c.rng.Uint64(), uint64(number)))}
}

func (k *keepAliveClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", k.address, clientTimeoutMargin)
		if err != nil {
			time.Sleep(redialInterval)
			continue
		}
		k.use(ctx, conn)
		conn.Close()
	}
}

// use sends requests over a connection until the connection ends.
func (k *keepAliveClient) use(ctx context.Context, conn net.Conn) {
	in := bufio.NewReader(conn)
	for ctx.Err() == nil && !processes.ConnectionEnded(conn) {
		if !k.exchange(conn, in) {
			return
		}
		time.Sleep(time.Duration(k.rng.ExpFloat64() * float64(meanThinkTime)))
	}
}

// exchange sends one request, records its result, and reports whether the connection can be used for another request.
func (k *keepAliveClient) exchange(conn net.Conn, in *bufio.Reader) (reusable bool) {
	q := Request{ID: RequestID(fmt.Sprintf("%016x", requests.Add(1))), Sidecar: k.sidecar,
		Deadline: between(k.rng, minDeadline, k.deadline), Effect: []Effect{Safe, Keyed, Unsafe}[k.rng.IntN(3)]}
	reusable = exchange(conn, in, &q, k.address, k.record)
	k.record.do(func(r *Record) { r.Requests = append(r.Requests, q) })
	return reusable
}

// exchange sends a request over a connection and sets its result in q. It reports whether the connection can be used for another request.
func exchange(conn net.Conn, in *bufio.Reader, q *Request, address string, record *recorder) (reusable bool) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+clientTimeoutMargin)
	defer cancel()
	_ = conn.SetDeadline(time.Now().Add(q.Deadline + clientTimeoutMargin)) // if this fails, the write fails too
	request, err := newRequest(ctx, address, *q)
	if err != nil {
		panic(err) // unreachable, because all parts of the URL are valid
	}
	defer func() {
		q.Ended = record.now()
		if err != nil {
			q.Failure = err.Error()
		}
	}()
	err = request.Write(conn)
	q.SentAt = record.now()
	if err != nil { // the sidecar did not get the complete request
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
		err = errWrongRequest
		return false
	}
	q.Status = response.StatusCode
	return !response.Close
}

// crowd opens the connections of a step to a sidecar, evenly distributed over the step's length. Every second connection sends a request, and
// the others stay idle.
func (f *fleet) crowd(s *sidecar, step Step) {
	interval := step.For / time.Duration(step.Count)
	for n := range step.Count {
		f.runningSteps.Go(func() { f.openCrowdConnection(s, n%2 == 0) })
		time.Sleep(interval)
	}
}

func (f *fleet) openCrowdConnection(s *sidecar, idle bool) {
	conn, err := net.DialTimeout("tcp", s.address, clientTimeoutMargin)
	if err != nil {
		return
	}
	defer conn.Close()
	if idle {
		_ = conn.SetDeadline(time.Now().Add(crowdIdleTime)) // if this fails, the read fails too
		_, _ = conn.Read(make([]byte, 1))                   // returns when the sidecar closes the connection
		return
	}
	q := Request{ID: RequestID(fmt.Sprintf("%016x", requests.Add(1))), Sidecar: s.number, Deadline: f.script.Deadline, Effect: Unsafe}
	exchange(conn, bufio.NewReader(conn), &q, s.address, f.record)
	f.record.do(func(r *Record) { r.Requests = append(r.Requests, q) })
}
