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
	Did    = "did"   // the rig acted on a process or link
	Logged = "told"  // a process logged a line, which Data holds if the line is JSON
	Ended  = "ended" // a process ended
	Noted  = "noted" // the test or its rule checker recorded a note
)

// Event is one line of a history.
type Event struct {
	At   time.Duration   `json:"at"` // time since the start of the history, from a monotonic clock
	Kind string          `json:"kind"`
	Who  string          `json:"who"`            // the process or link, or the author of the note
	Run  int             `json:"life,omitempty"` // number of the process's run, counted from 1
	What string          `json:"what"`
	Data json.RawMessage `json:"data,omitempty"`
}

// maxEvents limits the events that a History holds in memory. At 200 bytes each they take about 200 MB.
// Later events are only written to the writer of the History.
const maxEvents = 1 << 20

// History is an ordered log of events. It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	start  time.Time
	out    io.Writer // receives the events as JSON Lines; nothing is written if it is nil
	events []Event
	added  chan struct{} // closed when the next event is added
	err    error         // error of the first failed write
}

// NewHistory returns an empty history. Its events are also written to out, unless out is nil.
func NewHistory(out io.Writer) *History {
	return &History{start: time.Now(), out: out, added: make(chan struct{})}
}

// Now returns the time since the start of the history.
func (h *History) Now() time.Duration { return time.Since(h.start) }

// Add sets the time of an event to the current time, appends the event and returns it. Times never
// decrease.
func (h *History) Add(e Event) Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Since(h.start)
	if h.out != nil && h.err == nil {
		line, err := json.Marshal(e)
		if err == nil {
			_, err = h.out.Write(append(line, '\n'))
		}
		h.err = err
	}
	if len(h.events) < maxEvents {
		h.events = append(h.events, e)
	}
	close(h.added)
	h.added = make(chan struct{})
	return e
}

// Events returns the events from an index on. The parameter from is that index. The caller must not
// change them.
func (h *History) Events(from int) []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[min(from, len(h.events)):len(h.events):len(h.events)]
}

// Err returns the error of the first failed write, or nil if no write failed. After a failed write the
// History writes no further events.
func (h *History) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

var errFull = errors.New("the history is full, and later events are not in memory")

// Wait waits for the first matching event. The parameter from is the index at which the search begins.
// Wait returns the event and the next index.
func (h *History) Wait(ctx context.Context, from int, match func(Event) bool) (Event, int, error) {
	for {
		h.mu.Lock()
		events, added := h.events, h.added
		h.mu.Unlock()
		for ; from < len(events); from++ {
			if match(events[from]) {
				return events[from], from + 1, nil
			}
		}
		if len(events) == maxEvents {
			return Event{}, from, errFull
		}
		select {
		case <-added:
		case <-ctx.Done():
			return Event{}, from, context.Cause(ctx)
		}
	}
}
