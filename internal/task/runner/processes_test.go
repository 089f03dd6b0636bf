package runner

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/testing/processes"
)

var faultDuration = flag.Duration("for", 8*time.Second, "how long TestRunsThroughFaults injects faults")

// countLines counts the lines of each task.
func countLines(lines []sinkLine) map[string]int {
	counts := map[string]int{}
	for _, line := range lines {
		counts[line.task]++
	}
	return counts
}

// countRepeats returns the number of runs that began, and the number of times that a run began again.
func countRepeats(lines []sinkLine) (runs, repeats int) {
	begins := map[string]int{}
	for _, line := range lines {
		if line.isBegin() {
			if begins[line.run()]++; begins[line.run()] > 1 {
				repeats++
			}
		}
	}
	return len(begins), repeats
}

// Checks that runs keep their delivery guarantees while members are killed, paused for longer and shorter than a lease duration, disconnected from
// the others in one direction or both, and hung; that runs continue after the last fault; and that the check detects a run that begins twice.
func TestRunsThroughFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed)
			f.eventually("the first six lines", func(lines []sinkLine) bool { return len(lines) >= 6 })
			script := processes.Draw(seed, processes.Mix{Processes: []string{"a", "b", "c"}, Links: f.links, Length: *faultDuration, Every: 200 * time.Millisecond,
				Shortest: 50 * time.Millisecond, Longest: 2500 * time.Millisecond, Down: 1, Weights: map[processes.StepKind]float64{processes.Kill: 4, processes.Pause: 4,
					processes.DropBoth: 1, processes.DropOut: 1, processes.DropBack: 1, processes.Slow: 1, processes.Hang: 1, processes.CutOut: 1}})
			if err := f.rig.Play(testContext(t), script); err != nil {
				t.Fatal(err)
			}
			before := countLines(f.readSink())
			f.eventually("runs of both tasks after the last fault", func(lines []sinkLine) bool {
				counts := countLines(lines)
				for _, task := range []string{LeasePrefix + atMostOnce, LeasePrefix + atLeastOnce} {
					if counts[task] < before[task]+6 {
						return false
					}
				}
				return true
			})
			f.checkSink()
			lines := f.readSink()
			runs, repeats := countRepeats(lines)
			t.Logf("%d fault steps, %d runs, %d repeated", len(script), runs, repeats)
			first := slices.IndexFunc(lines, func(l sinkLine) bool { return l.isOf(atMostOnce) })
			if len(violations(append(lines, lines[first]))) == 0 {
				t.Error("violations did not report an at-most-once run that begins twice")
			}
		})
	}
}

// Checks that runs spread over the processes, that the others take over the runs of a process that shuts down, and that a run whose process was
// killed is repeated. The test logs the time from the kill to the end of the repeated run. This time is normally below two lease durations, which the
// test does not check.
func TestRunsMoveAway(t *testing.T) {
	f := newFleet(t, 3)
	f.eventually("runs by all members", func(lines []sinkLine) bool {
		seen := map[string]bool{}
		for _, line := range lines {
			seen[line.process] = true
		}
		return len(seen) == len(f.members)
	})
	ending := f.members[0]
	if err := errors.Join(ending.Signal(syscall.SIGTERM), ending.Await(testContext(t))); err != nil {
		t.Fatal(err)
	}
	n := len(f.readSink())
	f.eventually("runs by the other members", func(lines []sinkLine) bool { return len(lines) > n+8 })
	for _, line := range f.readSink()[n:] {
		if line.process == ending.Name() {
			t.Errorf("sink line %+v was written after its process had ended", line)
		}
	}
	f.eventually("a run in progress", func(lines []sinkLine) bool {
		last := lines[len(lines)-1]
		return last.isOf(atLeastOnce) && last.isBegin()
	})
	lines := f.readSink()
	interrupted := lines[len(lines)-1]
	for _, p := range f.members[1:] {
		if p.Name() != interrupted.process {
			continue
		}
		if err := errors.Join(p.Kill(testContext(t)), p.Start(testContext(t), nil)); err != nil { // restarted, because without it only one of three members is running, which is no majority
			t.Fatal(err)
		}
	}
	start := time.Now()
	f.eventually("the end of the interrupted run, by any process", func(lines []sinkLine) bool {
		return slices.ContainsFunc(lines, func(l sinkLine) bool { return l.run() == interrupted.run() && !l.isBegin() })
	})
	t.Logf("the run was completed %v after its process was killed", time.Since(start).Round(time.Millisecond))
	f.checkSink()
}
