package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// request is one try of a client.
type request struct {
	method, path, key string
	class             string
	body              string
	timeout           time.Duration // how long the client waits
}

// answer is what a client got.
type answer struct {
	id      string
	status  int    // 0 if there was no complete answer
	body    []byte // as far as it came
	err     error
	took    time.Duration
	replied http.Header
}

func (a answer) String() string {
	text := fmt.Sprintf("%d after %.3f s, %d bytes", a.status, a.took.Seconds(), len(a.body))
	if len(a.body) < 100 {
		text += fmt.Sprintf(" %q", strings.TrimSpace(string(a.body)))
	}
	if a.replied.Get("Idempotent-Replayed") != "" {
		text += ", replayed"
	}
	if a.err != nil {
		text += fmt.Sprintf(", %v", a.err)
	}
	return text
}

// lostAfter is the time behind the client's own after which a request without an answer is lost.
const lostAfter = 500 * time.Millisecond

// send sends one request over a new connection and returns what came. A client sends no byte again by itself.
func (t *trial) send(listen string, r request) answer {
	return t.sendOver(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, listen, r)
}

// sendOver sends one request over a connection of the transport.
func (t *trial) sendOver(transport *http.Transport, listen string, r request) answer {
	id := t.nextID()
	started := time.Now()
	out := answer{id: id}
	defer func() { t.note("client: %s %s key %q got %v", r.path, id, r.key, out) }()
	message, err := http.NewRequest(r.method, "http://"+listen+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		out.err = err
		return out
	}
	message.Header = http.Header{"X-Request-ID": {id}, "X-Timeout": {fmt.Sprintf("%dm", r.timeout.Milliseconds())}}
	if r.class != "" {
		message.Header.Set("X-Priority-Class", r.class)
	}
	if r.key != "" {
		message.Header["Idempotency-Key"] = []string{r.key}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The client leaves when no answer has begun half a second after its time: then the request counts as lost.
	leave := time.AfterFunc(r.timeout+lostAfter, cancel)
	response, err := transport.RoundTrip(message.WithContext(ctx))
	leave.Stop()
	if err != nil {
		out.err, out.took = err, time.Since(started)
		return out
	}
	defer response.Body.Close()
	out.body, out.err = io.ReadAll(response.Body)
	out.took, out.replied = time.Since(started), response.Header
	if out.err == nil {
		out.status = response.StatusCode
	}
	return out
}
