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

// client sends requests to one sidecar, each on a connection of its own, so that an end without an answer is the sidecar's.
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
	leastDeadline = 300 * time.Millisecond
	leavesOneIn   = 12              // clients
	patienceOver  = 3 * time.Second // behind its deadline a client still waits, to tell late from lost
	leavesWithin  = 200 * time.Millisecond
)

var requests atomic.Uint64

func newClient(sidecar int, address string, deadline time.Duration, seed uint64, record *recorder) *client {
	return &client{sidecar: sidecar, address: address, deadline: deadline, record: record, rng: rand.New(rand.NewPCG(seed, uint64(sidecar))),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run sends so many requests a second until ctx ends, and waits for the last one's end.
func (c *client) run(ctx context.Context, rate float64) {
	defer c.sending.Wait()
	for {
		pause := time.Duration(c.rng.ExpFloat64() * float64(time.Second) / rate)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		q := Request{ID: RequestID(fmt.Sprintf("%016x", requests.Add(1))), Sidecar: c.sidecar, Deadline: between(c.rng, leastDeadline, c.deadline),
			Effect: []Effect{Safe, Safe, Keyed, Unsafe}[c.rng.IntN(4)]}
		leave := time.Duration(0)
		if c.rng.IntN(leavesOneIn) == 0 {
			leave = between(c.rng, 5*time.Millisecond, leavesWithin)
		}
		c.sending.Go(func() { c.send(q, leave) })
	}
}

// send sends one and records its end. Its client leaves after so long, where that is not 0.
func (c *client) send(q Request, leave time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+patienceOver)
	defer cancel()
	written := make(chan struct{}, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			written <- struct{}{}
		}
	}})
	req, err := newRequest(ctx, c.address, q)
	if err != nil {
		panic(err) // of constants
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
	if leave > 0 {
		select {
		case <-time.After(leave):
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

var errForeign = errors.New("an answer to another request")

// status is that of a whole answer.
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
		return 0, errForeign
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
