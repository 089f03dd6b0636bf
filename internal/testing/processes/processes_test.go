package processes

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	code := Main(m)
	if err := goleak.Find(goleak.IgnoreAnyFunction("orchiddrift/internal/testing/processes.init.func1.1")); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

var fleet = flag.Bool("fleet", false, "run the tests with hundreds of processes")

// newDaemons adds n daemons that forward to one upstream. Each daemon has its own address.
func newDaemons(r *Rig, n int, upstream string) []*Process {
	var all []*Process
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		all = append(all, r.Process(Spec{Name: name, Args: []string{"--config", "web.toml"}, Ready: Listening, Files: map[string]string{
			"web.toml": fmt.Sprintf("[daemon]\nname = %q\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\nseed = \"%d\"\n[log]\nformat = \"json\"\n"+
				"[[service]]\nname = \"web\"\naddresses = [%q]\n", name, i+1, upstream)}}))
	}
	return all
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// startUpstream starts an HTTP server that answers every request with "a", and returns its address.
func startUpstream(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a") })}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// probeReady calls the readiness endpoint of a daemon. The parameter wait is the time after which it returns an error if no response has
// arrived.
func probeReady(p *Process, wait time.Duration) error {
	c := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.Address() + "/-/ready")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// checkPause stops a daemon with SIGSTOP, and checks that it answers only after SIGCONT.
func checkPause(t *testing.T, p *Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(Patience); probeReady(p, 50*time.Millisecond) == nil; { // on a busy machine the signal may take effect a little later
		if time.Now().After(end) {
			t.Fatal("daemon still answers readiness calls after SIGSTOP")
		}
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := probeReady(p, Patience); err != nil {
		t.Error(err)
	}
}

// actions returns the rig's actions on a process and the ends of the process's runs, each with the number of the run.
func actions(r *Rig, process string) []string {
	var events []string
	for _, e := range r.History.Events(0) {
		if e.Who == process && (e.Kind == Did || e.Kind == Ended) {
			events = append(events, fmt.Sprint(e.Run, " ", e.What))
		}
	}
	return events
}

// checkDisk ends and starts a process twice: first with a kill, then with SIGTERM and Forget. The parameter kept is a file of the process:
// checkDisk checks that it still exists after the kill, and does not exist after Forget.
func checkDisk(t *testing.T, ctx context.Context, p *Process, kept string) {
	t.Helper()
	for i, end := range []func() error{func() error { return p.Kill(ctx) },
		func() error { return errors.Join(p.Signal(syscall.SIGTERM), p.Await(ctx)) }} {
		if err := end(); err != nil {
			t.Fatal(err)
		}
		if i == 1 {
			if err := p.Forget(); err != nil {
				t.Fatal(err)
			}
		}
		if err := p.Start(ctx, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(kept); (err == nil) != (i == 0) {
			t.Errorf("restart %d (0 follows a kill, 1 follows Forget): unexpected result of stat for the kept file: %v", i, err)
		}
	}
}

// TestLives checks that each action on a process has its effect and is recorded in the history, that runs are numbered, and that no process
// outlives its test.
func TestLives(t *testing.T) {
	r := New(t, 1)
	link, err := r.Link("n0", "up", func() string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ctx := within(t, Patience)
	p := newDaemons(r, 1, link.Address())[0]
	if err := p.Start(ctx, nil); err != nil {
		t.Fatal(err)
	}
	first := p.Address()
	if err := p.Launch(nil); !errors.Is(err, errRunning) {
		t.Errorf("second start of a running process: got error %v, want errRunning", err)
	}
	if err := p.Forget(); !errors.Is(err, errRunning) {
		t.Errorf("Forget of a running process: got error %v, want errRunning", err)
	}
	if err := probeReady(p, Patience); err != nil {
		t.Error(err)
	}
	checkPause(t, p)
	kept := p.Dir + "/kept"
	if err := os.WriteFile(kept, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.Replace(ctx, nil); err != nil {
		t.Fatal(err)
	}
	if p.Address() != first {
		t.Errorf("the successor listens at %s, want %s", p.Address(), first)
	}
	checkDisk(t, ctx, p, kept)
	pid := p.currentRun().cmd.Process.Pid
	if err := p.Signal(syscall.SIGSTOP); err != nil { // Close has to kill a stopped process too
		t.Fatal(err)
	}
	r.Close()
	if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
		t.Errorf("process still exists after Close: %v", err)
	}
	events := actions(r, "n0")
	want := []string{"1 start", "1 stopped (signal)", "1 continued", "2 start", "1 terminated", "1 exit status 0", "2 killed", "2 signal: killed",
		"3 start", "3 terminated", "3 exit status 0", "0 lose the disk", "4 start", "4 stopped (signal)", "4 signal: killed"}
	if !reflect.DeepEqual(events, want) {
		t.Errorf("recorded actions on the process differ from the expected ones: %q", events)
	}
}

// echoAll sends all bytes back on each connection, until the listener is closed.
func echoAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c); c.Close() }()
	}
}

