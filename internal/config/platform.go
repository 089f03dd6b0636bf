package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/settings"
)

// Config is what the platform tells one process.
type Config struct {
	Name            string
	Listen          string // where clients connect
	Control         string // where operators call; empty: nowhere
	Discovery       string
	Seed            uint64
	Limits          Limits
	CachedEndpoints *endpoints.List // the list of upstreams as last held; nil: none
	Settings        settings.Settings
	GRPC            *GRPC // of the plug-in; nil: the file has no such part
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

// Load reads the file at path. An error about what stands in it wraps Problems.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse checks everything that a daemon relies on, the module's settings too: what is wrong must show at the start
// and not under traffic. Its error is Problems.
func Parse(text []byte) (*Config, error) { return parse(text, false) }

func parse(text []byte, plugin bool) (*Config, error) {
	var file struct {
		Name, Listen, Discovery string
		Control                 string
		Seed                    json.RawMessage
		Limits                  json.RawMessage
		Known                   json.RawMessage
		Settings                json.RawMessage
		GRPC                    json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, Problems{{Key: "file", Reason: oneLine(err)}}
	}
	var bad Problems
	add := func(key string, err error) {
		if err != nil {
			bad = append(bad, Problem{Key: key, Reason: oneLine(err)})
		}
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Control: file.Control, Discovery: file.Discovery}
	if !plugin {
		add("listen", endpoints.CheckAddress(c.Listen))
		if c.Control != "" {
			add("control", checkControl(c.Control, c.Listen))
		}
		bad = append(bad, c.readLimits(file.Limits)...)
	}
	if !plugin || c.Discovery != "" {
		add("discovery", endpoints.CheckAddress(c.Discovery))
	}
	if len(file.GRPC) > 0 && string(file.GRPC) != "null" {
		c.GRPC = &GRPC{}
		add("grpc", json.Unmarshal(file.GRPC, c.GRPC))
	}
	var seed string
	if json.Unmarshal(file.Seed, &seed) != nil {
		seed = string(file.Seed)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		add("seed", fmt.Errorf("%q is not a 64-bit hexadecimal number", seed))
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		c.CachedEndpoints, err = endpoints.ParseList(file.Known)
		add("known", err)
	}
	if len(file.Settings) == 0 {
		add("settings", errors.New("missing"))
	} else if c.Settings, err = settings.Decode(file.Settings); err != nil {
		add("settings", err)
	} else {
		for _, p := range c.Settings.Problems() {
			bad = append(bad, Problem{Key: "settings." + p.Key, Reason: oneLine(errors.New(p.Reason))})
		}
		if c.Settings.ConnIdleTimeout < 0 {
			bad = append(bad, Problem{Key: "settings.ConnIdle", Reason: "negative"})
		}
	}
	if plugin && c.Discovery == "" && (c.CachedEndpoints == nil || len(c.CachedEndpoints.Endpoints) == 0) {
		add("discovery", errors.New("missing, and no upstream is known"))
	}
	if len(bad) > 0 {
		return nil, bad
	}
	if c.Settings.ConnectTimeout == 0 {
		c.Settings.ConnectTimeout = connectDefault
	}
	if c.Settings.ConnIdleTimeout == 0 {
		c.Settings.ConnIdleTimeout = connIdleShort
	}
	return c, nil
}

// AnyPort tells whether an address leaves its port to the system.
func AnyPort(address string) bool { return strings.HasSuffix(address, ":0") }

// checkControl says what is wrong with the operators' address.
func checkControl(control, listen string) error {
	if control == listen && !AnyPort(listen) {
		return errors.New("clients connect there")
	}
	return endpoints.CheckAddress(control)
}

func (c *Config) readLimits(text json.RawMessage) (bad Problems) {
	if len(text) == 0 || string(text) == "null" {
		return Problems{{Key: "limits", Reason: "missing"}}
	}
	if err := json.Unmarshal(text, &c.Limits); err != nil {
		return Problems{{Key: "limits", Reason: oneLine(err)}}
	}
	add := func(key, format string, args ...any) {
		bad = append(bad, Problem{Key: "limits." + key, Reason: fmt.Sprintf(format, args...)})
	}
	if !(c.Limits.Cores > 0) {
		add("cores", "%v is not above 0", c.Limits.Cores)
	}
	if c.Limits.MemoryMB < minMemoryMB {
		add("memory_mb", "%v is under %d", c.Limits.MemoryMB, minMemoryMB)
	}
	if c.Limits.Sockets < minSockets {
		add("sockets", "%d is under %d", c.Limits.Sockets, minSockets)
	}
	return bad
}
