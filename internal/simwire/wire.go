// Package simwire translates between the simulator's protocol, which consists of JSON lines, and package balancer. It makes no
// decisions.
//
// Each line from the simulator is a batch of events for numbered instances of the balancer. Each reply line holds the
// resulting actions.
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

// timerID identifies the only timer of an instance.
const timerID = "w"

// batch is one line from the simulator: events that happen at the same time.
type batch struct {
	TimeMs float64           `json:"TsMs"`
	Events []json.RawMessage `json:"in"`
}

// event is an event with any verb that the adapter knows. Each verb uses only some of the fields.
type event struct {
	Verb       string          `json:"verb"`
	Instance   int             `json:"I"`
	Seed       json.Number     `json:"Prng"`
	Settings   json.RawMessage `json:"Env"`
	List       int             `json:"Table"`
	Endpoints  []endpointEntry `json:"MembersList"`
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

// endpointEntry is an entry of an endpoint list.
type endpointEntry struct {
	Zone        string  `json:"RackZone"`
	Cell        int     `json:"Cell"`
	State       string  `json:"StageState"`
	Upstream    string  `json:"Upstream"`
	MachineType string  `json:"Machine"`
	StartedAtMs float64 `json:"CameUpMs"`
}

// action is the JSON form of an action in a reply. It has the fields of all verbs; each verb uses only some of them.
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

// hintValid is the bit of event.Flags that marks CostHintMs as valid.
const hintValid = 1

// adapter holds the balancer instances and the endpoint lists. The simulator assigns the numbers by which both are identified.
type adapter struct {
	instances map[int]*balancer.Balancer
	lists     map[int][]balancer.Endpoint
	actions   []balancer.Action
}

// Serve reads batches from in and writes a reply to each batch to out, until in ends. If it cannot handle a line, it returns
// an error that contains the number of the line.
func Serve(in io.Reader, out io.Writer) error {
	reader, writer := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	a := &adapter{instances: map[int]*balancer.Balancer{}, lists: map[int][]balancer.Endpoint{}}
	for line := 1; ; line++ {
		text, err := readLine(reader)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: reading the batch: %w", line, err)
		}
		reply, err := a.batch(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if err := json.NewEncoder(writer).Encode(map[string][]action{"outbox": reply}); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
	}
}

// readLine returns the next line. The last line may lack a newline character, so readLine returns io.EOF only if no bytes are
// left.
func readLine(r *bufio.Reader) ([]byte, error) {
	text, err := r.ReadBytes('\n')
	if err == io.EOF && len(text) > 0 {
		return text, nil
	}
	return text, err
}

// batch applies the events of one line in order and returns the actions.
func (a *adapter) batch(text []byte) ([]action, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("not a JSON batch of events: %w", err)
	}
	reply := []action{}
	now := duration(b.TimeMs)
	for n, raw := range b.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("event %d: %w", n, err)
		}
		var err error
		if reply, err = a.event(now, &e, reply); err != nil {
			return nil, fmt.Errorf("event %d (%s): %w", n, e.Verb, err)
		}
	}
	return reply, nil
}

// event applies one event and appends the resulting actions to reply.
func (a *adapter) event(now time.Duration, e *event, reply []action) ([]action, error) {
	switch e.Verb {
	case "Inventory":
		a.lists[e.List] = decodeEndpoints(e.Endpoints)
		return reply, nil
	case "PowerOn":
		if len(e.Settings) == 0 {
			return nil, fmt.Errorf("the settings (Env) are missing")
		}
		decoded, err := settings.Decode(e.Settings)
		if err != nil {
			return nil, err
		}
		instance, err := balancer.New(decoded.Settings, seed(e.Seed))
		if err != nil {
			return nil, err
		}
		a.instances[e.Instance] = instance
		return reply, nil
	}
	translated := a.translate(e)
	if translated == nil && e.Verb != "Teardown" {
		return reply, nil // unknown verbs are ignored
	}
	instance := a.instances[e.Instance]
	if instance == nil {
		return nil, fmt.Errorf("instance %d was never started", e.Instance)
	}
	if e.Verb == "Teardown" {
		delete(a.instances, e.Instance)
		return reply, nil
	}
	return a.decide(instance, now, e.Instance, translated, reply), nil
}

// decide passes one event to a balancer and appends the resulting actions to reply. If the balancer panics, it appends a
// BailOut action with the text of the panic instead.
func (a *adapter) decide(b *balancer.Balancer, now time.Duration, instance int, e balancer.Event, reply []action) (out []action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(reply, action{Verb: "BailOut", Instance: instance, Text: fmt.Sprint(p)})
		}
	}()
	a.actions = b.Handle(now, e, a.actions[:0])
	for i := range a.actions {
		reply = append(reply, encodeAction(instance, &a.actions[i]))
	}
	return reply
}

// translate converts an event to an event of the balancer. It returns nil for unknown verbs and for unknown kinds of list
// updates.
func (a *adapter) translate(e *event) balancer.Event {
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
		return balancer.EndpointUpdate{Kind: kind, Endpoints: a.lists[e.List]}
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

// encodeAction converts an action of the balancer for the simulator.
func encodeAction(instance int, a *balancer.Action) action {
	switch a.Kind {
	case balancer.Send:
		return action{Verb: "Try", Instance: instance, ID: a.ID, Upstream: a.Upstream, TimeoutMs: millis(a.Timeout)}
	case balancer.Cancel:
		hop := a.Attempt
		return action{Verb: "Retract", Instance: instance, ID: a.ID, Attempt: &hop}
	case balancer.Reject:
		return action{Verb: "Refuse", Instance: instance, ID: a.ID, RetryAfterMs: millis(a.RetryAfter)}
	case balancer.Fail:
		return action{Verb: "Error", Instance: instance, ID: a.ID}
	case balancer.SetTimer:
		return action{Verb: "Defer", Instance: instance, FireAtMs: millis(a.FireAt), TimerID: timerID}
	case balancer.Subscribe:
		return action{Verb: "Watch", Instance: instance, Enable: true}
	case balancer.Log:
		return action{Verb: "Emit", Instance: instance, Text: a.Text}
	}
	panic(fmt.Sprintf("no wire form for action kind %d", a.Kind))
}

// result converts a completion code of the simulator. An unknown code counts as a server error, because the attempt may have
// been executed.
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

// decodeEndpoints converts the entries of an endpoint list.
func decodeEndpoints(entries []endpointEntry) []balancer.Endpoint {
	states := map[string]balancer.EndpointState{"active": balancer.Active, "leaving": balancer.Draining}
	list := make([]balancer.Endpoint, len(entries))
	for i, e := range entries {
		state, known := states[e.State]
		if !known {
			state = balancer.Removed // the endpoint is no longer in the list, or its state is unknown
		}
		list[i] = balancer.Endpoint{Name: e.Upstream, Zone: e.Zone, Cell: e.Cell, MachineType: e.MachineType,
			State: state, StartedAt: duration(e.StartedAtMs)}
	}
	return list
}

// seed converts any signed or unsigned 64-bit integer to a seed of the balancer.
func seed(n json.Number) uint64 {
	var u uint64
	if _, err := fmt.Sscan(n.String(), &u); err == nil {
		return u
	}
	i, _ := n.Int64()
	return uint64(i)
}

// duration converts milliseconds of the simulator to a duration, rounded to microseconds like the settings.
func duration(ms float64) time.Duration { return settings.Milliseconds(ms) }

// millis converts a duration to milliseconds of the simulator, with a precision of microseconds.
func millis(d time.Duration) float64 {
	return float64(d/time.Microsecond) / 1000
}
