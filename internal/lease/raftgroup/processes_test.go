package raftgroup

import (
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

var faultDuration = flag.Duration("for", 6*time.Second, "how long TestNoTwoAct injects faults")

// At most one client may act as the holder of a lease, whatever faults occur. Three members and three clients are killed, and stopped for longer and
// shorter than a lease duration; their links are cut in one and in both directions, delayed and hung. In the sink, no line may follow a line with a
// higher token, and lines must appear again after the last fault.
func TestNoTwoAct(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed, 3, 3, time.Second, 200*time.Millisecond)
			f.startAll()
			var names []string
			for _, p := range f.all() {
				names = append(names, p.Name())
			}
			script := processes.Draw(seed, processes.Mix{Processes: names, Links: f.links, Length: *faultDuration, Every: 150 * time.Millisecond,
				Shortest: 50 * time.Millisecond, Longest: 2500 * time.Millisecond, Down: 2, Weights: map[processes.StepKind]float64{processes.Kill: 3, processes.Pause: 4,
					processes.DropBoth: 1, processes.DropOut: 1, processes.DropBack: 1, processes.Slow: 1, processes.Hang: 1, processes.CutOut: 1, processes.Part: 1, processes.PartOne: 1}})
			if err := f.rig.Play(testContext(t), script); err != nil {
				t.Fatal(err)
			}
			before := len(f.readSink())
			f.awaitSink("a line after the last fault", func(lines []sinkLine) bool { return len(lines) > before })
			f.checkSink(f.sink)
			lines := f.readSink()
			tokens := map[uint64]bool{}
			for _, line := range lines {
				tokens[line.token] = true
			}
			t.Logf("%d fault steps, %d lines under %d tokens", len(script), len(lines), len(tokens))
		})
	}
}

// crash kills all members at once, truncates the file of the first and deletes the file of the second.
func (f *fleet) crash() (damaged, lost *processes.Process) {
	f.t.Helper()
	for _, p := range f.members {
		if err := p.Signal(syscall.SIGKILL); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, p := range f.members {
		if err := p.Await(testContext(f.t)); err != nil {
			f.t.Fatal(err)
		}
	}
	damaged, lost = f.members[0], f.members[1]
	path := filepath.Join(damaged.Dir, "fleet.db")
	data, err := os.ReadFile(path)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := errors.Join(os.WriteFile(path, data[:2*os.Getpagesize()+100], 0o600), lost.Forget()); err != nil {
		f.t.Fatal(err)
	}
	return damaged, lost
}

// A group must survive the crash of all five members that damages one member's file and deletes another's. The member with the damaged file must
// serve its HTTP clients without taking part in the group, the member without a file must join as a new member, and the work must go on.
func TestDisksAfterACrash(t *testing.T) {
	f := newFleet(t, 3, 5, 1, time.Second, 200*time.Millisecond)
	f.startAll()
	damaged, lost := f.crash()
	start := f.rig.History.Now()
	if err := f.rig.StartAll(testContext(t), f.members...); err != nil {
		t.Fatal(err)
	}
	f.awaitLinesAfter("lines after the restart of the members", 2*time.Second)
	f.checkSink(f.sink)
	logged := func(p *processes.Process, text string) func(e processes.Event) bool {
		return func(e processes.Event) bool {
			return e.Who == p.Name() && e.At >= start && strings.Contains(string(e.Data), text)
		}
	}
	for _, event := range []func(e processes.Event) bool{logged(damaged, "takes no part in the group any more"), logged(lost, "fleet: asked the leader to add this process to the group")} {
		if _, _, err := f.rig.History.Wait(testContext(t), 0, event); err != nil {
			t.Error(err)
		}
	}
	response, err := http.Get("http://" + damaged.Address() + "/-/ready")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("GET /-/ready on the process with the damaged file: %s, want 200", response.Status)
	}
	// The last two members are stopped and one of them is resumed. Three members are left, so that every renewal needs the new member's vote.
	for _, p := range f.members[3:] {
		_ = p.Signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond) // the test does not depend on this duration
	_ = f.members[3].Signal(syscall.SIGCONT)
	f.awaitLinesAfter("lines with the new member's vote", 2*time.Second)
	f.checkSink(f.sink)
}

