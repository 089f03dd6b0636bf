package conformance

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// child runs this binary as a front in a process of its own, where a test asks for it: a real process, to be killed.
func child() bool {
	path := os.Getenv("SUITE_CONFIG")
	if path == "" {
		return false
	}
	var err error
	if os.Getenv("SUITE_FRONT") == string(overHTTP) {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
		err = daemon.Run(ctx, config.Sources{Config: path, Control: os.Getenv("SUITE_CONTROL")}, reload)
	} else {
		err = callingProcess(path, os.Getenv("SUITE_PREFIX"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return true
}

// callingProcess makes unsafe calls through the plug-in until it is killed, each operation once.
func callingProcess(path, prefix string) error {
	o, err := grpcbalancer.LoadOptions(path)
	if err != nil {
		return err
	}
	p, err := grpcbalancer.New(o)
	if err != nil {
		return err
	}
	defer p.Close()
	conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		return err
	}
	defer conn.Close()
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for n := range 100000 { // the test kills it long before
				op := fmt.Sprintf("%s-%d-%d", prefix, worker, n)
				askGRPC(context.Background(), conn, spec{class: "confirm", id: op, op: op})
			}
		})
	}
	wg.Wait()
	return nil
}

// configFile writes what a child is told.
func configFile(t *testing.T, w *world, p protocol, listen string) string {
	t.Helper()
	return writeConfig(t, filepath.Join(t.TempDir(), "config.json"), w.discovery[p], p, listen, w.discovery[p].List())
}

// writeConfig is configFile at a path, with the list that the child is to know from before.
func writeConfig(t *testing.T, path string, d *fakes.Discovery, p protocol, listen string, list *endpoints.List) string {
	t.Helper()
	known, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	file := map[string]any{"name": "child", "discovery": d.Address(), "seed": "1f",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(known),
		"settings": json.RawMessage(testutil.Settings)}
	if p == overHTTP {
		file["listen"] = listen
	} else {
		file["grpc"] = map[string]any{"methods": pluginMethods}
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); err == nil {
		base.Replace(t, path, text)
	} else if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func startChild(t *testing.T, p protocol, path, prefix string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "SUITE_CONFIG="+path, "SUITE_FRONT="+string(p), "SUITE_PREFIX="+prefix)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd
}

// Guards against what a killed process leaves behind: whichever front it holds, the nodes see its calls end, nothing of it
// runs twice, and its successor serves at once. The process is a real one, killed outright in the middle of calls,
// three times over.
func TestKilledInTheMiddleOfCalls(t *testing.T) {
	for _, p := range protocols {
		t.Run(string(p), func(t *testing.T) {
			node := fakes.NodeOptions{Cores: 8, DefaultServiceTime: 20 * time.Millisecond}
			w := newWorld(t, node, node, node)
			inHand := func() (n int) {
				for _, n1 := range w.nodes {
					n += n1.InFlight()
				}
				return n
			}
			class := "confirm"
			address := base.FreeAddress(t)
			if p == overGRPC {
				class = "booking.Seats/confirm"
			}
			path := configFile(t, w, p, address)
			for round := range 3 {
				before := w.ledger.Operations(class)
				cmd := startChild(t, p, path, fmt.Sprint(round))
				var clients sync.WaitGroup
				var stopped atomic.Bool
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
				if p == overHTTP {
					testutil.Eventually(t, "the daemon is ready", func() bool {
						resp, err := client.Get("http://" + address + "/-/ready")
						if err != nil {
							return false
						}
						resp.Body.Close()
						return resp.StatusCode == http.StatusOK
					})
					for worker := range 8 {
						clients.Go(func() {
							for n := 0; !stopped.Load(); n++ {
								op := fmt.Sprintf("%d-%d-%d", round, worker, n)
								// POST: net/http does not send it again by itself once any of it was written.
								askHTTP(context.Background(), client, address, spec{class: "confirm", id: op, op: op})
							}
						})
					}
				}
				testutil.Eventually(t, "calls run, and some are in the middle", func() bool {
					return w.ledger.Operations(class) > before+60 && inHand() >= 4
				})
				if err := cmd.Process.Kill(); err != nil {
					t.Fatal(err)
				}
				_ = cmd.Wait() // killed
				stopped.Store(true)
				clients.Wait()
				client.CloseIdleConnections()
				testutil.Eventually(t, "the nodes see its calls end", func() bool { return inHand() == 0 })
			}
			if twice := w.ledger.ExecutedTwice(class); len(twice) > 0 {
				t.Errorf("ran twice: %v", twice)
			}
		})
	}
}
