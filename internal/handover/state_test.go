package handover

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

func testState() State {
	index := int64(41)
	return State{Identity: Identity{"n1", "127.0.0.1:9000"}, Draining: true, Services: map[string]Service{"platform": {Discovery: "127.0.0.1:8500",
		List:     &endpoints.List{Index: &index, Snapshot: true, Endpoints: []endpoints.Endpoint{{Name: "s", Address: "127.0.0.1:9", Status: "Ready"}}},
		Snapshot: &balancer.Snapshot{MeanLatency: 0.1, Upstreams: map[string]balancer.UpstreamSnapshot{"s": {Estimate: 0.2, Ejections: 1}}}}}}
}

func mustEncode(t *testing.T, s State) []byte {
	t.Helper()
	payload, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// TestDecode checks that decoding restores a state, and that the state of another sidecar and a state with an invalid part are rejected.
func TestDecode(t *testing.T) {
	s := testState()
	payload := mustEncode(t, s)
	got, err := Decode(payload, s.Identity)
	again, _ := json.Marshal(got)
	if err != nil || string(again) != string(payload) {
		t.Errorf("the state was decoded and encoded again as %s, error %v", again, err)
	}
	if _, err := Decode(payload, Identity{"n2", "127.0.0.1:9000"}); err == nil {
		t.Error("Decode accepted the state of another sidecar")
	}
	for _, c := range []struct {
		name    string
		corrupt func(*Service)
	}{
		{"endpoint list without index", func(s *Service) { s.List.Index = nil }},
		{"invalid address", func(s *Service) { s.List.Endpoints[0].Address = "nowhere" }},
		{"invalid snapshot", func(s *Service) { s.Snapshot.MeanLatency = -1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testState()
			service := s.Services["platform"]
			c.corrupt(&service)
			s.Services["platform"] = service
			if _, err := Decode(mustEncode(t, s), s.Identity); err == nil {
				t.Error("Decode accepted the invalid state")
			}
		})
	}
}

// TestLargeStateIsReduced guards against upgrades that fail because the state exceeds MaxPayload: it is encoded without the parts that a
// successor does not need.
func TestLargeStateIsReduced(t *testing.T) {
	s := testState()
	service := s.Services["platform"]
	for i := range 20000 {
		service.Snapshot.Upstreams[fmt.Sprintf("upstream-%d", i)] = balancer.UpstreamSnapshot{Estimate: 0.123456789, Age: time.Duration(i)}
	}
	payload, err := s.Encode()
	if err != nil || len(payload) > MaxPayload {
		t.Fatalf("the payload has %d bytes, error %v; want at most MaxPayload", len(payload), err)
	}
	got, err := Decode(payload, s.Identity)
	if err != nil || got.Services["platform"].List == nil || got.Services["platform"].Snapshot != nil || !got.Draining {
		t.Errorf("decoded state %+v, error %v; want the endpoint list without the snapshot", got, err)
	}
}
