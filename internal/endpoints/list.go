package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// List is one message of discovery: the whole list, or what changed.
type List struct {
	Index     *int64     `json:"index"` // version of the list after this message
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one entry of a Listing.
type Endpoint struct {
	Name        string  `json:"name"` // the same at every sidecar
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	StartedMs   float64 `json:"since_ms"` // when it last started, Unix time in milliseconds; 0: long ago
	// Identity is the name that its certificate has to bear, a DNS name or a URI, where connections are encrypted.
	// Empty: the service's. The platform's lists hold none.
	TLSIdentity string `json:"identity,omitempty"`
}

// What Status may be; anything else counts as StatusGone.
const (
	StatusReady       = "Ready"
	StatusTerminating = "Terminating" // finishes what it has, wants nothing new
	StatusGone        = "Gone"
)

// ParseList turns down what is not whole, so that half a message never replaces a good list.
func ParseList(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, err
	}
	if l.Index == nil {
		return nil, errors.New("no index")
	}
	for _, e := range l.Endpoints {
		if e.Name == "" || e.Status == "" {
			return nil, errors.New("an endpoint without name or status")
		}
		if e.Status == StatusReady {
			if err := CheckAddress(e.Address); err != nil {
				return nil, fmt.Errorf("endpoint %s: address: %w", e.Name, err)
			}
		}
	}
	return l, nil
}

// CheckAddress says what is wrong with an address: it is an IP address and a port. There is no DNS, and an empty
// host would listen everywhere.
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
