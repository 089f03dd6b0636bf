// Package daemon is the sidecar as a process of its own: HTTP/1.1 for the clients on one side, upstreams and discovery
// on the other. It makes no decisions; what it adds is I/O within the configured limits, and the life cycle.
//
// server.go takes clients' requests (package intake checks them and bounds the connections), package engine holds them
// in hand, package upstream carries out attempts, package discovery follows the list and package directory keeps it.
package daemon

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

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/config"
	"orchiddrift/internal/directory"
	"orchiddrift/internal/discovery"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/httphead"
	"orchiddrift/internal/intake"
	"orchiddrift/internal/upstream"
)

const (
	ownSockets  = 32   // descriptors that are neither a client's nor an upstream's
	memoryPart  = 0.75 // of the limit that the heap may use
	gcLeastMB   = 32   // the memory limit at which the collector works as Go has it; see GCPercent
	gcMost      = 400
	answerPart  = 64                     // an answer may have this fraction of the memory: many are in hand at once
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
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB * memoryPart * (1 << 20)))
	debug.SetGCPercent(GCPercent(c.Limits.MemoryMB))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	return Serve(ctx, c, listener, path, reload, nil)
}

// GCPercent is how far the heap may grow over what is live, in percent, by the memory limit in MB: the live heap is a
// few MB whatever the limit, so where there is more memory the collector can work less often.
func GCPercent(memoryMB float64) int {
	return int(min(gcMost, max(100, 100*memoryMB/gcLeastMB)))
}

// Serve is Run with a configuration and a listener at hand; it closes the listener. Where look is not nil it is given
// the engine, to look on, before the first request.
func Serve(ctx context.Context, c *config.Config, listener net.Listener, path string, reload <-chan os.Signal,
	look func(*engine.Engine)) error {
	defer listener.Close()
	clk := clock.New()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	connections := (c.Limits.Sockets - ownSockets) / 2
	pool := upstream.New(upstream.Options{ConnectTimeout: c.Settings.ConnectTimeout, Idle: c.Settings.ConnIdle,
		Connections: connections, MaxAnswer: int(c.Limits.MemoryMB * (1 << 20) / answerPart)})
	dir := directory.New(clk, pool.Drop)
	pool.SetDirectory(dir)
	var eng *engine.Engine
	feed := discovery.NewFeed(dir, func(m balancer.Members) { eng.Update(m) })
	known := balancer.Members{}
	var index int64
	if c.Known != nil {
		known, index = feed.Take(c.Known), *c.Known.Index
	}
	watcher := discovery.New(discovery.Options{Address: c.Discovery, Index: index,
		ConnectTimeout: c.Settings.ConnectTimeout, ModuleAsks: c.Settings.MustSubscribe, Log: log.Printf})
	eng, err := engine.New(engine.Options{Settings: c.Settings.Settings, Seed: c.Seed, Clock: clk, Known: known.Entries,
		Subscribe: watcher.Ask, Log: func(text string) { log.Print(text) }})
	if err != nil {
		return err
	}
	defer eng.Close()
	if look != nil {
		look(eng)
	}
	go pool.Sweep(running)
	go watcher.Run(running, feed)
	go followReloads(running, c, path, reload, watcher.Redirect)

	s := &server{engine: eng, pool: pool, checker: intake.Platform(c.Settings.Classes),
		ready: func() bool { return dir.Len() > 0 }}
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	conns := intake.NewConns(listener, connections)
	srv := &http.Server{Handler: s, ReadHeaderTimeout: headPatience, IdleTimeout: clientIdle,
		MaxHeaderBytes: httphead.MaxBytes, DisableGeneralOptionsHandler: true, ConnState: conns.State}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(conns) }()
	select {
	case err := <-ended:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	return drain(srv, s, conns, eng, min(longest, killLongest)+killMargin)
}

// followReloads reads the configuration again each time that reload brings something. What can change under way is
// discovery's address; the rest is for the next start. A file that can't be used changes nothing.
func followReloads(ctx context.Context, c *config.Config, path string, reload <-chan os.Signal, redirect func(string)) {
	for {
		select {
		case <-reload:
		case <-ctx.Done():
			return
		}
		next, err := config.Load(path)
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
func drain(srv *http.Server, s *server, conns *intake.Conns, eng *engine.Engine, killAfter time.Duration) error {
	begun := time.Now()
	s.stopping.Store(true)
	last := time.AfterFunc(killAfter, eng.Abort)
	defer last.Stop()
	time.Sleep(quietAfter)
	conns.CloseQuiet(justOpened) // where that crosses a request, the client comes on a new connection
	time.Sleep(acceptAfter - quietAfter)
	conns.CloseQuiet(0)
	ctx, cancel := context.WithTimeout(context.Background(), killAfter+100*time.Millisecond-time.Since(begun))
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	return nil
}
