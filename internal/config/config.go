// Package config reads what one process is told, and says all that is wrong with it: config.go the platform's JSON file,
// file.go the operator's TOML file, plan.go what a daemon runs by one of them or by both.
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

// GRPC is the part of a file that only the plug-in inside gRPC clients reads.
type GRPC struct {
	Service string            `json:"service"` // names the service in targets
	Methods map[string]string `json:"methods"` // full method name, or /package.Service/*, to class
	Answers []string          `json:"answers"` // status codes that are the application's answer, as NOT_FOUND
	TLS     *GRPCTLS          `json:"tls"`     // nil: credentials are the program's
	File    string            `json:"file"`    // an operator's file, for the registries of the service
}

// GRPCTLS is how the plug-in's connections are encrypted; all but Name are files.
type GRPCTLS struct {
	CA          string `json:"ca"`
	Name        string `json:"name"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
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

// Problem is one mistake in a configuration. Line and Column count from 1; 0: it has no place, as in the platform's file.
type Problem struct {
	Key, Reason  string
	Line, Column int
}

func (p Problem) Error() string {
	if p.Line == 0 {
		return p.Key + ": " + p.Reason
	}
	return fmt.Sprintf("%d:%d: %s: %s", p.Line, p.Column, p.Key, p.Reason)
}

// Problems is all that is wrong with a configuration; as an error it is one line.
type Problems []Problem

func (p Problems) Error() string {
	switch len(p) {
	case 0:
		return "no problem"
	case 1:
		return p[0].Error()
	}
	return fmt.Sprintf("%v (and %d more; \"orchiddrift check\" lists them)", p[0], len(p)-1)
}

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

// ParsePlugin is Parse for the plug-in: it listens nowhere and has its process's limits, and its list may be the
// known one alone.
func ParsePlugin(text []byte) (*Config, error) { return parse(text, true) }

// IsPluginConfig tells whether a file is the plug-in's: it has a grpc part and listens nowhere.
func IsPluginConfig(text []byte) bool {
	var file struct{ Listen, GRPC json.RawMessage }
	return json.Unmarshal(text, &file) == nil && len(file.GRPC) > 0 && len(file.Listen) == 0
}

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

// oneLine is an error's text as one line, whatever stands in the file that it speaks of.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
