package raftgroup

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/testing/processes"
)

func TestMain(m *testing.M) { os.Exit(processes.Main(m)) }

// fleet is a group of members and contenders for one lease, each a process, with a link for each way between two of them.
type fleet struct {
	t       *testing.T
	rig     *processes.Rig
	members []*processes.Process
	clients []*processes.Process
	links   []string
	acts    string // the sink: a file to which each act adds a line with its token
	checked string // another, which looks at the token first
}

// newFleet makes one. Contenders run a command that acts every 10 ms or so for as long as it is let.
func newFleet(t *testing.T, seed uint64, members, clients int, term, margin time.Duration) *fleet {
	f := &fleet{t: t, rig: processes.New(t, seed), acts: filepath.Join(t.TempDir(), "acts")}
	f.checked = f.acts + ".checked"
	names := []string{"a", "b", "c", "d", "e"}[:members]
	link := func(from, to string) string {
		l, err := f.rig.Link(from, to, func() string {
			for _, p := range f.members {
				if p.Name() == to {
					return told(f.rig, p)
				}
			}
			return ""
		})
		if err != nil {
			t.Fatal(err)
		}
		f.links = append(f.links, l.Name())
		return l.Address()
	}
	file := func(name, member string) string {
		text := "[log]\nformat = \"json\"\n[fleet]\nname = \"f\"\ntick = \"20ms\"\nshortest = \"100ms\"\n"
		if member != "" {
			text = "[daemon]\nlisten = \"127.0.0.1:0\"\n" + text + fmt.Sprintf("member = %q\nlisten = \"127.0.0.1:0\"\nfile = \"fleet.db\"\n", member)
		}
		for _, m := range names {
			text += fmt.Sprintf("[[fleet.members]]\nname = %q\naddress = %q\n", m, link(name, m))
		}
		if member != "" {
			text += "[[service]]\nname = \"web\"\naddresses = [\"127.0.0.1:9\"]\n"
		}
		return text
	}
	for _, name := range names {
		f.members = append(f.members, f.rig.Process(processes.Spec{Name: name, Args: []string{"--config", "fleet.toml"}, Ready: func(e processes.Event) bool { return e.What == "fleet: listening" },
			Files: map[string]string{"fleet.toml": file(name, name)}}))
	}
	for i := range clients {
		name := fmt.Sprint("c", i)
		f.clients = append(f.clients, f.rig.Process(processes.Spec{Name: name, Files: map[string]string{"fleet.toml": file(name, "")},
			Args: []string{"lease", "--file", "fleet.toml", "run", "task", "--again", "--term", term.String(), "--margin", margin.String(), "--",
				"sh", "-c", strings.NewReplacer("ACTS", f.acts, "NAME", name).Replace(acting)}}))
	}
	return f
}

// acting acts on a sink that takes all, and on one that refuses a token below one that it has seen, and looks and writes under one lock.
const acting = `while :; do
	echo "$ORCHIDDRIFT_LEASE_TOKEN NAME" >> ACTS
	flock ACTS.lock sh -c '[ "$ORCHIDDRIFT_LEASE_TOKEN" -ge "$(cat ACTS.last 2>/dev/null || echo 0)" ] || exit 1
		echo "$ORCHIDDRIFT_LEASE_TOKEN" > ACTS.last; echo "$ORCHIDDRIFT_LEASE_TOKEN NAME" >> ACTS.checked'
	sleep 0.01
done`

// told is where a member's present life listens for the group.
func told(r *processes.Rig, p *processes.Process) string {
	address := ""
	for _, e := range r.History.Events(0) {
		if e.Who == p.Name() && e.What == "fleet: listening" {
			var words struct{ Address string }
			if json.Unmarshal(e.Data, &words) == nil {
				address = words.Address
			}
		}
	}
	return address
}

// act is a line of the sink.
type act struct {
	token uint64
	who   string
}

// read is what the sink has.
func (f *fleet) read() []act { return f.readFrom(f.acts) }

func (f *fleet) readFrom(path string) (out []act) {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var a act
		if _, err := fmt.Sscan(lines.Text(), &a.token, &a.who); err != nil {
			f.t.Errorf("the sink has %q", lines.Text())
		}
		out = append(out, a)
	}
	return out
}

// overlaps are acts behind one with a higher token: two held the lease, or one acted after its time.
func overlaps(all []act) (out []string) {
	highest := act{}
	for i, a := range all {
		switch {
		case a.token < highest.token:
			out = append(out, fmt.Sprintf("act %d: %s with %d after %s with %d", i, a.who, a.token, highest.who, highest.token))
		case a.token == highest.token && a.who != highest.who:
			out = append(out, fmt.Sprintf("act %d: %s and %s with %d", i, a.who, highest.who, a.token))
		}
		if a.token > highest.token {
			highest = a
		}
	}
	return out
}

