package processes

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
)

// Guards against a process that dies of a signal during its graceful shutdown, or drops the request in flight. The test sends SIGTERM and
// SIGHUP in turn until the process has ended, which has to be with exit code 0.
func TestSignalsUntilItEnds(t *testing.T) {
	r := New(t, 1)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	for round := range 6 {
		p := newDaemons(r, 1, l.Addr().String())[0]
		if err := p.Start(within(t, Patience), nil); err != nil {
			t.Fatal(err)
		}
		answer := make(chan error, 1)
		go func() {
			c := http.Client{Timeout: Patience, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := c.Post("http://"+p.Address()+"/a", "text/plain", strings.NewReader("seat"))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					err = fmt.Errorf("the daemon answered %s", resp.Status)
				}
			}
			answer <- err
		}()
		<-arrived
		for n := 0; ; n++ {
			if err := p.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[n%2]); err != nil {
				break
			}
			if n == 20 {
				release <- struct{}{}
			}
		}
		if err := <-answer; err != nil {
			t.Errorf("round %d: the request in flight failed: %v", round, err)
		}
		if err := p.Await(within(t, Patience)); err != nil {
			t.Fatal(err)
		}
		if state := p.currentRun().cmd.ProcessState; state.ExitCode() != 0 {
			t.Errorf("round %d: the process ended with %v, want exit code 0", round, state)
		}
	}
}

// Guards against a fleet that does not become ready after all of its daemons restart at once. All daemons are killed and started at the same
// moment, without an endpoint list. Discovery serves only half of them per second, and rejects calls that would wait for longer than one
// second. In the second case it also rejects all calls for 4 s, and in the third it answers slowly. Nine in ten daemons have to be ready within
// 10 s, and all within 30 s.
func TestReadyAfterARestart(t *testing.T) {
	sidecars, upstreams := 6, 6
	if *fleet {
		sidecars, upstreams = 350, 200
	}
	for _, how := range []string{"crowded", "refuses for 4 s", "slow"} {
		t.Run(how, func(t *testing.T) {
			r := New(t, 1)
			discovery := fakes.NewDiscovery()
			discovery.Rate, discovery.Timeout = float64(sidecars)/2, time.Second
			f := startFleet(t, r, sidecars, upstreams, false, discovery, 0.1)
			var killing sync.WaitGroup
			for _, p := range f.daemons {
				killing.Go(func() {
					if err := p.Kill(within(t, Patience)); err != nil {
						t.Error(err)
					}
				})
			}
			killing.Wait()
			switch how {
			case "refuses for 4 s":
				discovery.Down(true)
				time.AfterFunc(4*time.Second, func() { discovery.Down(false) })
			case "slow":
				discovery.DelayAnswers(900 * time.Millisecond)
			}
			before := len(discovery.Calls())
			took := make([]time.Duration, len(f.daemons))
			var starting sync.WaitGroup
			for i, p := range f.daemons {
				starting.Go(func() {
					begun := time.Now()
					if err := p.Start(within(t, 2*Patience), nil); err != nil {
						t.Error(err)
						return
					}
					c := http.Client{Timeout: Patience, Transport: &http.Transport{DisableKeepAlives: true}}
					for ; time.Since(begun) < 30*time.Second; time.Sleep(20 * time.Millisecond) {
						if resp, err := c.Get("http://" + p.Address() + "/-/ready"); err == nil {
							resp.Body.Close()
							if resp.StatusCode == http.StatusOK {
								break
							}
						}
					}
					took[i] = time.Since(begun)
				})
			}
			starting.Wait()
			slices.Sort(took)
			p90, all := took[len(took)*9/10], took[len(took)-1]
			t.Logf("%d sidecars: nine in ten were ready after %v, all after %v, with %d calls to discovery", sidecars, p90.Round(time.Millisecond), all.Round(time.Millisecond), len(discovery.Calls())-before)
			if p90 > 10*time.Second || all >= 30*time.Second {
				t.Errorf("nine in ten sidecars were ready after %v and all after %v, want at most 10 s and less than 30 s", p90, all)
			}
		})
	}
}
