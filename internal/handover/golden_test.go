package handover

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/testing/golden"
)

// TestStateGolden checks that the payloads of Welcome and Hello have the same bytes as those of the previous release and that those bytes
// are decoded, because processes of the two releases replace each other.
func TestStateGolden(t *testing.T) {
	index := int64(41)
	own := Identity{Name: "n3", Listen: "127.0.0.1:9000"}
	want := State{Identity: own, Draining: true, Descriptors: 7, Services: map[string]Service{
		"platform": {
			Discovery: "127.0.0.1:8500",
			List: &endpoints.List{Index: &index, Snapshot: true, Endpoints: []endpoints.Endpoint{
				{Name: "u1", Address: "127.0.0.1:81", Zone: "dc1", MachineType: "large", Cell: 2, Status: endpoints.StatusReady, StartedMs: 1500, TLSIdentity: "u1.example"},
				{Name: "u2", Status: endpoints.StatusTerminating},
				{Name: "u3", Status: endpoints.StatusGone},
			}},
			Snapshot: &balancer.Snapshot{MeanLatency: 0.5, Upstreams: map[string]balancer.UpstreamSnapshot{"u1": {Estimate: 0.25, Ejections: 1, EjectedFor: time.Second}}},
		},
		"web": {},
	}}
	text, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "state.json", text)
	got, err := Decode(golden.Read(t, "state.json", text), own)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the state was decoded as %+v, want %+v", got, want)
	}
	hello, err := json.Marshal(own)
	if err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "hello.json", hello)
}

// TestFramesGolden checks that frames, the numbers of message kinds and the socket's path are the same as in the previous release.
func TestFramesGolden(t *testing.T) {
	var out strings.Builder
	for _, message := range []struct {
		name string
		kind MessageKind
	}{{"hello", Hello}, {"welcome", Welcome}, {"ready", Ready}, {"drain", Drain}, {"undrain", Undrain}, {"room", DescriptorsHeld}} {
		frame := Append(nil, message.kind, []byte("payload"))
		fmt.Fprintf(&out, "%s %s\n", message.name, hex.EncodeToString(frame))
		kind, payload, err := Read(strings.NewReader(string(frame)))
		if err != nil || kind != message.kind || string(payload) != "payload" {
			t.Errorf("%s: frame was read as kind %v, payload %q, error %v", message.name, kind, payload, err)
		}
	}
	fmt.Fprintf(&out, "socket %s\n", SocketPath("folder", Identity{Name: "n3", Listen: "127.0.0.1:9000"}))
	golden.Match(t, "frames.txt", []byte(out.String()))
}

// TestKeyMessagesGolden checks the messages about idempotency keys, and that Hello and Welcome announce them: processes of this release and of
// later ones replace each other.
func TestKeyMessagesGolden(t *testing.T) {
	var out strings.Builder
	for _, message := range []struct {
		name string
		kind MessageKind
	}{{"query", KeyQuery}, {"reply", KeyReply}, {"record", KeyRecord}} {
		fmt.Fprintf(&out, "%s %s\n", message.name, hex.EncodeToString(Append(nil, message.kind, []byte("payload"))))
	}
	own := Identity{Name: "n3", Listen: "127.0.0.1:9000"}
	text, err := json.Marshal(hello{Identity: own, ExchangesKeys: true})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "hello %s\n", text)
	state, err := State{Identity: own, ExchangesKeys: true}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "welcome %s\n", state)
	golden.Match(t, "keys.txt", []byte(out.String()))
	var before Identity // as releases before decode Hello
	if err := json.Unmarshal(text, &before); err != nil || before != own {
		t.Errorf("a release before decodes Hello as %+v, error %v, want %+v", before, err, own)
	}
}

// TestIDMessagesGolden checks the messages about the IDs of non-idempotent requests, and how Hello and Welcome announce them.
func TestIDMessagesGolden(t *testing.T) {
	var out strings.Builder
	for _, message := range []struct {
		name string
		kind MessageKind
	}{{"query", IDQuery}, {"reply", IDReply}, {"record", IDRecord}} {
		fmt.Fprintf(&out, "%s %s\n", message.name, hex.EncodeToString(Append(nil, message.kind, []byte("payload"))))
	}
	own := Identity{Name: "n3", Listen: "127.0.0.1:9000"}
	text, err := json.Marshal(hello{Identity: own, ExchangesKeys: true, ExchangesIDs: true})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "hello %s\n", text)
	state, err := State{Identity: own, ExchangesKeys: true, ExchangesIDs: true}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "welcome %s\n", state)
	golden.Match(t, "ids.txt", []byte(out.String()))
}
