package handover

import (
	"encoding/json"
	"errors"
	"fmt"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Identity identifies a sidecar. A successor must have its predecessor's.
type Identity struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
}

// State is what a process passes on to its successor, beside the listening socket.
type State struct {
	Identity
	Draining    bool               `json:"draining"`
	Descriptors int                `json:"held"` // file descriptors that the predecessor holds
	Services    map[string]Service `json:"services"`
}

// Service is the state of one service.
type Service struct {
	Discovery string             `json:"discovery,omitempty"` // the address that List came from; List is of use only with the same one
	List      *endpoints.List    `json:"list,omitempty"`
	Snapshot  *balancer.Snapshot `json:"learnt,omitempty"`
}

// Encode returns the payload of a Welcome. If it would exceed MaxPayload it is encoded without the balancers' snapshots, and then without
// the endpoint lists, which the successor can get again.
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
	return nil, errors.New("the state exceeds a message: too many services")
}

// Decode decodes and validates the payload of a Welcome. It returns an error for the state of another sidecar, and for one that a
// successor could not use.
func Decode(payload []byte, own Identity) (State, error) {
	var s State
	if err := json.Unmarshal(payload, &s); err != nil {
		return State{}, fmt.Errorf("decoding the state: %w", err)
	}
	if s.Descriptors < 0 {
		return State{}, fmt.Errorf("the state holds %d descriptors", s.Descriptors)
	}
	if s.Identity != own {
		return State{}, fmt.Errorf("the state is that of %q at %s", s.Name, s.Listen)
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