// eventually waits until the sink has what is wanted.
func (f *fleet) eventually(what string, ok func(all []act) bool) {
	f.t.Helper()
	for end := time.Now().Add(processes.Patience); ; time.Sleep(5 * time.Millisecond) {
		if ok(f.read()) {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("waited in vain: %s", what)
		}
	}
}

// actsAfter waits for acts that come once no term of before is left; how many come in a time is the machine's matter.
func (f *fleet) actsAfter(what string, terms time.Duration) {
	f.t.Helper()
	begun := time.Now()
	f.eventually(what, func([]act) bool { return time.Since(begun) > terms })
	n := len(f.read())
	f.eventually(what, func(all []act) bool { return len(all) > n })
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 4*processes.Patience)
	t.Cleanup(cancel)
	return ctx
}

var long = flag.Duration("for", 6*time.Second, "how long faults go on in TestNoTwoAct")

// Three members and three contenders, while members and contenders are killed, stopped for longer and shorter than a term, cut off one way and
// both, delayed and hung: no act comes after one with a higher token, and once all is well somebody acts again.
func TestNoTwoAct(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed, 3, 3, time.Second, 200*time.Millisecond)
			all := append(append([]*processes.Process{}, f.members...), f.clients...)
			if err := f.rig.StartAll(within(t), all...); err != nil {
				t.Fatal(err)
			}
			f.eventually("the first act", func(all []act) bool { return len(all) > 0 })
			var names []string
			for _, p := range all {
				names = append(names, p.Name())
			}
			script := processes.Draw(seed, processes.Mix{Processes: names, Links: f.links, Length: *long, Every: 150 * time.Millisecond,
				Shortest: 50 * time.Millisecond, Longest: 2500 * time.Millisecond, Down: 2, Weights: map[processes.Deed]float64{processes.Kill: 3, processes.Pause: 4,
					processes.DropBoth: 1, processes.DropOut: 1, processes.DropBack: 1, processes.Slow: 1, processes.Hang: 1, processes.CutOut: 1, processes.Part: 1, processes.PartOne: 1}})
			if err := f.rig.Play(within(t), script); err != nil {
				t.Fatal(err)
			}
			before := len(f.read())
			f.eventually("an act after the last fault", func(all []act) bool { return len(all) > before })
			acts := f.read()
			if bad := overlaps(acts); len(bad) > 0 {
				t.Errorf("%d acts out of order, such as\n%s", len(bad), strings.Join(bad[:min(5, len(bad))], "\n"))
			}
			holders := map[uint64]string{}
			for _, a := range acts {
				holders[a.token] = a.who
			}
			t.Logf("%d steps, %d acts under %d tokens", len(script), len(acts), len(holders))
		})
	}
}

