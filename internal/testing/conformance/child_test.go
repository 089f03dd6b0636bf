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

// runAsChild reports whether a test started this process as a child, which the test does by setting SUITE_CONFIG. In a child it
// runs the adapter that SUITE_FRONT names until the adapter is stopped. Children let tests kill and replace real processes.
func runAsChild() bool {
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
		err = callUntilKilled(path, os.Getenv("SUITE_PREFIX"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return true
}

// callUntilKilled makes non-idempotent calls through the plug-in until the process is killed, one call for each operation.
func callUntilKilled(path, prefix string) error {
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
			for n := range 100000 { // the test kills the process long before the last call
				op := fmt.Sprintf("%s-%d-%d", prefix, worker, n)
				callGRPC(context.Background(), conn, callSpec{class: "confirm", id: op, op: op})
			}
		})
	}
	wg.Wait()
	return nil
}

// configFile writes a child process's configuration to a temporary file and returns the path of the file.
func configFile(t *testing.T, env *testEnvironment, p protocol, listen string) string {
	t.Helper()
	return writeConfig(t, filepath.Join(t.TempDir(), "config.json"), env.discovery[p], p, listen, env.discovery[p].List())
}

// writeConfig writes a child process's configuration to path. The child starts with list as its endpoint list.
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

// Guards against effects that outlast a killed process. A real process gets SIGKILL while its calls are in flight, three times in a
// row. With either adapter the nodes must see these calls end, no operation may be executed twice, and the next process must serve
// at once.
func TestKilledInTheMiddleOfCalls(t *testing.T) {
	for _, p := range protocols {
		t.Run(string(p), func(t *testing.T) {
			node := fakes.NodeOptions{Cores: 8, DefaultServiceTime: 20 * time.Millisecond}
			env := newTestEnvironment(t, node, node, node)
			inFlight := func() (n int) {
				for _, fakeNode := range env.nodes {
					n += fakeNode.InFlight()
				}
				return n
			}
			class := "confirm"
			address := base.FreeAddress(t)
			if p == overGRPC {
				class = "booking.Seats/confirm"
			}
			path := configFile(t, env, p, address)
			for round := range 3 {
				before := env.ledger.Operations(class)
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
								// net/http does not retry a POST request on its own after a part of the request was written.
								callHTTP(context.Background(), client, address, callSpec{class: "confirm", id: op, op: op})
							}
						})
					}
				}
				testutil.Eventually(t, "more than 60 further operations were executed, and at least 4 calls are in flight", func() bool {
					return env.ledger.Operations(class) > before+60 && inFlight() >= 4
				})
				if err := cmd.Process.Kill(); err != nil {
					t.Fatal(err)
				}
				_ = cmd.Wait() // returns an error because the process was killed
				stopped.Store(true)
				clients.Wait()
				client.CloseIdleConnections()
				testutil.Eventually(t, "the nodes have no call of the killed process in flight", func() bool { return inFlight() == 0 })
			}
			if twice := env.ledger.ExecutedTwice(class); len(twice) > 0 {
				t.Errorf("operations were executed twice although their process was killed: %v", twice)
			}
		})
	}
}
