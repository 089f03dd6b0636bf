package balancer

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/testing/golden"
)

// What a process passes on to its successor is read and written byte for byte as the release before did.
func TestKnowledgeGolden(t *testing.T) {
	want := Snapshot{
		Upstreams: map[string]UpstreamSnapshot{
			"n1": {Uptime: 3 * time.Second, Estimate: 0.125, Age: 40 * time.Millisecond, ErrorRatio: 0.25, ConsecutiveErrors: 2, ConsecutiveFailures: 1, Ejections: 3, EjectedFor: 2 * time.Second},
			"n2": {},
		},
		MeanLatency: 0.5, MeanNormalizedLatency: 0.25, MedianLatency: 0.0625, LateLatency: 0.75, MeanCostHint: 1.5,
		Classes:       map[string]float64{"booking": 0.5, "search": 0.25},
		MachineTypes:  map[string]float64{"": 1, "large": 2},
		QueueingLimit: 0.65, ServedRate: 12.5, OfferedRate: 20,
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "knowledge.json", text)
	var got Snapshot
	if err := json.Unmarshal(golden.Read(t, "knowledge.json", text), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
