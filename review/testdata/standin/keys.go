package main

import (
	"context"
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
	paymentWindow = 6 * time.Second        // how long the nodes of a zone drop a repeat
	paymentWork   = 450 * time.Millisecond // work of one payment
	paymentEffect = 150 * time.Millisecond // when in its work the payment is recorded
	payments      = 16                     // payments under way when the sidecar is killed
	keyRetention  = 10 * time.Second       // the setting "keep"
	quietTime     = 14 * time.Second       // before the payment that is turned away
)

// paymentZone is what the nodes of one zone remember together.
type paymentZone struct {
	mu   sync.Mutex
	seen map[string]time.Time // by key, when the payment came first
}

// drops reports whether a payment is a repeat that the zone drops.
func (z *paymentZone) drops(key string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if at, ok := z.seen[key]; ok && time.Since(at) < paymentWindow {
		return true
	}
	z.seen[key] = time.Now()
	return false
}

// paymentNodes are eight booking nodes in four zones.
type paymentNodes struct {
	play *play
	mu   sync.Mutex
	full bool
	work time.Duration       // of one payment; the effect comes at paymentEffect
	runs map[string][]string // by key, the nodes that have recorded the payment
}

func (n *paymentNodes) setFull(full bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.full = full
	n.play.note("the nodes' queues are full: %v", full)
}

// recorded returns how many of the payments under way have been recorded.
func (n *paymentNodes) recorded() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for key := range n.runs {
		if strings.HasPrefix(key, "K") {
			count++
		}
	}
	return count
}

func (n *paymentNodes) serve(name string, zone *paymentZone) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		key := r.Header.Get("Idempotency-Key")
		n.mu.Lock()
		full := n.full
		n.mu.Unlock()
		if full {
			n.play.note("node %s turns %s away: queue full", name, key)
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if zone.drops(key) {
			n.play.note("node %s drops the repeat of %s", name, key)
		} else {
			time.Sleep(paymentEffect)
			n.mu.Lock()
			n.runs[key] = append(n.runs[key], name)
			n.mu.Unlock()
			n.play.note("node %s records payment %s", name, key)
		}
		time.Sleep(n.work - paymentEffect)
		_, _ = fmt.Fprintf(w, "paid %s at %s", key, name)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// tenants send payments.
var tenants = []string{"counter-3", "agent-7"}

// paymentFile returns the operator's file of a sidecar before payment nodes, without its store of keys.
func paymentFile(address string, list []endpoint) string {
	name := theSite().Record.Name
	text := fmt.Sprintf("[daemon]\nlisten = %q\n\n[limits]\nmemory = \"128MiB\"\ndescriptors = 1024\n\n[[service]]\nname = \"payments\"\nzone = \"upper-hill\"\n\n", address)
	for _, e := range list {
		text += fmt.Sprintf("[[service.endpoint]]\nname = %q\naddress = %q\nzone = %q\n\n", e.Name, e.Address, e.Zone)
	}
	return text + fmt.Sprintf("[[service.class]]\nname = %q\neffect = \"keyed\"\ngroup = \"zone\"\nwindow = %q\naim = \"2500ms\"\ndeadline = \"6s\"\nworth = 8.0\n\n"+
		"[[route]]\nmatch = \"POST /%s/{id}\"\nclass = %q\ntenant = \"header:X-Tenant-Id\"\n\n", name, paymentWindow, name, name)
}

// pay sends one payment of the first tenant once, and returns the answer's status, or 0 if there was none.
func (p *play) pay(address, key, try string) int { return p.payAs(tenants[0], address, key, try) }

// payAs sends one payment once, and returns the answer's status, or 0 if there was none.
func (p *play) payAs(tenant, address, key, try string) int {
	ctx, cancel := context.WithTimeout(p, paymentWindow)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+theSite().Record.Name+"/"+key, strings.NewReader(`{"amount":1200}`))
	if err != nil {
		return 0
	}
	request.Header.Set("X-Request-ID", key+"-"+try)
	request.Header.Set("X-Tenant-Id", tenant)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("X-Timeout", "5000m")
	request.Header.Set("X-Priority-Class", theSite().Record.Name)
	p.note("client sends payment %s, try %s", key, try)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		p.note("client has no answer for %s, try %s: the connection ended", key, try)
		return 0
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	p.note("client got %d for %s, try %s: %q", response.StatusCode, key, try, strings.TrimSpace(string(body)))
	return response.StatusCode
}

// payAll sends payments at once, each one with its own connection.
func (p *play) payAll(address, try string) {
	var sending sync.WaitGroup
	for i := range payments {
		sending.Go(func() { p.pay(address, fmt.Sprintf("K%02d", i), try) })
	}
	sending.Wait()
}

// forgottenKeys checks that no payment is recorded twice by a sidecar that keeps its keys in a file, when the sidecar is restarted.
func forgottenKeys(p *play) (breaks []string, err error) {
	nodes := &paymentNodes{play: p, runs: map[string][]string{}, work: paymentWork}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	var list []endpoint
	for _, zone := range []string{"upper-hill", "industrial-area", "athi-river", "thika-road"} {
		memory := &paymentZone{seen: map[string]time.Time{}}
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", zone, i+1)
			at, err := nodes.serve(name, memory)
			if err != nil {
				return nil, err
			}
			list = append(list, entry(name, at, zone))
		}
	}
	text := paymentFile(address, list) + fmt.Sprintf("[[repeats]]\nservice = \"payments\"\nkeep = %q\nfile = %q\n", keyRetention, filepath.Join(p.folder, "payments.db"))
	file := filepath.Join(p.folder, "payments.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	start := func(name string) (*sidecar, error) { return p.startSidecar(name, address, "GW_CONFIG="+file) }

	current, err := start("sidecar, first process")
	if err != nil {
		return nil, err
	}
	defer func() { current.kill() }()
	if status := p.pay(address, "early", "1"); status != http.StatusOK {
		return nil, fmt.Errorf("the first payment got %d", status)
	}
	if err := p.pause(quietTime); err != nil {
		return nil, err
	}
	nodes.setFull(true)
	p.pay(address, "refused", "1")
	nodes.setFull(false)
	if err := p.pause(time.Second); err != nil {
		return nil, err
	}
	if p.trouble {
		if err := current.terminate(); err != nil {
			return nil, err
		}
		if current, err = start("sidecar, second process"); err != nil {
			return nil, err
		}
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		p.payAll(address, "1")
	}()
	if p.trouble {
		for deadline := time.Now().Add(patience); nodes.recorded() < payments*3/4; {
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("the nodes have recorded %d payments", nodes.recorded())
			}
			if err := p.pause(5 * time.Millisecond); err != nil {
				return nil, err
			}
		}
		current.kill()
		if current, err = start("sidecar, third process"); err != nil {
			return nil, err
		}
	}
	<-sent
	p.payAll(address, "2")
	nodes.mu.Lock()
	defer nodes.mu.Unlock()
	if len(nodes.runs) < payments/2 {
		return nil, fmt.Errorf("only %d payments ran", len(nodes.runs))
	}
	for key, at := range nodes.runs {
		p.note("payment %s was recorded %d times: %s", key, len(at), strings.Join(at, ", "))
		if len(at) > 1 {
			breaks = append(breaks, fmt.Sprintf("payment %s ran %d times, at %s", key, len(at), strings.Join(at, " and ")))
		}
	}
	return breaks, nil
}
