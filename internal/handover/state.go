package handover

import (
	"encoding/json"
	"errors"
	"fmt"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Identity names a sidecar: successor and predecessor are of one.
type Identity struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
}

// State is what a process has to pass on.
type State struct {
	Identity
	Draining    bool               `json:"draining"`
	Descriptors int                `json:"held"` // descriptors
	Services    map[string]Service `json:"services"`
}

// Service is a service's part of it. A list counts only where it is still followed at the same address: its index is that one's.
type Service struct {
	Discovery string             `json:"discovery,omitempty"`
	List      *endpoints.List    `json:"list,omitempty"`
	Snapshot  *balancer.Snapshot `json:"learnt,omitempty"`
}

// Encode is a State as a Welcome's payload. Where it is too large, what was learnt stays behind, and then the lists.
func (s State) Encode() ([]byte, error) {
	for _, without := range []func(*Service){func(*Service) {}, func(s *Service) { s.Snapshot = nil }, func(s *Service) { s.List = nil }} {
		part := make(map[string]Service, len(s.Services))
		for name, one := range s.Services {
			without(&one)
			part[name] = one
		}
		s.Services = part
		text, err := json.Marshal(s)
		if err != nil || len(text) <= MaxPayload {
			return text, err
		}
	}
	return nil, errors.New("too many services to pass on")
}

// Decode reads a Welcome's payload, and turns down what is not this sidecar's or can't be used.
func Decode(payload []byte, own Identity) (State, error) {
	var s State
	if err := json.Unmarshal(payload, &s); err != nil {
		return State{}, fmt.Errorf("what was passed on can't be read: %w", err)
	}
	if s.Descriptors < 0 {
		return State{}, fmt.Errorf("%d descriptors are held", s.Descriptors)
	}
	if s.Identity != own {
		return State{}, fmt.Errorf("it is of %q at %s", s.Name, s.Listen)
	}
	for name, one := range s.Services {
		if one.List != nil {
			text, err := json.Marshal(one.List)
			if err == nil {
				_, err = endpoints.ParseList(text)
			}
			if err != nil {
				return State{}, fmt.Errorf("service %s: its list: %w", name, err)
			}
		}
		if one.Snapshot != nil {
			if err := one.Snapshot.Validate(); err != nil {
				return State{}, fmt.Errorf("service %s: what was learnt: %w", name, err)
			}
		}
	}
	return s, nil
}
