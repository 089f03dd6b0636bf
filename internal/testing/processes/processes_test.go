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

var fleet = flag.Bool("fleet", false, "start hundreds of processes")

// daemons are sidecars before one upstream, with an address of each.
func daemons(r *Rig, n int, upstream string) []*Process {
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

func answering(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a") })}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// ready calls the readiness endpoint of a daemon.
func ready(p *Process, wait time.Duration) error {
	c := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.Address() + "/-/ready")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// checkPause pauses a daemon, and checks that it answers only after it goes on.
func checkPause(t *testing.T, p *Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(Patience); ready(p, 50*time.Millisecond) == nil; { // a busy machine stops it a little later
		if time.Now().After(end) {
			t.Fatal("it answers while it is stopped")
		}
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := ready(p, Patience); err != nil {
		t.Error(err)
	}
}

// actions returns what was done to a process, and its ends, each with the number of the run.
func actions(r *Rig, process string) []string {
	var story []string
	for _, e := range r.History.Events(0) {
		if e.Who == process && (e.Kind == Did || e.Kind == Ended) {
			story = append(story, fmt.Sprint(e.Run, " ", e.What))
		}
	}
	return story
}

// checkDisk ends and starts a process: kept is still in its directory after a kill, and gone after Forget.
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
			t.Errorf("run %d: %v", i, err)
		}
	}
}

// Each action on a process has its effect and is in the history; runs are numbered, and no process outlives its test.
func TestLives(t *testing.T) {
	r := New(t, 1)
	link, err := r.Link("n0", "up", func() string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ctx := within(t, Patience)
	p := daemons(r, 1, link.Address())[0]
	if err := p.Start(ctx, nil); err != nil {
		t.Fatal(err)
	}
	first := p.Address()
	if err := p.Launch(nil); !errors.Is(err, errRuns) {
		t.Errorf("a second start: %v", err)
	}
	if err := p.Forget(); !errors.Is(err, errRuns) {
		t.Errorf("its disk is lost while it runs: %v", err)
	}
	if err := ready(p, Patience); err != nil {
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
		t.Errorf("the successor listens at %s, not at %s", p.Address(), first)
	}
	checkDisk(t, ctx, p, kept)
	pid := p.current().cmd.Process.Pid
	if err := p.Signal(syscall.SIGSTOP); err != nil { // the rig ends it all the same
		t.Fatal(err)
	}
	r.Close()
	if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
		t.Errorf("it is still there: %v", err)
	}
	story := actions(r, "n0")
	want := []string{"1 start", "1 stopped (signal)", "1 continued", "2 start", "1 terminated", "1 exit status 0", "2 killed", "2 signal: killed",
		"3 start", "3 terminated", "3 exit status 0", "0 lose the disk", "4 start", "4 stopped (signal)", "4 signal: killed"}
	if !reflect.DeepEqual(story, want) {
		t.Errorf("%q", story)
	}
}

// echoAll sends back what comes over each connection, until the listener is closed.
func echoAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c); c.Close() }()
	}
}

// echo sends ten bytes and returns what comes back within wait.
func echo(c net.Conn, wait time.Duration) (string, error) {
	if _, err := io.WriteString(c, "0123456789"); err != nil {
		return "", err
	}
	b := make([]byte, 10)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

// checkHangAndReset checks that both affect the connections that are open, and no later ones.
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
		t.Errorf("hung: %v", err)
	}
	if _, err := echo(dial(), Patience); err != nil {
		t.Errorf("a newcomer: %v", err)
	}
	link.Reset()
	if _, err := other.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset: %v", err)
	}
}

// Each fault of a link has its effect on the bytes that come through.
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
			t.Errorf("dropped %s: %q %v", name, got, err)
		}
		link.Heal()
		_ = c.SetReadDeadline(time.Now().Add(Patience))
		if _, err := io.ReadFull(c, make([]byte, 10)); err != nil { // as TCP sends it again
			t.Errorf("healed %s: %v", name, err)
		}
	}
	link.Set(Fault{Delay: 30 * time.Millisecond}, Fault{Delay: 20 * time.Millisecond, Jitter: time.Millisecond})
	begun := time.Now()
	if _, err := echo(c, Patience); err != nil || time.Since(begun) < 50*time.Millisecond {
		t.Errorf("delayed: %v after %v", err, time.Since(begun))
	}
	link.Heal()
	link.Cut(Back, 4)
	if got, err := echo(c, Patience); got != "0123" || err == nil {
		t.Errorf("cut in a message: %q %v", got, err)
	}
	link.Heal()
	checkHangAndReset(t, link, dial)
	half := dial()
	_, _ = io.WriteString(half, "half")
	_ = half.(*net.TCPConn).CloseWrite()
	if b, err := io.ReadAll(half); string(b) != "half" || err != nil {
		t.Errorf("half closed: %q %v", b, err)
	}
	far.Close()
	if c, err := net.Dial("tcp", link.Address()); err == nil { // else the reset came before the connection was looked at
		defer c.Close()
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("nobody is there, and a byte comes")
		}
	}
}

