package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests to one sidecar, each over its own connection. A request without a response is therefore a fault of the sidecar, and not
// the result of an idle connection that the sidecar closes at the same moment.
type client struct {
	sidecar  int
	address  string
	deadline time.Duration
	record   *recorder
	rng      *rand.Rand
	http     *http.Client
	sending  sync.WaitGroup
}

const (
	minDeadline         = 300 * time.Millisecond
	disconnectOneIn     = 12              // on average, the client disconnects early from one in this many requests
	clientTimeoutMargin = 3 * time.Second // time for which a client waits beyond its deadline, to tell a late answer from a lost one
	maxDisconnectDelay  = 200 * time.Millisecond
)

var requests atomic.Uint64

func newClient(sidecar int, address string, deadline time.Duration, seed uint64, record *recorder) *client {
	return &client{sidecar: sidecar, address: address, deadline: deadline, record: record, rng: rand.New(rand.NewPCG(seed, uint64(sidecar))),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run sends requests with random pauses until ctx ends, rate requests per second on average. Then it waits for all requests to end.
func (c *client) run(ctx context.Context, rate float64) {
	defer c.sending.Wait()
	for {
		pause := time.Duration(c.rng.ExpFloat64() * float64(time.Second) / rate)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		q := Request{ID: RequestID(fmt.Sprintf("%016x", requests.Add(1))), Sidecar: c.sidecar, Deadline: between(c.rng, minDeadline, c.deadline),
			Effect: []Effect{Safe, Safe, Keyed, Unsafe}[c.rng.IntN(4)]}
		disconnectAfter := time.Duration(0)
		if c.rng.IntN(disconnectOneIn) == 0 {
			disconnectAfter = between(c.rng, 5*time.Millisecond, maxDisconnectDelay)
		}
		c.sending.Go(func() { c.send(q, disconnectAfter) })
	}
}

// send sends a request and records its result. If disconnectAfter is not 0, the client disconnects when that much time has passed since
// the request was written.
func (c *client) send(q Request, disconnectAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+clientTimeoutMargin)
	defer cancel()
	written := make(chan struct{}, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			written <- struct{}{}
		}
	}})
	req, err := newRequest(ctx, c.address, q)
	if err != nil {
		panic(err) // unreachable, because all parts of the URL are valid
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		q.Status, err = c.status(req)
	}()
	select {
	case <-written:
		q.SentAt = c.record.now()
	case <-ended:
		q.SentAt = c.record.now()
		q.Refused = err != nil
	}
	if disconnectAfter > 0 {
		select {
		case <-time.After(disconnectAfter):
			q.DisconnectedAt = c.record.now()
			cancel()
		case <-ended:
		}
	}
	<-ended
	q.Ended = c.record.now()
	if err != nil {
		q.Failure = err.Error()
	}
	c.record.do(func(r *Record) { r.Requests = append(r.Requests, q) })
}

var errWrongRequest = errors.New("response body is not the ID of the request")

// status sends a request and returns the status of its response. It returns an error if the response is incomplete or belongs to another request.
func (c *client) status(req *http.Request) (int, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusOK && string(body) != req.Header.Get("X-Request-ID") {
		return 0, errWrongRequest
	}
	return resp.StatusCode, nil
}

func newRequest(ctx context.Context, address string, q Request) (*http.Request, error) {
	method, class := http.MethodGet, "search"
	switch q.Effect {
	case Keyed:
		method, class = http.MethodPost, "record"
	case Unsafe:
		method, class = http.MethodPost, "confirm"
	}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(string(q.ID))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+class+"/7f3a", body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-ID", string(q.ID))
	req.Header.Set("X-Priority-Class", class)
	req.Header.Set("X-Timeout", fmt.Sprintf("%dm", q.Deadline.Milliseconds()))
	if q.Effect == Keyed {
		req.Header.Set("Idempotency-Key", "key-"+string(q.ID))
	}
	return req, nil
}
