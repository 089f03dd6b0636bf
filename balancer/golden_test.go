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
	want := Knowledge{
		Upstreams: map[string]Learnt{
			"n1": {CameUp: 3 * time.Second, Estimate: 0.125, Age: 40 * time.Millisecond, Wrong: 0.25, Errors: 2, Fails: 1, Ejections: 3, Out: 2 * time.Second},
			"n2": {},
		},
		Mean: 0.5, Fleet: 0.25, Mid: 0.0625, Late: 0.75, HintMean: 1.5,
		Classes: map[string]float64{"booking": 0.5, "search": 0.25},
		Kinds:   map[string]float64{"": 1, "large": 2},
		Limit:   0.65, Served: 12.5, Offered: 20,
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "knowledge.json", text)
	var got Knowledge
	if err := json.Unmarshal(golden.Read(t, "knowledge.json", text), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
