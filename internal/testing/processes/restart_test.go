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

// Guards against a process that ends by a signal as it ends by itself, or loses what it has: SIGTERM and SIGHUP come on and on, with a
// request in hand, from the first one until it has ended, which is with 0.
func TestSignalsUntilItEnds(t *testing.T) {
	r := New(t, 1)
	came, release := make(chan struct{}, 1), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		came <- struct{}{}
		<-release
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	for round := range 6 {
		p := daemons(r, 1, l.Addr().String())[0]
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
					err = fmt.Errorf("answered %s", resp.Status)
				}
			}
			answer <- err
		}()
		<-came
		for n := 0; ; n++ {
			if err := p.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[n%2]); err != nil {
				break
			}
			if n == 20 {
				release <- struct{}{}
			}
		}
		if err := <-answer; err != nil {
			t.Errorf("round %d: what was in hand: %v", round, err)
		}
		if err := p.Await(within(t, Patience)); err != nil {
			t.Fatal(err)
		}
		if state := p.current().cmd.ProcessState; state.ExitCode() != 0 {
			t.Errorf("round %d: it ended with %v", round, state)
		}
	}
}

// Guards against a fleet that does not come back: all are killed and start at one moment, know no list, and find a discovery that takes
// half of them in a second and turns away what would wait for longer than one, or that refuses all for some seconds, or is slow. Nine in
// ten are ready within 10 s and all within 30 s.
func TestReadyAfterARestart(t *testing.T) {
	sidecars, upstreams := 6, 6
	if *fleet {
		sidecars, upstreams = 350, 200
	}
	for _, how := range []string{"crowded", "refuses for 4 s", "slow"} {
		t.Run(how, func(t *testing.T) {
			r := New(t, 1)
			disco := fakes.NewDiscovery()
			disco.Rate, disco.Timeout = float64(sidecars)/2, time.Second
			f := watch(t, r, sidecars, upstreams, false, disco, 0.1)
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
				disco.Down(true)
				time.AfterFunc(4*time.Second, func() { disco.Down(false) })
			case "slow":
				disco.DelayAnswers(900 * time.Millisecond)
			}
			before := len(disco.Calls())
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
			nine, all := took[len(took)*9/10], took[len(took)-1]
			t.Logf("%d sidecars: nine in ten ready after %v, all after %v, %d calls", sidecars, nine.Round(time.Millisecond), all.Round(time.Millisecond), len(disco.Calls())-before)
			if nine > 10*time.Second || all >= 30*time.Second {
				t.Errorf("nine in ten were ready after %v, all after %v", nine, all)
			}
		})
	}
}
