// Package sidecar runs package balancer on real sockets: clients on one side, upstreams and discovery on the
// other. It makes no decisions; what it adds is I/O within the configured limits.
//
// One goroutine owns the Balancer (loop.go). server.go takes clients' requests, clients.go bounds their
// connections, upstream.go carries out attempts, discovery.go follows the list and directory.go keeps it.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"time"

	"granitehinge/balancer"
)

const (
	ownSockets  = 32                     // descriptors that are neither a client's nor an upstream's
	memoryPart  = 0.75                   // of the limit that the heap may use
	quietAfter  = 450 * time.Millisecond // after SIGTERM: clients use the connections that they have until this
	acceptAfter = 600 * time.Millisecond // and may come on new ones until this
	justOpened  = 50 * time.Millisecond  // a connection this young is about to bring its request
	killMargin  = 550 * time.Millisecond // what is unanswered is failed the longest deadline and this after SIGTERM,
	killLongest = 3 * time.Second        // of which no more than this counts: SIGKILL may come soon after
	clientIdle  = 30 * time.Second
)

// Run serves as the configuration at path says until ctx ends, then finishes what it has taken. Whenever reload
// brings something it reads that file again, as followReloads tells.
func Run(ctx context.Context, path string, reload <-chan os.Signal) error {
	c, err := LoadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB * memoryPart * (1 << 20)))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	return serve(ctx, c, listener, path, reload)
}

func serve(ctx context.Context, c *Config, listener net.Listener, path string, reload <-chan os.Signal) error {
	defer listener.Close()
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		return err
	}
	clk := newClock()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	connections := (c.Limits.Sockets - ownSockets) / 2
	up := newUpstreams(c, clk, connections)
	l := newLoop(b, clk, running.Done())
	w := newWatcher(c, up.dir, l.postList)
	l.send, l.ask = up.attempt, w.ask
	known := balancer.Members{}
	if c.Known != nil {
		known = up.dir.apply(c.Known)
	}
	known.Kind = balancer.Saved
	go l.run(known)
	go up.sweep(running)
	go w.run(running, c.Settings.MustSubscribe)
	go followReloads(running, c, path, reload, w.redirect)

	s := &server{clock: clk, classes: map[string]balancer.Class{}, post: l.post, stop: running.Done(),
		ready: func() bool { return l.started.Load() && !up.dir.empty() }}
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		s.classes[class.Name] = class
		longest = max(longest, class.Deadline)
	}
	conns := newClientConns(listener, connections)
	srv := &http.Server{Handler: s, ReadHeaderTimeout: headPatience, IdleTimeout: clientIdle,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true, ConnState: conns.state}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(conns) }()
	select {
	case err := <-ended:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	return drain(srv, s, conns, l, min(longest, killLongest)+killMargin)
}

// followReloads reads the configuration again each time that reload brings something. What can change under way is
// discovery's address; the rest is for the next start. A file that can't be used changes nothing.
func followReloads(ctx context.Context, c *Config, path string, reload <-chan os.Signal, redirect func(string)) {
	for {
		select {
		case <-reload:
		case <-ctx.Done():
			return
		}
		next, err := LoadConfig(path)
		if err != nil {
			log.Printf("reload: the old configuration stays: %v", err)
			continue
		}
		log.Printf("reload: discovery at %s", next.Discovery)
		if next.Name != c.Name || next.Listen != c.Listen || next.Limits != c.Limits ||
			!reflect.DeepEqual(next.Settings, c.Settings) {
			log.Print("reload: a change of name, listen, limits or settings counts from the next start")
		}
		redirect(next.Discovery)
	}
}

// drain goes on accepting while clients still come, answers everything that was taken, and ends before the
// process is killed.
func drain(srv *http.Server, s *server, conns *clientConns, l *loop, killAfter time.Duration) error {
	begun := time.Now()
	s.stopping.Store(true)
	last := time.AfterFunc(killAfter, func() { l.post(abort{}) })
	defer last.Stop()
	time.Sleep(quietAfter)
	conns.closeQuiet(justOpened) // where that crosses a request, the client comes on a new connection
	time.Sleep(acceptAfter - quietAfter)
	conns.closeQuiet(0)
	ctx, cancel := context.WithTimeout(context.Background(), killAfter+100*time.Millisecond-time.Since(begun))
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	return nil
}