// The same seed draws the same script; no process or link has two faults at once, no more are down than may be, and all ends in time.
func TestDraw(t *testing.T) {
	m := Mix{Processes: []string{"a", "b", "c", "d", "e"}, Links: []string{"a>b", "b>a"}, Length: 30 * time.Second, Every: 100 * time.Millisecond,
		Shortest: 50 * time.Millisecond, Longest: 2 * time.Second, Down: 2,
		Weights: map[StepKind]float64{Kill: 1, KillBare: 1, Pause: 1, DropBoth: 1, DropBack: 1, Slow: 1, Hang: 1, CutOut: 1, Part: 1, PartOne: 1}}
	seen := map[StepKind]int{}
	for seed := range uint64(50) {
		script := Draw(seed, m)
		if !reflect.DeepEqual(script, Draw(seed, m)) {
			t.Fatalf("seed %d: two scripts", seed)
		}
		for i, s := range script {
			seen[s.Do]++
			if s.At+s.For >= m.Length {
				t.Errorf("%+v ends late", s)
			}
			down := 0
			for _, before := range script[:i] {
				if before.At+before.For <= s.At {
					continue
				}
				if s.Who != "" && before.Who == s.Who {
					t.Errorf("%+v during %+v", s, before)
				}
				if len(before.Who) == 1 {
					down++
				}
			}
			if len(s.Who) == 1 && down >= m.Down {
				t.Errorf("%d are down before %+v", down, s)
			}
		}
	}
	for d := range m.Weights {
		if seen[d] == 0 {
			t.Errorf("%s is never drawn", d)
		}
	}
}

// A script is played at its times, with all back at its end.
func TestPlay(t *testing.T) {
	r := New(t, 3)
	up := answering(t)
	link, err := r.Link("n0", "up", func() string { return up })
	if err != nil {
		t.Fatal(err)
	}
	all := daemons(r, 2, link.Address())
	if err := r.StartAll(within(t, Patience), all...); err != nil {
		t.Fatal(err)
	}
	script := Draw(4, Mix{Processes: []string{"n0", "n1"}, Links: []string{"n0>up"}, Length: 1500 * time.Millisecond, Every: 100 * time.Millisecond,
		Shortest: 20 * time.Millisecond, Longest: 300 * time.Millisecond, Down: 1, Weights: map[StepKind]float64{Kill: 1, Pause: 2, DropBoth: 1, Hang: 1, CutOut: 1}})
	if len(script) < 4 {
		t.Fatalf("%d steps", len(script))
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
			t.Errorf("%s: %s", p.Name(), resp.Status)
		}
	}
	if err := r.Play(t.Context(), []Step{{Do: Kill, Who: "nobody"}}); err == nil || !strings.Contains(err.Error(), "no such process") {
		t.Errorf("%v", err)
	}
}

// A history is written as JSON Lines, in the order in which it is kept.
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
		t.Errorf("%+v\n%+v", read, h.Events(0))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, at, err := h.Wait(ctx, 0, func(e Event) bool { return e.What == "3" }); err == nil || at != 3 {
		t.Errorf("%d %v", at, err)
	}
}

// How long processes take to come up, and what they hold: 5 in under a second, 300 in under 30 s (go test -run ComeUp -v -fleet).
func TestComeUp(t *testing.T) {
	for n, most := range map[int]time.Duration{5: time.Second, 300: 30 * time.Second} {
		if n > 5 && !*fleet {
			continue
		}
		r := New(t, 5)
		all := daemons(r, n, answering(t))
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
		if took > most && n > 5 { // five on a machine that is busy with other tests are no measure
			t.Errorf("%d processes took %v", n, took)
		}
		r.Close()
	}
}