// Five members, killed at once and started again with one file torn and one lost: the torn one serves its clients and takes no part, the one
// without a file is taken in as a new member, and acts go on.
func TestDisksAfterACrash(t *testing.T) {
	f := newFleet(t, 3, 5, 1, time.Second, 200*time.Millisecond)
	if err := f.rig.StartAll(within(t), append(append([]*processes.Process{}, f.members...), f.clients...)...); err != nil {
		t.Fatal(err)
	}
	f.eventually("the first act", func(all []act) bool { return len(all) > 0 })
	for _, p := range f.members {
		if err := p.Signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range f.members {
		if err := p.Await(within(t)); err != nil {
			t.Fatal(err)
		}
	}
	torn, lost := f.members[0], f.members[1]
	path := filepath.Join(torn.Dir, "fleet.db")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(os.WriteFile(path, text[:2*os.Getpagesize()+100], 0o600), lost.Forget()); err != nil {
		t.Fatal(err)
	}
	from := f.rig.History.Now()
	if err := f.rig.StartAll(within(t), f.members...); err != nil {
		t.Fatal(err)
	}
	f.actsAfter("acts under the members that came again", 2*time.Second)
	if bad := overlaps(f.read()); len(bad) > 0 {
		t.Error(bad[0])
	}
	said := func(p *processes.Process, what string) func(e processes.Event) bool {
		return func(e processes.Event) bool {
			return e.Who == p.Name() && e.At >= from && strings.Contains(string(e.Data), what)
		}
	}
	for _, w := range []func(e processes.Event) bool{said(torn, "takes no part in the group any more"), said(lost, "fleet: asked to join the group")} {
		if _, _, err := f.rig.History.Wait(within(t), 0, w); err != nil {
			t.Error(err)
		}
	}
	resp, err := http.Get("http://" + torn.Address() + "/-/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("the torn one's clients: %s", resp.Status)
	}
	// Two more fall: the lease can go on only with the one that was taken in.
	for _, p := range f.members[3:] {
		_ = p.Signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond) // any time will do
	_ = f.members[3].Signal(syscall.SIGCONT)
	f.actsAfter("acts with the newcomer's vote", 2*time.Second)
	if bad := overlaps(f.read()); len(bad) > 0 {
		t.Error(bad[0])
	}
}

// The check finds what it is there for, and this is what is left: where both a holder and its guard are stopped, the command acts on while the
// next one acts too. A sink that looks at the token refuses it.
func TestWhatIsLeft(t *testing.T) {
	f := newFleet(t, 5, 3, 2, time.Second, 200*time.Millisecond)
	if err := f.rig.StartAll(within(t), append(append([]*processes.Process{}, f.members...), f.clients...)...); err != nil {
		t.Fatal(err)
	}
	f.eventually("the first act", func(all []act) bool { return len(all) > 0 })
	first := f.read()[0]
	for _, p := range f.clients {
		if p.Name() != first.who {
			continue
		}
		guards := p.Children()
		if len(guards) != 1 {
			t.Fatalf("%d guards", len(guards))
		}
		if err := errors.Join(p.Signal(syscall.SIGSTOP), syscall.Kill(guards[0], syscall.SIGSTOP)); err != nil {
			t.Fatal(err)
		}
		defer syscall.Kill(guards[0], syscall.SIGCONT) // so that it sees its end
	}
	f.eventually("acts of both", func(all []act) bool { return len(overlaps(all)) > 10 })
	if bad := overlaps(f.readFrom(f.checked)); len(bad) > 0 {
		t.Errorf("the sink that looks took %s", bad[0])
	}
}

// How long it takes from a holder's end to the next one's first act: told with -v, as a multiple of the term.
func TestNextHolder(t *testing.T) {
	const term = time.Second
	f := newFleet(t, 6, 3, 3, term, 200*time.Millisecond)
	if err := f.rig.StartAll(within(t), append(append([]*processes.Process{}, f.members...), f.clients...)...); err != nil {
		t.Fatal(err)
	}
	f.eventually("the first act", func(all []act) bool { return len(all) > 0 })
	var killed, left []time.Duration
	for i := range 8 {
		all := f.read()
		last := all[len(all)-1]
		for _, p := range f.clients {
			if p.Name() != last.who {
				continue
			}
			signal, to := syscall.SIGKILL, &killed
			if i%2 == 1 { // it gives the lease back
				signal, to = syscall.SIGTERM, &left
			}
			if err := p.Signal(signal); err != nil {
				t.Fatal(err)
			}
			begun := time.Now()
			f.eventually("the next one's act", func(all []act) bool { return all[len(all)-1].token > last.token })
			*to = append(*to, time.Since(begun))
			if err := errors.Join(p.Await(within(t)), p.Start(within(t), nil)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if bad := overlaps(f.read()); len(bad) > 0 {
		t.Error(bad[0])
	}
	slices.Sort(killed)
	slices.Sort(left)
	t.Logf("after a kill %.2f terms (most %.2f), after giving back %v (most %v)", killed[len(killed)/2].Seconds()/term.Seconds(),
		killed[len(killed)-1].Seconds()/term.Seconds(), left[len(left)/2].Round(time.Millisecond), left[len(left)-1].Round(time.Millisecond))
	if killed[0] > 3*term {
		t.Errorf("the next one acts %v after a kill", killed[0])
	}
}

// The leader is killed, three times: a holder that is well keeps its lease.
func TestLeaderIsKilled(t *testing.T) {
	f := newFleet(t, 7, 3, 2, 3*time.Second, 300*time.Millisecond)
	if err := f.rig.StartAll(within(t), append(append([]*processes.Process{}, f.members...), f.clients...)...); err != nil {
		t.Fatal(err)
	}
	f.eventually("the first act", func(all []act) bool { return len(all) > 0 })
	first := f.read()[0]
	leads := func(e processes.Event) bool { return e.What == "fleet: became leader" }
	at := 0
	for range 3 {
		e, next, err := f.rig.History.Wait(within(t), at, leads)
		if err != nil {
			t.Fatal(err)
		}
		at = next
		for _, p := range f.members {
			if p.Name() == e.Who {
				if err := p.Kill(within(t)); err != nil {
					t.Fatal(err)
				}
				if _, _, err := f.rig.History.Wait(within(t), at, leads); err != nil { // another leads
					t.Fatal(err)
				}
				if err := p.Start(within(t), nil); err != nil {
					t.Fatal(err)
				}
			}
		}
		f.actsAfter("acts on", 500*time.Millisecond)
	}
	if all := f.read(); all[len(all)-1] != first {
		t.Errorf("it was held by %+v, and is by %+v", first, all[len(all)-1])
	}
}
