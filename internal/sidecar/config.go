package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"granitehinge/balancer"
	"granitehinge/internal/wire"
)

// Config is what the platform tells one sidecar.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     *listing // the list of upstreams as last held; nil: none
	Settings  wire.Settings
}

// Limits is what the platform allows the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	minSockets     = 64 // fewer leave no room for clients and upstreams beside the fixed descriptors
	minMemoryMB    = 16
	connectDefault = time.Second      // where the settings name no connect timeout
	connIdleShort  = 10 * time.Second // where they name no idle time
)

// LoadConfig reads the configuration file.
func LoadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// parseConfig checks everything that a sidecar relies on, the module's settings too: what is wrong must
// show at the start and not under traffic.
func parseConfig(text []byte) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        *Limits
		Known                         json.RawMessage
		Settings                      json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery}
	for _, a := range []struct{ key, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := checkAddress(a.address); err != nil {
			return nil, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", file.Seed)
	}
	if file.Limits == nil {
		return nil, errors.New("limits: missing")
	}
	c.Limits = *file.Limits
	switch {
	case !(c.Limits.Cores > 0):
		return nil, fmt.Errorf("limits: cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB < minMemoryMB:
		return nil, fmt.Errorf("limits: memory_mb: %v is under %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Sockets < minSockets:
		return nil, fmt.Errorf("limits: sockets: %d is under %d", c.Limits.Sockets, minSockets)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.Known, err = parseListing(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, err = wire.DecodeSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err = balancer.New(c.Settings.Settings, c.Seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Settings.ConnectTimeout == 0 {
		c.Settings.ConnectTimeout = connectDefault
	}
	if c.Settings.ConnIdle <= 0 {
		c.Settings.ConnIdle = connIdleShort
	}
	return c, nil
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil { // there is no DNS, and an empty host would listen everywhere
		return fmt.Errorf("%q: the host is not an IP address", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port is not a number up to 65535", address)
	}
	return nil
}
