package processes

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"
)

// Kinds of events.
const (
	Did    = "did"   // an action of the rig on a process or link
	Logged = "told"  // a line of a process, in Data if it is JSON
	Ended  = "ended" // a process ended
	Noted  = "noted" // a note of the test or its rule checker
)

// Event is one line of a history.
type Event struct {
	At   time.Duration   `json:"at"` // since the history began, by a clock that does not jump
	Kind string          `json:"kind"`
	Who  string          `json:"who"`            // a process, a link, or whoever notes
	Run  int             `json:"life,omitempty"` // the process's, from 1: each start is one
	What string          `json:"what"`
	Data json.RawMessage `json:"data,omitempty"`
}

// mostEvents is how many a History holds. Beyond it they are only written: about 200 MB at 200 bytes each.
const mostEvents = 1 << 20

// History is an ordered log of events. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	begun time.Time
	out   io.Writer // JSON Lines; nil: nowhere
	all   []Event
	more  chan struct{} // closed with the next event
	err   error
}

// NewHistory returns an empty history that is also written to out if that is not nil.
func NewHistory(out io.Writer) *History {
	return &History{begun: time.Now(), out: out, more: make(chan struct{})}
}

// Now returns the time since the start of the history.
func (h *History) Now() time.Duration { return time.Since(h.begun) }

// Add appends an event with the current time. Times do not decrease.
func (h *History) Add(e Event) Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Since(h.begun)
	if h.out != nil && h.err == nil {
		line, err := json.Marshal(e)
		if err == nil {
			_, err = h.out.Write(append(line, '\n'))
		}
		h.err = err
	}
	if len(h.all) < mostEvents {
		h.all = append(h.all, e)
	}
	close(h.more)
	h.more = make(chan struct{})
	return e
}

// Events returns the events from an index on. The caller must not change them.
func (h *History) Events(from int) []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[min(from, len(h.all)):len(h.all):len(h.all)]
}

// Err returns the error that ended the writing to out; nil if there was none.
func (h *History) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

var errFull = errors.New("the history is full")

// Wait waits for a matching event from an index on, and returns it with the index after it.
func (h *History) Wait(ctx context.Context, from int, match func(Event) bool) (Event, int, error) {
	for {
		h.mu.Lock()
		all, more := h.all, h.more
		h.mu.Unlock()
		for ; from < len(all); from++ {
			if match(all[from]) {
				return all[from], from + 1, nil
			}
		}
		if len(all) == mostEvents {
			return Event{}, from, errFull
		}
		select {
		case <-more:
		case <-ctx.Done():
			return Event{}, from, context.Cause(ctx)
		}
	}
}
