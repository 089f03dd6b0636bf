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

// Header is the first line of a file of results and identifies the experiment.
type Header struct {
	Experiment string   `json:"experiment"`
	Question   string   `json:"question,omitempty"`
	Hash       string   `json:"hash"` // of the experiment's file
	Version    string   `json:"version"`
	Policies   []string `json:"policies"`
	Seeds      int      `json:"seeds"`
}

// RunResult is the result of one run, a line of a file of results.
type RunResult struct {
	Policy string           `json:"policy"`
	Seed   int              `json:"seed"`
	Error  string           `json:"error,omitempty"` // why the run failed; empty: it did not
	Result *fleetsim.Result `json:"result,omitempty"`
}

// ErrMismatch means that a file holds results of another experiment or version.
var ErrMismatch = errors.New("the results are of another experiment, or of another version of it or of this program")

// resume returns the number of runs in a file of results and the size of its complete lines in bytes. A missing file has none.
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
			return done, size, nil // an incomplete line is dropped
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

// Read reads a file of results. On an error it returns the results before it.
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
