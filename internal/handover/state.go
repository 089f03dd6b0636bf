package handover

import (
	"encoding/json"
	"errors"
	"fmt"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Identity identifies a sidecar. A successor must have the same Identity as its predecessor.
type Identity struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
}

// hello is the payload of a Hello message. Processes of releases before read the Identity alone.
type hello struct {
	Identity
	ExchangesKeys bool `json:"keys,omitempty"`
	ExchangesIDs  bool `json:"ids,omitempty"`
}

// State is the state that a process passes to its successor together with the listening socket.
type State struct {
	Identity
	Draining    bool               `json:"draining"`
	Descriptors int                `json:"held"` // number of file descriptors that the predecessor has open
	Services    map[string]Service `json:"services"`
	// ExchangesKeys says that the predecessor answers questions about idempotency keys.
	ExchangesKeys bool `json:"keys,omitempty"`
	// ExchangesIDs says that the predecessor answers questions about the IDs of non-idempotent requests.
	ExchangesIDs bool `json:"ids,omitempty"`
}

// Service is the state of one service.
type Service struct {
	Discovery string             `json:"discovery,omitempty"` // address of the discovery service that List came from; a successor with another address ignores List
	List      *endpoints.List    `json:"list,omitempty"`
	Snapshot  *balancer.Snapshot `json:"learnt,omitempty"`
}

// Encode returns the payload of a Welcome message. If it exceeds MaxPayload, Encode leaves out the balancers' snapshots, and if that is not
// enough also the endpoint lists, which the successor can get again.
func (s State) Encode() ([]byte, error) {
	reductions := []func(*Service){
		func(*Service) {},
		func(service *Service) { service.Snapshot = nil },
		func(service *Service) { service.List = nil },
	}
	for _, reduce := range reductions {
		reduced := make(map[string]Service, len(s.Services))
		for name, service := range s.Services {
			reduce(&service)
			reduced[name] = service
		}
		s.Services = reduced
		payload, err := json.Marshal(s)
		if err != nil || len(payload) <= MaxPayload {
			return payload, err
		}
	}
	return nil, errors.New("the state is larger than a message may be: too many services")
}

// Decode decodes and validates the payload of a Welcome message. It returns an error if the state belongs to another sidecar or is invalid.
func Decode(payload []byte, own Identity) (State, error) {
	var s State
	if err := json.Unmarshal(payload, &s); err != nil {
		return State{}, fmt.Errorf("decoding the state: %w", err)
	}
	if s.Descriptors < 0 {
		return State{}, fmt.Errorf("the number of descriptors in the state is negative: %d", s.Descriptors)
	}
	if s.Identity != own {
		return State{}, fmt.Errorf("the state belongs to another sidecar: %q at %s", s.Name, s.Listen)
	}
	for name, service := range s.Services {
		if err := service.validate(); err != nil {
			return State{}, fmt.Errorf("service %s: %w", name, err)
		}
	}
	return s, nil
}

// validate checks a service's endpoint list and snapshot.
func (s *Service) validate() error {
	if s.List != nil {
		text, err := json.Marshal(s.List)
		if err == nil {
			_, err = endpoints.ParseList(text)
		}
		if err != nil {
			return fmt.Errorf("endpoint list: %w", err)
		}
	}
	if s.Snapshot != nil {
		if err := s.Snapshot.Validate(); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	return nil
}
