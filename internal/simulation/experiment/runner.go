package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Runner executes the runs of an experiment.
type Runner struct {
	Workers  int                                   // number of concurrent runs; values below 1 mean 1
	Timeout  time.Duration                         // wall-clock limit after which a run is reported as failed; 0 means no limit
	Version  string                                // version of the program, written to the header of the results
	OnResult func(done, all int, result RunResult) // called in the order of the runs, after each result was written; may be nil
}

// job is one run to execute.
type job struct {
	policy string
	seed   int
	result chan RunResult // has a capacity of 1
}

// Run executes all runs whose results are not in the file at path yet, and appends one line per run. The lines are in the
// order of policies and seeds, whatever the number of workers. The same experiment and version give the same bytes, even
// if Run was interrupted and resumed. Run returns early when ctx ends, and the lines written so far stay in the file. If
// the file belongs to another experiment or version, Run returns ErrMismatch.
func (r Runner) Run(ctx context.Context, e *Experiment, path string) error {
	header := Header{
		Experiment: e.Name,
		Question:   e.Question,
		Hash:       e.hash,
		Version:    r.Version,
		Policies:   e.PolicyNames(),
		Seeds:      e.Seeds,
	}
	done, size, err := readProgress(path, header)
	if err != nil {
		return err
	}
	f, err := openResults(path, size)
	if err != nil {
		return err
	}
	defer f.Close()
	out := json.NewEncoder(f)
	if size == 0 {
		if err := out.Encode(header); err != nil {
			return err
		}
	}
	var jobs []job
	for _, policy := range header.Policies {
		for seed := range e.Seeds {
			jobs = append(jobs, job{policy, seed + 1, make(chan RunResult, 1)})
		}
	}
	remaining := jobs[min(done, len(jobs)):]
	var workers sync.WaitGroup
	defer workers.Wait()
	workersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startWorkers(workersCtx, &workers, e, remaining)
	for i, j := range remaining {
		select {
		case result := <-j.result:
			if err := out.Encode(result); err != nil {
				return err
			}
			if r.OnResult != nil {
				r.OnResult(done+i+1, len(jobs), result)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return f.Sync()
}

// openResults opens a results file for appending after its first size bytes. It truncates an incomplete line after them.
func openResults(path string, size int64) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		f.Close()
		return nil, err
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startWorkers starts goroutines that execute the jobs in order until ctx ends.
func (r Runner) startWorkers(ctx context.Context, workers *sync.WaitGroup, e *Experiment, jobs []job) {
	next := make(chan job)
	for range max(1, r.Workers) {
		workers.Go(func() {
			for j := range next {
				j.result <- r.executeRun(e, j.policy, j.seed)
			}
		})
	}
	workers.Go(func() {
		defer close(next)
		for _, j := range jobs {
			select {
			case next <- j:
			case <-ctx.Done():
				return
			}
		}
	})
}

// executeRun executes one run. A run that exceeds Timeout cannot be stopped: its goroutine continues, and executeRun
// discards its result.
func (r Runner) executeRun(e *Experiment, policy string, seed int) RunResult {
	failed := RunResult{Policy: policy, Seed: seed}
	run, err := e.fleetRun(policy, seed)
	if err != nil {
		failed.Error = err.Error()
		return failed
	}
	ended := make(chan RunResult, 1)
	go func() {
		played, err := play(run)
		result := RunResult{Policy: policy, Seed: seed, Result: played}
		if err != nil {
			result.Error = err.Error()
		}
		ended <- result
	}()
	var timeout <-chan time.Time
	if r.Timeout > 0 {
		timer := time.NewTimer(r.Timeout)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case result := <-ended:
		return result
	case <-timeout:
		failed.Error = fmt.Sprintf("it did not end within %v", r.Timeout)
		return failed
	}
}
