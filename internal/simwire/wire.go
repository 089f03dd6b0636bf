// Package simwire translates between the simulator's wire and package balancer. It makes no decisions.
package simwire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/settings"
)

// timerID marks the one timer that an instance keeps.
const timerID = "w"

type batch struct {
	TimeMs float64           `json:"TsMs"`
	Events []json.RawMessage `json:"in"`
}

// event holds the fields of every verb that is read here.
type event struct {
	Verb       string          `json:"verb"`
	Instance   int             `json:"I"`
	Seed       json.Number     `json:"Prng"`
	Settings   json.RawMessage `json:"Env"`
	List       int             `json:"Table"`
	Endpoints  []entry         `json:"MembersList"`
	Scope      string          `json:"Scope"`
	ID         string          `json:"Id"`
	Class      string          `json:"Type"`
	Tenant     any             `json:"Billing"`
	DeadlineMs float64         `json:"ExpiresMs"`
	CostHintMs float64         `json:"PredictedMs"`
	Flags      int             `json:"Bits"`
	Attempt    int             `json:"Hop"`
	Upstream   string          `json:"Upstream"`
	Result     int             `json:"Result"`
	ElapsedMs  float64         `json:"ElapsedMs"`
	Final      bool            `json:"Finished"`
	From       int             `json:"By"`
	Message    string          `json:"Contents"`
}

type entry struct {
	Zone        string  `json:"RackZone"`
	Cell        int     `json:"Cell"`
	State       string  `json:"StageState"`
	Upstream    string  `json:"Upstream"`
	MachineType string  `json:"Machine"`
	StartedAtMs float64 `json:"CameUpMs"`
}

// action is any action on the wire.
type action struct {
	Verb         string  `json:"verb"`
	Instance     int     `json:"I"`
	ID           string  `json:"Id,omitempty"`
	Upstream     string  `json:"Upstream,omitempty"`
	TimeoutMs    float64 `json:"LimitMs,omitempty"`
	Attempt      *int    `json:"Hop,omitempty"`
	RetryAfterMs float64 `json:"RetryInMs,omitempty"`
	FireAtMs     float64 `json:"MomentMs,omitempty"`
	TimerID      string  `json:"Cookie,omitempty"`
	Enable       bool    `json:"Enable,omitempty"`
	Text         string  `json:"ReasonText,omitempty"`
}

// hintValid is the bit of Bits that says CostHintMs may be used.
const hintValid = 1

// host is the table of instances in this process, and the numbered lists they share as messages.
type host struct {
	instances map[int]*balancer.Balancer
	tables    map[int][]balancer.Endpoint
	acts      []balancer.Action
}

// Serve answers batches from in on out until in ends. Its error names the line that could not be handled.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	h := &host{instances: map[int]*balancer.Balancer{}, tables: map[int][]balancer.Endpoint{}}
	for line := 1; ; line++ {
		text, err := readLine(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		reply, err := h.batch(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if err := json.NewEncoder(w).Encode(map[string][]action{"outbox": reply}); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
	}
}

// readLine returns the next line; io.EOF only where nothing is left.
func readLine(r *bufio.Reader) ([]byte, error) {
	text, err := r.ReadBytes('\n')
	if err == io.EOF && len(text) > 0 {
		return text, nil
	}
	return text, err
}

func (h *host) batch(text []byte) ([]action, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("not a batch: %w", err)
	}
	reply := []action{}
	now := duration(b.TimeMs)
	for n, raw := range b.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("event %d: %w", n, err)
		}
		var err error
		if reply, err = h.event(now, &e, reply); err != nil {
			return nil, fmt.Errorf("event %d (%s): %w", n, e.Verb, err)
		}
	}
	return reply, nil
}

func (h *host) event(now time.Duration, e *event, reply []action) ([]action, error) {
	switch e.Verb {
	case "Inventory":
		h.tables[e.List] = members(e.Endpoints)
		return reply, nil
	case "PowerOn":
		if len(e.Settings) == 0 {
			return nil, fmt.Errorf("no Env")
		}
		set, err := settings.Decode(e.Settings)
		if err != nil {
			return nil, err
		}
		b, err := balancer.New(set.Settings, seed(e.Seed))
		if err != nil {
			return nil, err
		}
		h.instances[e.Instance] = b
		return reply, nil
	}
	translated := h.translate(e)
	if translated == nil && e.Verb != "Teardown" {
		return reply, nil // a verb that this adapter does not know
	}
	b := h.instances[e.Instance]
	if b == nil {
		return nil, fmt.Errorf("instance %d was never started", e.Instance)
	}
	if e.Verb == "Teardown" {
		delete(h.instances, e.Instance)
		return reply, nil
	}
	return h.decide(b, now, e.Instance, translated, reply), nil
}

