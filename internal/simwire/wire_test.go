package simwire

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
)

func serve(t *testing.T, in string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return strings.Split(strings.TrimRight(out.String(), "\n"), "\n"), err
}

// TestTranscript checks the replies to a recorded sequence of batches.
func TestTranscript(t *testing.T) {
	in, err := os.ReadFile("testdata/smoke.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	got, err := serve(t, string(in))
	if err != nil {
		t.Fatal(err)
	}
	// Endpoint s2 is draining, so the first request goes to s1. The request of an unknown class is rejected. All other events cause
	// no actions except timers.
	want := []string{
		`{"outbox":[]}`,
		`{"outbox":[]}`,
		`{"verb":"Try","I":0,"Id":"00000000000000aa","Upstream":"s1","LimitMs":95}`,
		``,
		`{"verb":"Refuse","I":0,"Id":"00000000000000ab"}`,
		`{"outbox":[]}`,
	}
	if len(got) != len(want) {
		t.Fatalf("got %d replies, want %d", len(got), len(want))
	}
	for i := range want {
		if !strings.Contains(got[i], want[i]) {
			t.Errorf("reply %d is %s\nwant it to contain %s", i, got[i], want[i])
		}
	}
}

// TestBadInputNamesItsLine checks that each invalid input gives an error that names the problem. It also checks that the last line
// may lack a newline character.
func TestBadInputNamesItsLine(t *testing.T) {
	for in, want := range map[string]string{
		"{\"TsMs\":1,\"in\":[]}\nnonsense\n":                                "line 2: not a JSON batch of events",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"Wakeup\",\"I\":4}]}\n":             "line 1: event 0 (Wakeup): instance 4 was never started",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"Teardown\",\"I\":4}]}\n":           "instance 4 was never started",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"PowerOn\",\"I\":0}]}\n":            "the settings (Env) are missing",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"PowerOn\",\"I\":0,\"Env\":{}}]}\n": "setting Classes",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"Order\",\"I\":\"x\"}]}\n":          "line 1: event 0",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"PowerOn\",\"I\":0,\"Env\":{\"Classes\":[{\"Name\":\"a\",\"Semantics\":\"odd\",\"AimMs\":1,\"DeadlineMs\":1}]}}]}\n": "Effect",
	} {
		if _, err := serve(t, in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("input %s: got error %v, want an error that contains %q", in, err, want)
		}
	}
	if _, err := serve(t, "{\"TsMs\":1,\"in\":[]}"); err != nil {
		t.Errorf("a last line without a newline character gave the error %v, want none", err)
	}
}

// TestPanicBecomesBailOut checks that a panic in the balancer becomes a BailOut action with the text of the panic. Actions before
// the panic must not be lost.
func TestPanicBecomesBailOut(t *testing.T) {
	a := &adapter{}
	got := a.decide(nil, 0, 3, balancer.TimerFired{}, []action{{Verb: "Emit"}})
	if len(got) != 2 || got[1].Verb != "BailOut" || got[1].Instance != 3 || got[1].Text == "" {
		t.Errorf("got %+v, want the earlier action and a BailOut of instance 3 with a text", got)
	}
}

// TestEveryActionHasAWireForm checks the verb of each kind of action.
func TestEveryActionHasAWireForm(t *testing.T) {
	for k, want := range map[balancer.ActionKind]string{balancer.Send: "Try", balancer.Cancel: "Retract", balancer.Reject: "Refuse",
		balancer.Fail: "Error", balancer.SetTimer: "Defer", balancer.Subscribe: "Watch", balancer.Log: "Emit"} {
		if got := encodeAction(1, &balancer.Action{Kind: k}).Verb; got != want {
			t.Errorf("action kind %d has the verb %s, want %s", k, got, want)
		}
	}
}

// TestTranslate checks the conversion of each kind of event, and of each completion code.
func TestTranslate(t *testing.T) {
	a := &adapter{lists: map[int][]balancer.Endpoint{3: {{Name: "s"}}}}
	for _, c := range []struct {
		e    event
		want balancer.Event
	}{
		{event{Verb: "Hangup", ID: "x"}, balancer.ClientDisconnected{ID: "x"}},
		{event{Verb: "FirstByte", ID: "x", Attempt: 2}, balancer.FirstByte{ID: "x", Attempt: 2}},
		{event{Verb: "Order", ID: "x", Class: "c", Tenant: "t", DeadlineMs: 1.5, CostHintMs: 2, Flags: 1},
			balancer.Request{ID: "x", Class: "c", Tenant: "t", Deadline: 1500 * time.Microsecond, CostHint: 2 * time.Millisecond}},
		{event{Verb: "Order", ID: "x", Class: "c", Tenant: 0.0, CostHintMs: 2}, balancer.Request{ID: "x", Class: "c"}},
		{event{Verb: "Returned", ID: "x", Attempt: 1, Result: 520, ElapsedMs: 3},
			balancer.Outcome{ID: "x", Attempt: 1, Result: balancer.Reset, Elapsed: 3 * time.Millisecond}},
		{event{Verb: "ProbeDone", Upstream: "s", Result: 200}, balancer.ProbeResult{Upstream: "s"}},
		{event{Verb: "Heard", From: 2, Message: "hi"}, balancer.PeerMessage{From: 2, Message: "hi"}},
		{event{Verb: "Wakeup"}, balancer.TimerFired{}},
	} {
		if got := a.translate(&c.e); !reflect.DeepEqual(got, c.want) {
			t.Errorf("event %s became %+v, want %+v", c.e.Verb, got, c.want)
		}
	}
	update := a.translate(&event{Verb: "Topology", Scope: "FULL", List: 3}).(balancer.EndpointUpdate)
	if update.Kind != balancer.FullUpdate || len(update.Endpoints) != 1 {
		t.Errorf("the full list became %+v, want a full update with one endpoint", update)
	}
	for code, want := range map[int]balancer.Result{200: balancer.OK, 502: balancer.ServerError, 429: balancer.Rejected,
		408: balancer.Timeout, 521: balancer.ConnectFailed, 520: balancer.Reset, 444: balancer.Cancelled, 409: balancer.NotSent,
		599: balancer.ServerError} {
		if got := result(code); got != want {
			t.Errorf("completion code %d became result %d, want %d", code, got, want)
		}
	}
}

const powerOn = `{"verb":"PowerOn","I":0,"Prng":-7,"Odd":[1],"Env":{"Oddity":{"x":1},"Classes":[{"Name":"c",` +
	`"Semantics":"retryable","AimMs":100,"DeadlineMs":1000,"Colour":"red"}]}}`

// TestUnknownIsPassedOver checks that unknown fields, settings, verbs and kinds of list updates are ignored.
func TestUnknownIsPassedOver(t *testing.T) {
	got, err := serve(t, `{"TsMs":1,"Extra":0,"in":[`+powerOn+`,{"verb":"Sing","I":0},{"verb":"Sing","I":9},`+
		`{"verb":"Topology","I":0,"Scope":"SIDEWAYS","Table":3}]}`)
	if err != nil || len(got) != 1 || got[0] != `{"outbox":[]}` {
		t.Errorf("got replies %q and error %v, want one empty reply", got, err)
	}
}

// TestRestartInTheSameBatch checks that an instance that is stopped and started in one batch starts without its old state.
func TestRestartInTheSameBatch(t *testing.T) {
	list := `{"verb":"Inventory","Table":0,"MembersList":[{"StageState":"active","Upstream":"s1"}]},` +
		`{"verb":"Topology","I":0,"Scope":"FULL","Table":0}`
	order := `{"verb":"Order","I":0,"Id":"a","Type":"c","ExpiresMs":900}`
	got, err := serve(t, `{"TsMs":1,"in":[`+powerOn+`,`+list+`,`+order+`]}`+"\n"+
		`{"TsMs":2,"in":[{"verb":"Teardown","I":0},`+powerOn+`,{"verb":"Returned","I":0,"Id":"a","Result":200,"Finished":true},`+
		`{"verb":"Order","I":0,"Id":"b","Type":"c","ExpiresMs":900}]}`)
	if err != nil || len(got) != 2 {
		t.Fatalf("got replies %q and error %v, want two replies", got, err)
	}
	if !strings.Contains(got[0], `"Upstream":"s1"`) || strings.Contains(got[1], `"Try"`) {
		t.Errorf("the first instance sent no attempt, or the second instance sent one with the list of the first: %q", got)
	}
}

// TestUnknownStateIsNotActive guards against requests to an endpoint in an unknown state. Such an endpoint has to count as
// removed.
func TestUnknownStateIsNotActive(t *testing.T) {
	for word, want := range map[string]balancer.EndpointState{"active": balancer.Active, "leaving": balancer.Draining,
		"left": balancer.Removed, "resting": balancer.Removed} {
		if got := decodeEndpoints([]endpointEntry{{State: word}})[0].State; got != want {
			t.Errorf("state %s became %d, want %d", word, got, want)
		}
	}
}
