package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	fullKiB    = 64                    // the setting "bytes": room for about 85 payments
	fullEarly  = 30                    // payments that are served before
	fullBurst  = 60                    // payments at once, more than the store has room for
	fullWork   = 50 * time.Millisecond // of one payment
	fullRetry  = 3 * time.Second       // until the sidecar is started once more
	fullStarts = 2                     // starts that are tried after the planned restart
)

// resettingNodes are eight payment nodes in four zones, whose connections can be reset under requests that have begun.
type resettingNodes struct {
	play   *play
	mu     sync.Mutex
	resets bool
	served int
	reset  int
}

func (n *resettingNodes) setResets(resets bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resets = resets
	n.play.note("connections are reset under requests that have begun: %v", resets)
}

func (n *resettingNodes) serve(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		key := r.Header.Get("Idempotency-Key")
		n.play.note("node %s runs %s", name, key)
		time.Sleep(fullWork)
		n.mu.Lock()
		resets := n.resets
		if resets {
			n.reset++
		} else {
			n.served++
		}
		n.mu.Unlock()
		if resets {
			n.play.note("the connection to node %s is reset under %s", name, key)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "paid %s at %s", key, name)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// payBurst sends payments of two tenants at once, and returns how many were refused.
func (p *play) payBurst(address, name string, count int) (refused int) {
	var sending sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		sending.Go(func() {
			status := p.payAs(tenants[i%len(tenants)], address, fmt.Sprintf("%s%02d", name, i), "1")
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusServiceUnavailable {
				refused++
			}
		})
	}
	sending.Wait()
	return refused
}

// fullStore checks that a sidecar with a key file starts again after a planned restart. Its store of keys was full, and some of the payments in
// it were reset by the network.
func fullStore(p *play) (breaks []string, err error) {
	nodes := &resettingNodes{play: p}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	var list []endpoint
	for _, zone := range []string{"upper-hill", "industrial-area", "athi-river", "thika-road"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", zone, i+1)
			at, err := nodes.serve(name)
			if err != nil {
				return nil, err
			}
			list = append(list, entry(name, at, zone))
		}
	}
	file := filepath.Join(p.folder, "payments.toml")
	text := paymentFile(address, list) + fmt.Sprintf("[[repeats]]\nservice = \"payments\"\nkeep = \"10m\"\nbytes = \"%dKiB\"\nfile = %q\n", fullKiB,
		filepath.Join(p.folder, "payments.db"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	current, err := p.startSidecar("sidecar, first process", address, "GW_CONFIG="+file)
	if err != nil {
		return nil, err
	}
	defer func() { current.kill() }()
	p.payBurst(address, "early", fullEarly)
	if p.trouble {
		nodes.setResets(true)
	}
	refused := p.payBurst(address, "K", fullBurst)
	if p.trouble {
		nodes.setResets(false)
	}
	p.note("%d payments were refused, as the store of keys is full", refused)
	if refused == 0 || nodes.served < fullEarly {
		return nil, fmt.Errorf("%d payments were refused, %d served", refused, nodes.served)
	}
	if err := p.pause(time.Second); err != nil {
		return nil, err
	}
	if err := current.terminate(); err != nil {
		return nil, err
	}
	for range fullStarts {
		next, err := p.startSidecar("sidecar, after the planned restart", address, "GW_CONFIG="+file)
		if err == nil {
			current = next
			return nil, nil
		}
		breaks = append(breaks, strings.TrimSpace(err.Error()))
		if err := p.pause(fullRetry); err != nil {
			return nil, err
		}
	}
	return breaks, nil
}
