package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// List is one message of a discovery: a snapshot of the whole list, or the endpoints that changed.
type List struct {
	Index     *int64     `json:"index"` // version of the list after this message
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one entry of a List.
type Endpoint struct {
	Name        string  `json:"name"` // the same at every sidecar
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	StartedMs   float64 `json:"since_ms"` // when it last started, Unix time in milliseconds; 0: long ago
	// TLSIdentity is the name in its certificate, a DNS name or a URI, where connections are encrypted. Empty: the service's. The
	// platform's lists have none.
	TLSIdentity string `json:"identity,omitempty"`
}

// The values of Endpoint.Status; any other counts as StatusGone.
const (
	StatusReady       = "Ready"
	StatusTerminating = "Terminating" // drains: finishes its requests, and takes no new ones
	StatusGone        = "Gone"        // removed
)

var (
	errNoIndex            = errors.New("no index")
	errIncompleteEndpoint = errors.New("an endpoint without name or status")
)

// ParseList parses a message. It rejects an incomplete one, so that it does not replace a good list.
func ParseList(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
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

// CheckAddress returns an error for an address that is not an IP address and a port. There are no name look-ups, and an empty host would
// listen everywhere.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q: the host is not an IP address", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port is not a number up to 65535", address)
	}
	return nil
}
