package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"orchiddrift/internal/config"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/testing/testutil"
)

// running is a complete sidecar within the test process.
type running struct {
	address string
	stop    context.CancelFunc // has the effect of SIGTERM
	ended   chan struct{}      // closed once the process has ended
	err     error              // the error with which the process ended; set before ended is closed
	client  *http.Client
}

// start starts a sidecar on the address listen, and waits until it is ready.
func start(t *testing.T, c *config.Config, listen string) *running {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	r := startOn(t, c, l, nil)
	r.ready(t)
	return r
}

// startOn starts a sidecar on an open listener, and does not wait until it is ready. Serve calls observe with the engine if observe is not
// nil.
func startOn(t *testing.T, c *config.Config, l net.Listener, observe func(*engine.Engine)) *running {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{address: l.Addr().String(), stop: cancel, ended: make(chan struct{}),
		client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{}}}
	go func() {
		r.err = Serve(ctx, c, l, "", nil, observe)
		close(r.ended)
	}()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		cancel()
		<-r.ended
	})
	return r
}

// ready waits until the sidecar is ready for clients.
func (r *running) ready(t *testing.T) {
	t.Helper()
	testutil.Eventually(t, "the sidecar is ready", func() bool {
		resp, err := r.client.Get("http://" + r.address + "/-/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// do sends a request, and returns the response and its body.
func (r *running) do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := r.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// doAsync sends a request in the background. The channel receives the status and the body, or the error.
func (r *running) doAsync(req *http.Request) <-chan string {
	end := make(chan string, 1)
	go func() {
		resp, err := r.client.Do(req)
		if err != nil {
			end <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			end <- err.Error()
			return
		}
		end <- fmt.Sprint(resp.StatusCode, " ", string(body))
	}()
	return end
}
