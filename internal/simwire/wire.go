// Package wire translates between the simulator's wire and package balancer. It makes no decisions.
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

// timerCookie marks the one timer that an instance keeps.
const timerCookie = "w"

type batch struct {
	TsMs float64
	In   []json.RawMessage `json:"in"`
}

// event holds the fields of every verb that is read here.
type event struct {
	Verb        string `json:"verb"`
	I           int
	Prng        json.Number
	Env         json.RawMessage
	Table       int
	MembersList []entry
	Scope       string
	ID          string `json:"Id"`
	Type        string
	Billing     any
	ExpiresMs   float64
	PredictedMs float64
	Bits        int
	Hop         int
	Upstream    string
	Result      int
	ElapsedMs   float64
	Finished    bool
	By          int
	Contents    string
}

type entry struct {
	RackZone   string
	Cell       int
	StageState string
	Upstream   string
	Machine    string
	CameUpMs   float64
}

// action is any action on the wire.
type action struct {
	Verb       string  `json:"verb"`
	I          int     `json:"I"`
	ID         string  `json:"Id,omitempty"`
	Upstream   string  `json:"Upstream,omitempty"`
	LimitMs    float64 `json:"LimitMs,omitempty"`
	Hop        *int    `json:"Hop,omitempty"`
	RetryInMs  float64 `json:"RetryInMs,omitempty"`
	MomentMs   float64 `json:"MomentMs,omitempty"`
	Cookie     string  `json:"Cookie,omitempty"`
	Enable     bool    `json:"Enable,omitempty"`
	ReasonText string  `json:"ReasonText,omitempty"`
}

// hintValid is the bit of Bits that says PredictedMs may be used.
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
	now := duration(b.TsMs)
	for n, raw := range b.In {
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
		h.tables[e.Table] = members(e.MembersList)
		return reply, nil
	case "PowerOn":
		if len(e.Env) == 0 {
			return nil, fmt.Errorf("no Env")
		}
		set, err := settings.Decode(e.Env)
		if err != nil {
			return nil, err
		}
		b, err := balancer.New(set.Settings, seed(e.Prng))
		if err != nil {
			return nil, err
		}
		h.instances[e.I] = b
		return reply, nil
	}
	translated := h.translate(e)
	if translated == nil && e.Verb != "Teardown" {
		return reply, nil // a verb that this adapter does not know
	}
	b := h.instances[e.I]
	if b == nil {
		return nil, fmt.Errorf("instance %d was never started", e.I)
	}
	if e.Verb == "Teardown" {
		delete(h.instances, e.I)
		return reply, nil
	}
	return h.decide(b, now, e.I, translated, reply), nil
}

// decide runs one decision; a panic in it becomes a BailOut with its text.
func (h *host) decide(b *balancer.Balancer, now time.Duration, inst int, e balancer.Event, reply []action) (out []action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(reply, action{Verb: "BailOut", I: inst, ReasonText: fmt.Sprint(p)})
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
		return balancer.EndpointUpdate{Kind: kind, Endpoints: h.tables[e.Table]}
	case "Order":
		r := balancer.Request{ID: e.ID, Class: e.Type, Deadline: duration(e.ExpiresMs)}
		r.Tenant, _ = e.Billing.(string)
		if e.Bits&hintValid != 0 {
			r.CostHint = duration(e.PredictedMs)
		}
		return r
	case "FirstByte":
		return balancer.FirstByte{ID: e.ID, Attempt: e.Hop}
	case "Returned":
		return balancer.Outcome{ID: e.ID, Attempt: e.Hop, Result: result(e.Result),
			Elapsed: duration(e.ElapsedMs), Final: e.Finished}
	case "Hangup":
		return balancer.ClientDisconnected{ID: e.ID}
	case "Wakeup":
		return balancer.TimerFired{}
	case "ProbeDone":
		return balancer.ProbeResult{Upstream: e.Upstream, Result: result(e.Result), Elapsed: duration(e.ElapsedMs)}
	case "Heard":
		return balancer.PeerMessage{From: e.By, Message: e.Contents}
	}
	return nil
}

func encode(inst int, a *balancer.Action) action {
	switch a.Kind {
	case balancer.Send:
		return action{Verb: "Try", I: inst, ID: a.ID, Upstream: a.Upstream, LimitMs: millis(a.Timeout)}
	case balancer.Cancel:
		hop := a.Attempt
		return action{Verb: "Retract", I: inst, ID: a.ID, Hop: &hop}
	case balancer.Reject:
		return action{Verb: "Refuse", I: inst, ID: a.ID, RetryInMs: millis(a.RetryAfter)}
	case balancer.Fail:
		return action{Verb: "Error", I: inst, ID: a.ID}
	case balancer.SetTimer:
		return action{Verb: "Defer", I: inst, MomentMs: millis(a.FireAt), Cookie: timerCookie}
	case balancer.Subscribe:
		return action{Verb: "Watch", I: inst, Enable: true}
	case balancer.Log:
		return action{Verb: "Emit", I: inst, ReasonText: a.Text}
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
		state, known := states[e.StageState]
		if !known {
			state = balancer.Removed // gone, or in a state that promises nothing
		}
		list[i] = balancer.Endpoint{Name: e.Upstream, Zone: e.RackZone, Cell: e.Cell, MachineType: e.Machine,
			State: state, StartedAt: duration(e.CameUpMs)}
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
