package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"orchiddrift/internal/simulation/fleetsim"
)

// Header is the first line of a file of results: what they are of.
type Header struct {
	Experiment string   `json:"experiment"`
	Question   string   `json:"question,omitempty"`
	Hash       string   `json:"hash"` // of the experiment's file
	Version    string   `json:"version"`
	Policies   []string `json:"policies"`
	Seeds      int      `json:"seeds"`
}

// RunResult is one run's result.
type RunResult struct {
	Policy string           `json:"policy"`
	Seed   int              `json:"seed"`
	Error  string           `json:"error,omitempty"` // in place of figures
	Result *fleetsim.Result `json:"result,omitempty"`
}

// Runner plays an experiment's runs.
type Runner struct {
	Workers  int           // runs at once
	Timeout  time.Duration // for a run, by the wall: beyond it is given up, and reported; 0: none
	Version  string
	OnResult func(done, all int, l RunResult)
}

// ErrMismatch says that a file of results is of another experiment or version.
var ErrMismatch = errors.New("the results are of another experiment, or of another version of it or of this program")

// Run plays all that path does not have yet, and adds to it, a line a run, in the order of policies and seeds whatever the number of
// cores: the same file and version give the same bytes, in one go or several. It returns early when ctx ends; what is whole stays.
func (n Runner) Run(ctx context.Context, e *Experiment, path string) error {
	head := Header{e.Name, e.Question, e.hash, n.Version, e.PolicyNames(), e.Seeds}
	done, size, err := resume(path, head)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil { // a line that was cut
		return err
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return err
	}
	out := json.NewEncoder(f)
	if size == 0 {
		if err := out.Encode(head); err != nil {
			return err
		}
	}
	type job struct {
		policy string
		seed   int
		line   chan RunResult
	}
	var jobs []job
	for _, policy := range head.Policies {
		for seed := range e.Seeds {
			jobs = append(jobs, job{policy, seed + 1, make(chan RunResult, 1)})
		}
	}
	todo := jobs[min(done, len(jobs)):]
	next := make(chan job)
	var workers sync.WaitGroup
	defer workers.Wait()
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	for range max(1, n.Workers) {
		workers.Go(func() {
			for j := range next {
				j.line <- n.playOne(e, j.policy, j.seed)
			}
		})
	}
	workers.Go(func() {
		defer close(next)
		for _, j := range todo {
			select {
			case next <- j:
			case <-stop.Done():
				return
			}
		}
	})
	for i, j := range todo {
		select {
		case l := <-j.line:
			if err := out.Encode(l); err != nil {
				return err
			}
			if n.OnResult != nil {
				n.OnResult(done+i+1, len(jobs), l)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return f.Sync()
}

// playOne plays a run, for as long as it may take.
func (n Runner) playOne(e *Experiment, policy string, seed int) RunResult {
	l := RunResult{Policy: policy, Seed: seed}
	r, err := e.fleetRun(policy, seed)
	if err != nil {
		l.Error = err.Error()
		return l
	}
	ended := make(chan RunResult, 1)
	go func() {
		of := RunResult{Policy: policy, Seed: seed}
		result, err := play(r)
		if of.Result = result; err != nil {
			of.Error = err.Error()
		}
		ended <- of
	}()
	var late <-chan time.Time
	if n.Timeout > 0 {
		t := time.NewTimer(n.Timeout)
		defer t.Stop()
		late = t.C
	}
	select {
	case l = <-ended:
	case <-late: // it can't be ended from here; what it computes is not looked at
		l.Error = fmt.Sprintf("it did not end within %v", n.Timeout)
	}
	return l
}

// resume counts the runs that a file has, and where the last whole line ends.
func resume(path string, head Header) (done int, size int64, err error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	in := bufio.NewReader(f)
	for first := true; ; first = false {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return done, size, nil // what is left of a line was cut
		}
		if err != nil {
			return 0, 0, err
		}
		if first {
			want, err := json.Marshal(head)
			if err != nil {
				return 0, 0, err
			}
			if string(want)+"\n" != string(line) {
				return 0, 0, fmt.Errorf("%s: %w", path, ErrMismatch)
			}
		} else {
			done++
		}
		size += int64(len(line))
	}
}

// Read reads a file of results.
func Read(path string) (head Header, lines []RunResult, err error) {
	f, err := os.Open(path)
	if err != nil {
		return head, nil, err
	}
	defer f.Close()
	in := json.NewDecoder(bufio.NewReader(f))
	if err := in.Decode(&head); err != nil || head.Experiment == "" {
		return head, nil, fmt.Errorf("%s: it holds no results: %w", path, errors.Join(err))
	}
	for {
		var l RunResult
		if err := in.Decode(&l); errors.Is(err, io.EOF) {
			return head, lines, nil
		} else if err != nil {
			return head, lines, fmt.Errorf("%s: line %d: %w", path, len(lines)+2, err)
		}
		lines = append(lines, l)
	}
}
