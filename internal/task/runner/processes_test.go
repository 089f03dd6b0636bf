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

var faultDuration = flag.Duration("for", 8*time.Second, "how long faults go on in TestRunsThroughFaults")

// countLines counts the lines of each task.
func countLines(lines []sinkLine) map[string]int {
	counts := map[string]int{}
	for _, line := range lines {
		counts[line.task]++
	}
	return counts
}

// countRepeats returns how many runs began, and how often one began again.
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

// Runs keep their promises while members are killed, stopped for longer and shorter than a lease duration, cut off one way and both, and hung. Once all is
// well, runs go on. The check finds a run that begins twice.
func TestRunsThroughFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed)
			f.eventually("the first runs", func(lines []sinkLine) bool { return len(lines) >= 6 })
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
			t.Logf("%d steps, %d runs, %d begun again", len(script), runs, repeats)
			first := slices.IndexFunc(lines, func(l sinkLine) bool { return l.isOf(atMostOnce) })
			if len(violations(append(lines, lines[first]))) == 0 {
				t.Error("a run that begins twice is not found")
			}
		})
	}
}

// Runs are spread over the processes; those of a process that ends are done by the others; a run whose process was killed is done again, within two
// lease durations as -v shows.
func TestRunsMoveAway(t *testing.T) {
	f := newFleet(t, 3)
	f.eventually("runs by all", func(lines []sinkLine) bool {
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
	f.eventually("runs by the others", func(lines []sinkLine) bool { return len(lines) > n+8 })
	for _, line := range f.readSink()[n:] {
		if line.process == ending.Name() {
			t.Errorf("%+v after its process has ended", line)
		}
	}
	f.eventually("a run that goes on", func(lines []sinkLine) bool {
		last := lines[len(lines)-1]
		return last.isOf(atLeastOnce) && last.isBegin()
	})
	lines := f.readSink()
	cutOff := lines[len(lines)-1]
	for _, p := range f.members[1:] {
		if p.Name() != cutOff.process {
			continue
		}
		if err := errors.Join(p.Kill(testContext(t)), p.Start(testContext(t), nil)); err != nil { // two of three make a majority
			t.Fatal(err)
		}
	}
	start := time.Now()
	f.eventually("its end, by any process", func(lines []sinkLine) bool {
		return slices.ContainsFunc(lines, func(l sinkLine) bool { return l.run() == cutOff.run() && !l.isBegin() })
	})
	t.Logf("the run was done %v after its process was killed", time.Since(start).Round(time.Millisecond))
	f.checkSink()
}