// Two commands run at once if a holder and its guard are both stopped: their command goes on while the next holder's command runs. The unfenced sink
// must then have violations, which proves that the function violations detects them. The fenced sink, whose writers check fencing tokens, must have
// none.
func TestWhatIsLeft(t *testing.T) {
	f := newFleet(t, 5, 3, 2, time.Second, 200*time.Millisecond)
	f.startAll()
	holder := f.process(f.readSink()[0].client)
	guards := holder.Children()
	if len(guards) != 1 {
		t.Fatalf("the holder has %d child processes, want 1 guard", len(guards))
	}
	if err := errors.Join(holder.Signal(syscall.SIGSTOP), syscall.Kill(guards[0], syscall.SIGSTOP)); err != nil {
		t.Fatal(err)
	}
	defer syscall.Kill(guards[0], syscall.SIGCONT) // so that the guard can end
	f.awaitSink("violations by the commands of both holders", func(lines []sinkLine) bool { return len(violations(lines)) > 10 })
	f.checkSink(f.fencedSink)
}

// The next holder's work must begin within three lease durations after the holder was killed. With -v the test logs how long this takes after a
// kill and after a release.
func TestNextHolder(t *testing.T) {
	const duration = time.Second
	f := newFleet(t, 6, 3, 3, duration, 200*time.Millisecond)
	f.startAll()
	var afterKill, afterRelease []time.Duration
	for i := range 8 {
		lines := f.readSink()
		last := lines[len(lines)-1]
		holder := f.process(last.client)
		signal, delays := syscall.SIGKILL, &afterKill
		if i%2 == 1 { // on SIGTERM the holder releases the lease
			signal, delays = syscall.SIGTERM, &afterRelease
		}
		if err := holder.Signal(signal); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		f.awaitSink("the next holder's line", func(lines []sinkLine) bool { return lines[len(lines)-1].token > last.token })
		*delays = append(*delays, time.Since(start))
		if err := errors.Join(holder.Await(testContext(t)), holder.Start(testContext(t), nil)); err != nil {
			t.Fatal(err)
		}
	}
	f.checkSink(f.sink)
	slices.Sort(afterKill)
	slices.Sort(afterRelease)
	t.Logf("time to the next holder's line: after a kill median %.2f lease durations (maximum %.2f), after a release median %v (maximum %v)", afterKill[len(afterKill)/2].Seconds()/duration.Seconds(),
		afterKill[len(afterKill)-1].Seconds()/duration.Seconds(), afterRelease[len(afterRelease)/2].Round(time.Millisecond), afterRelease[len(afterRelease)-1].Round(time.Millisecond))
	if afterKill[0] > 3*duration {
		t.Errorf("after a kill the next holder's line came after at least %v, want at most three lease durations", afterKill[0])
	}
}

// A healthy holder must keep its lease and its token while the group changes its leader. The leader is killed three times.
func TestLeaderIsKilled(t *testing.T) {
	f := newFleet(t, 7, 3, 2, 3*time.Second, 300*time.Millisecond)
	f.startAll()
	first := f.readSink()[0]
	becameLeader := func(e processes.Event) bool { return e.What == "fleet: became leader" }
	position := 0
	for range 3 {
		event, next, err := f.rig.History.Wait(testContext(t), position, becameLeader)
		if err != nil {
			t.Fatal(err)
		}
		position = next
		leader := f.process(event.Who)
		if err := leader.Kill(testContext(t)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := f.rig.History.Wait(testContext(t), position, becameLeader); err != nil { // another member became leader
			t.Fatal(err)
		}
		if err := leader.Start(testContext(t), nil); err != nil {
			t.Fatal(err)
		}
		f.awaitLinesAfter("lines after the change of leader", 500*time.Millisecond)
	}
	if lines := f.readSink(); lines[len(lines)-1] != first {
		t.Errorf("the first line was %+v, and after three changes of leader it is %+v, want the same client and token", first, lines[len(lines)-1])
	}
}