// decide runs one decision; a panic in it becomes a BailOut with its text.
func (h *host) decide(b *balancer.Balancer, now time.Duration, inst int, e balancer.Event, reply []action) (out []action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(reply, action{Verb: "BailOut", Instance: inst, Text: fmt.Sprint(p)})
		}
	}()
	h.acts = b.Handle(now, e, h.acts[:0])
	for i := range h.acts {
		reply = append(reply, encode(inst, &h.acts[i]))
	}
	return reply
}

// translate gives nil for verbs that it does not know.
func (h *host) translate(e *event) balancer.Event {
	switch e.Verb {
	case "Topology":
		kinds := map[string]balancer.UpdateKind{"INCREMENTAL": balancer.IncrementalUpdate, "FULL": balancer.FullUpdate,
			"SAVED": balancer.CachedUpdate, "FAILED": balancer.UpdateFailed}
		kind, known := kinds[e.Scope]
		if !known {
			return nil
		}
		if kind == balancer.UpdateFailed {
			return balancer.EndpointUpdate{Kind: kind}
		}
		return balancer.EndpointUpdate{Kind: kind, Endpoints: h.tables[e.List]}
	case "Order":
		r := balancer.Request{ID: e.ID, Class: e.Class, Deadline: duration(e.DeadlineMs)}
		r.Tenant, _ = e.Tenant.(string)
		if e.Flags&hintValid != 0 {
			r.CostHint = duration(e.CostHintMs)
		}
		return r
	case "FirstByte":
		return balancer.FirstByte{ID: e.ID, Attempt: e.Attempt}
	case "Returned":
		return balancer.Outcome{ID: e.ID, Attempt: e.Attempt, Result: result(e.Result),
			Elapsed: duration(e.ElapsedMs), Final: e.Final}
	case "Hangup":
		return balancer.ClientDisconnected{ID: e.ID}
	case "Wakeup":
		return balancer.TimerFired{}
	case "ProbeDone":
		return balancer.ProbeResult{Upstream: e.Upstream, Result: result(e.Result), Elapsed: duration(e.ElapsedMs)}
	case "Heard":
		return balancer.PeerMessage{From: e.From, Message: e.Message}
	}
	return nil
}

func encode(inst int, a *balancer.Action) action {
	switch a.Kind {
	case balancer.Send:
		return action{Verb: "Try", Instance: inst, ID: a.ID, Upstream: a.Upstream, TimeoutMs: millis(a.Timeout)}
	case balancer.Cancel:
		hop := a.Attempt
		return action{Verb: "Retract", Instance: inst, ID: a.ID, Attempt: &hop}
	case balancer.Reject:
		return action{Verb: "Refuse", Instance: inst, ID: a.ID, RetryAfterMs: millis(a.RetryAfter)}
	case balancer.Fail:
		return action{Verb: "Error", Instance: inst, ID: a.ID}
	case balancer.SetTimer:
		return action{Verb: "Defer", Instance: inst, FireAtMs: millis(a.FireAt), TimerID: timerID}
	case balancer.Subscribe:
		return action{Verb: "Watch", Instance: inst, Enable: true}
	case balancer.Log:
		return action{Verb: "Emit", Instance: inst, Text: a.Text}
	}
	panic(fmt.Sprintf("no wire form for action kind %d", a.Kind))
}

// result maps completion codes; one that is unknown may have run, so it counts as an error answer.
func result(code int) balancer.Result {
	switch code {
	case 200:
		return balancer.OK
	case 429:
		return balancer.Rejected
	case 408:
		return balancer.Timeout
	case 521:
		return balancer.ConnectFailed
	case 520:
		return balancer.Reset
	case 444:
		return balancer.Cancelled
	case 409:
		return balancer.NotSent
	}
	return balancer.ServerError
}

func members(entries []entry) []balancer.Endpoint {
	states := map[string]balancer.EndpointState{"active": balancer.Active, "leaving": balancer.Draining}
	list := make([]balancer.Endpoint, len(entries))
	for i, e := range entries {
		state, known := states[e.State]
		if !known {
			state = balancer.Removed // gone, or in a state that promises nothing
		}
		list[i] = balancer.Endpoint{Name: e.Upstream, Zone: e.Zone, Cell: e.Cell, MachineType: e.MachineType,
			State: state, StartedAt: duration(e.StartedAtMs)}
	}
	return list
}

// seed folds whatever integer the wire brings, signed or not, into the module's seed.
func seed(n json.Number) uint64 {
	var u uint64
	if _, err := fmt.Sscan(n.String(), &u); err == nil {
		return u
	}
	i, _ := n.Int64()
	return uint64(i)
}

// The simulator counts microseconds, as the settings do.
func duration(ms float64) time.Duration { return settings.Milliseconds(ms) }

func millis(d time.Duration) float64 {
	return float64(d/time.Microsecond) / 1000
}