// echo sends ten bytes and returns the bytes that are echoed. The parameter wait is the timeout.
func echo(c net.Conn, wait time.Duration) (string, error) {
	if _, err := io.WriteString(c, "0123456789"); err != nil {
		return "", err
	}
	b := make([]byte, 10)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

// checkHangAndReset checks that Hang and Reset affect the connections that are open, and that Hang does not affect later ones.
func checkHangAndReset(t *testing.T, link *Link, dial func() net.Conn) {
	t.Helper()
	hung, other := dial(), dial()
	for _, c := range []net.Conn{hung, other} {
		if _, err := echo(c, Patience); err != nil {
			t.Fatal(err)
		}
	}
	link.Hang()
	link.Heal()
	if _, err := echo(hung, 30*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("echo over a hung connection: got error %v, want a timeout", err)
	}
	if _, err := echo(dial(), Patience); err != nil {
		t.Errorf("echo over a connection opened after Hang: %v", err)
	}
	link.Reset()
	if _, err := other.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from a reset connection: got error %v, want ECONNRESET", err)
	}
}

// TestLinks checks that each fault of a link has its effect on the bytes that the link forwards.
func TestLinks(t *testing.T) {
	r := New(t, 2)
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	go echoAll(far)
	link, err := r.Link("a", "b", func() string { return far.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	c := dial()
	if got, err := echo(c, Patience); got != "0123456789" {
		t.Fatal(got, err)
	}
	for name, f := range map[string][2]Fault{"both": {{Drop: true}, {Drop: true}}, "out": {{Drop: true}, {}}, "back": {{}, {Drop: true}}} {
		link.Set(f[0], f[1])
		if got, err := echo(c, 30*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) || got != "" {
			t.Errorf("echo while the link drops %s: got %q and error %v, want nothing and a timeout", name, got, err)
		}
		link.Heal()
		_ = c.SetReadDeadline(time.Now().Add(Patience))
		if _, err := io.ReadFull(c, make([]byte, 10)); err != nil { // the link now forwards the held bytes, as TCP would retransmit them
			t.Errorf("reading the bytes that the link held back while it dropped %s: %v", name, err)
		}
	}
	link.Set(Fault{Delay: 30 * time.Millisecond}, Fault{Delay: 20 * time.Millisecond, Jitter: time.Millisecond})
	begun := time.Now()
	if _, err := echo(c, Patience); err != nil || time.Since(begun) < 50*time.Millisecond {
		t.Errorf("echo over a delayed link: error %v after %v, want no error after at least 50 ms", err, time.Since(begun))
	}
	link.Heal()
	link.Cut(Back, 4)
	if got, err := echo(c, Patience); got != "0123" || err == nil {
		t.Errorf("echo over a link cut after 4 bytes: got %q and error %v, want 0123 and an error", got, err)
	}
	link.Heal()
	checkHangAndReset(t, link, dial)
	half := dial()
	_, _ = io.WriteString(half, "half")
	_ = half.(*net.TCPConn).CloseWrite()
	if b, err := io.ReadAll(half); string(b) != "half" || err != nil {
		t.Errorf("reading after the client closed its direction: got %q and error %v, want half and no error", b, err)
	}
	far.Close()
	if c, err := net.Dial("tcp", link.Address()); err == nil { // an error means that the reset arrived before Dial returned
		defer c.Close()
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("read a byte over a link whose target does not listen")
		}
	}
}

// TestDraw checks that Draw returns the same script for the same seed. It also checks that no process or link has two faults at the same
// time, that at most Mix.Down processes are down, and that all faults end before Mix.Length.
func TestDraw(t *testing.T) {
	m := Mix{Processes: []string{"a", "b", "c", "d", "e"}, Links: []string{"a>b", "b>a"}, Length: 30 * time.Second, Every: 100 * time.Millisecond,
		Shortest: 50 * time.Millisecond, Longest: 2 * time.Second, Down: 2,
		Weights: map[StepKind]float64{Kill: 1, KillBare: 1, Pause: 1, DropBoth: 1, DropBack: 1, Slow: 1, Hang: 1, CutOut: 1, Part: 1, PartOne: 1}}
	seen := map[StepKind]int{}
	for seed := range uint64(50) {
		script := Draw(seed, m)
		if !reflect.DeepEqual(script, Draw(seed, m)) {
			t.Fatalf("seed %d: two calls of Draw returned different scripts", seed)
		}
		for i, s := range script {
			seen[s.Do]++
			if s.At+s.For >= m.Length {
				t.Errorf("drawn step %+v ends after Mix.Length", s)
			}
			down := 0
			for _, before := range script[:i] {
				if before.At+before.For <= s.At {
					continue
				}
				if s.Who != "" && before.Who == s.Who {
					t.Errorf("step %+v begins during step %+v on the same target", s, before)
				}
				if len(before.Who) == 1 {
					down++
				}
			}
			if len(s.Who) == 1 && down >= m.Down {
				t.Errorf("%d processes, which is the maximum or more, are down already at the start of step %+v", down, s)
			}
		}
	}
	for d := range m.Weights {
		if seen[d] == 0 {
			t.Errorf("no script has a step of kind %s", d)
		}
	}
}

// TestPlay checks that Play runs all steps of a script. Afterwards all processes have to run and answer, and all links have to forward.
func TestPlay(t *testing.T) {
	r := New(t, 3)
	up := startUpstream(t)
	link, err := r.Link("n0", "up", func() string { return up })
	if err != nil {
		t.Fatal(err)
	}
	all := newDaemons(r, 2, link.Address())
	if err := r.StartAll(within(t, Patience), all...); err != nil {
		t.Fatal(err)
	}
	script := Draw(4, Mix{Processes: []string{"n0", "n1"}, Links: []string{"n0>up"}, Length: 1500 * time.Millisecond, Every: 100 * time.Millisecond,
		Shortest: 20 * time.Millisecond, Longest: 300 * time.Millisecond, Down: 1, Weights: map[StepKind]float64{Kill: 1, Pause: 2, DropBoth: 1, Hang: 1, CutOut: 1}})
	if len(script) < 4 {
		t.Fatalf("the script has %d steps, want at least 4", len(script))
	}
	if err := r.Play(within(t, Patience), script); err != nil {
		t.Fatal(err)
	}
	c := http.Client{Timeout: Patience, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range all {
		resp, err := c.Get("http://" + p.Address() + "/x")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("%s answered %s after the script, want 200", p.Name(), resp.Status)
		}
	}
	if err := r.Play(t.Context(), []Step{{Do: Kill, Who: "nobody"}}); err == nil || !strings.Contains(err.Error(), "no such process") {
		t.Errorf("Play with an unknown process: got error %v, want no such process", err)
	}
}

// TestHistory checks that a history writes its events as JSON Lines, in the order in which it holds them in memory.
func TestHistory(t *testing.T) {
	var text strings.Builder
	h := NewHistory(&text)
	for i := range 3 {
		h.Add(Event{Kind: Noted, Who: "referee", What: fmt.Sprint(i), Data: json.RawMessage(`{"x":1}`)})
	}
	var read []Event
	for line := range strings.Lines(text.String()) {
		var e Event
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			t.Fatal(err)
		}
		read = append(read, e)
	}
	if !reflect.DeepEqual(read, h.Events(0)) {
		t.Errorf("written events differ from those in memory: read %+v\nin memory %+v", read, h.Events(0))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, at, err := h.Wait(ctx, 0, func(e Event) bool { return e.What == "3" }); err == nil || at != 3 {
		t.Errorf("Wait with a canceled context: got index %d and error %v, want index 3 and an error", at, err)
	}
}

// TestComeUp measures the time that processes take to start, and their resident memory. 5 processes should start in less than a second, and
// 300 have to start in less than 30 s (go test -run ComeUp -v -fleet).
func TestComeUp(t *testing.T) {
	for n, limit := range map[int]time.Duration{5: time.Second, 300: 30 * time.Second} {
		if n > 5 && !*fleet {
			continue
		}
		r := New(t, 5)
		all := newDaemons(r, n, startUpstream(t))
		begun := time.Now()
		if err := r.StartAll(within(t, 4*Patience), all...); err != nil {
			t.Fatal(err)
		}
		took := time.Since(begun)
		var resident int64
		for _, p := range all {
			resident += p.Resident()
		}
		t.Logf("%d processes in %v, %d MB resident each", n, took.Round(time.Millisecond), resident/int64(n)>>20)
		if took > limit && n > 5 { // the time of five processes is not checked, because other tests run on the machine at the same time
			t.Errorf("%d processes took %v to start, longer than the limit", n, took)
		}
		r.Close()
	}
}
