package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"orchiddrift/internal/simulation/fleetsim"
)

// Header is the first line of a results file and identifies the experiment.
type Header struct {
	Experiment string   `json:"experiment"`
	Question   string   `json:"question,omitempty"`
	Hash       string   `json:"hash"` // hash of the experiment file
	Version    string   `json:"version"`
	Policies   []string `json:"policies"`
	Seeds      int      `json:"seeds"`
}

// RunResult is the result of one run: one line of a results file after the header.
type RunResult struct {
	Policy string           `json:"policy"`
	Seed   int              `json:"seed"`
	Error  string           `json:"error,omitempty"` // reason of a failed run; empty if the run succeeded
	Result *fleetsim.Result `json:"result,omitempty"`
}

// ErrMismatch is returned if a results file belongs to a different experiment, or to a different version of the experiment or of the
// program.
var ErrMismatch = errors.New("the results belong to another experiment, or to another version of the experiment or of this program")

// readProgress returns the number of runs in a results file, and the total size of its complete lines in bytes. Both are 0 if the file
// does not exist.
func readProgress(path string, head Header) (done int, size int64, err error) {
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
			return done, size, nil // an incomplete last line, left by an interrupted write, does not count
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

// Read reads a results file. If a line is faulty, it returns an error together with the results before this line.
func Read(path string) (head Header, runs []RunResult, err error) {
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
		var run RunResult
		if err := in.Decode(&run); errors.Is(err, io.EOF) {
			return head, runs, nil
		} else if err != nil {
			return head, runs, fmt.Errorf("%s: line %d: %w", path, len(runs)+2, err)
		}
		runs = append(runs, run)
	}
}
