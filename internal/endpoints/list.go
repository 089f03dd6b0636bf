package endpoints

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"orchiddrift/balancer"
)

// List is one message of a discovery service: a snapshot of the endpoint list, or only the endpoints that changed.
type List struct {
	Index     *int64     `json:"index"` // version of the endpoint list after this message
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one entry of a List.
type Endpoint struct {
	Name        string  `json:"name"` // identifies the upstream and is the same in every sidecar
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Cell        int     `json:"group"` // balancer.UnknownCell if the list does not have it
	Status      string  `json:"status"`
	StartedMs   float64 `json:"since_ms"` // when the endpoint last started, Unix time in milliseconds; 0 counts as long ago
	// TLSIdentity is the DNS name or URI that the endpoint's certificate must contain. If it is empty, the certificate must contain the
	// service's name. Lists of the platform's discovery service do not set it.
	TLSIdentity string `json:"identity,omitempty"`
}

// The values of Endpoint.Status; any other value counts as StatusGone.
const (
	StatusReady       = "Ready"
	StatusTerminating = "Terminating" // draining: completes its requests and accepts no new ones
	StatusGone        = "Gone"        // removed
)

var (
	errNoIndex            = errors.New("endpoint list has no index")
	errIncompleteEndpoint = errors.New("endpoint list has an entry without name or status")
)

// ParseList parses a message of a discovery service. It rejects an incomplete message, which would otherwise replace a valid list.
func ParseList(text []byte) (*List, error) {
	l := &List{}
	if err := l.UnmarshalJSON(text); err != nil {
		return nil, err
	}
	if l.Index == nil {
		return nil, errNoIndex
	}
	for _, e := range l.Endpoints {
		if e.Name == "" || e.Status == "" {
			return nil, errIncompleteEndpoint
		}
		if e.Status == StatusReady {
			if err := CheckAddress(e.Address); err != nil {
				return nil, fmt.Errorf("endpoint %s: address: %w", e.Name, err)
			}
		}
	}
	return l, nil
}

// CellOfGroup returns the cell of a group that an operator or a caller has configured, where 0 stands for no group.
func CellOfGroup(group int) int {
	if group == 0 {
		return balancer.UnknownCell
	}
	return group
}

// GroupOfCell is the inverse of CellOfGroup. Cell 0, which no configured group has, becomes unknown.
func GroupOfCell(cell int) int {
	if cell == balancer.UnknownCell {
		return 0
	}
	return cell
}

// CheckAddress returns an error unless address is an IP address and a port. Host names are not resolved, and an empty host is rejected
// because listening on it would accept connections on all interfaces.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q: the host is not an IP address", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port is not a number from 0 to 65535", address)
	}
	return nil
}
