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

// Config is the content of the platform's file, which configures one process.
type Config struct {
	Name            string
	Listen          string // address of the clients' listener
	Control         string // address of the operators' control listener; empty if there is none
	Discovery       string
	Seed            uint64
	Limits          Limits
	CachedEndpoints *endpoints.List // the endpoint list as last received; nil if there is none
	Settings        settings.Settings
	GRPC            *GRPC // settings of the plug-in for gRPC clients; nil if there are none
}

// Limits holds the limits that the platform sets on the resources of the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// The minimum limits of a process.
const (
	minSockets  = 64 // for clients and upstreams, in addition to the descriptors that every process needs
	minMemoryMB = 16
)

// Defaults of the platform's settings.
const (
	defaultConnectTimeout  = time.Second
	defaultConnIdleTimeout = 10 * time.Second
)

// errNoPath reports that GW_CONFIG, which names the platform's file, is not set.
var errNoPath = errors.New("GW_CONFIG is not set")

// Load reads the platform's file at path. An error about its content wraps Problems.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, errNoPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(text)
	return c, inFile(path, err)
}

// Parse reads the platform's file and checks everything that a daemon relies on, including the balancer's settings, so that problems are
// found at startup and not under traffic. Its error is of the type Problems.
func Parse(text []byte) (*Config, error) { return parse(text, false) }

// platformFile is the platform's file as JSON. Its parts are decoded one by one, so that a problem in one part does not hide problems in
// others. It is an alias without tags because the JSON decoder quotes the names of types and fields in its errors, which "check" prints.
type platformFile = struct {
	Name, Listen, Discovery string
	Control                 string
	Seed                    json.RawMessage
	Limits                  json.RawMessage
	Known                   json.RawMessage
	Settings                json.RawMessage
	GRPC                    json.RawMessage
}

// platformParser checks the parts of a platform's file and collects their problems.
type platformParser struct {
	file     platformFile
	config   *Config
	problems Problems
}

func parse(text []byte, plugin bool) (*Config, error) {
	p := &platformParser{}
	if err := json.Unmarshal(text, &p.file); err != nil {
		return nil, Problems{{Key: "file", Reason: oneLine(err)}}
	}
	p.config = &Config{Name: p.file.Name, Listen: p.file.Listen, Control: p.file.Control, Discovery: p.file.Discovery}
	if !plugin {
		p.checkListeners()
		p.parseLimits()
	}
	if !plugin || p.config.Discovery != "" {
		p.report("discovery", endpoints.CheckAddress(p.config.Discovery))
	}
	p.parseGRPC()
	p.parseSeed()
	p.parseKnownEndpoints()
	p.parseSettings()
	if plugin && p.config.Discovery == "" && !p.config.hasCachedEndpoints() {
		p.report("discovery", errors.New("missing, and the key \"known\" lists no upstream"))
	}
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	p.config.setDefaults()
	return p.config, nil
}

// report adds a problem at a key if there is an error.
func (p *platformParser) report(key string, err error) {
	if err != nil {
		p.problems = append(p.problems, Problem{Key: key, Reason: oneLine(err)})
	}
}

func (p *platformParser) checkListeners() {
	p.report("listen", endpoints.CheckAddress(p.config.Listen))
	if p.config.Control != "" {
		p.report("control", checkControl(p.config.Control, p.config.Listen))
	}
}

func (p *platformParser) parseLimits() {
	if !given(p.file.Limits) {
		p.report("limits", errMissing)
		return
	}
	limits := &p.config.Limits
	if err := json.Unmarshal(p.file.Limits, limits); err != nil {
		p.report("limits", err)
		return
	}
	if !(limits.Cores > 0) {
		p.report("limits.cores", fmt.Errorf("%v is not greater than 0", limits.Cores))
	}
	if limits.MemoryMB < minMemoryMB {
		p.report("limits.memory_mb", fmt.Errorf("%v is less than the minimum of %d", limits.MemoryMB, minMemoryMB))
	}
	if limits.Sockets < minSockets {
		p.report("limits.sockets", fmt.Errorf("%d is less than the minimum of %d", limits.Sockets, minSockets))
	}
}

func (p *platformParser) parseGRPC() {
	if given(p.file.GRPC) {
		p.config.GRPC = &GRPC{}
		p.report("grpc", json.Unmarshal(p.file.GRPC, p.config.GRPC))
	}
}

// parseSeed reads the seed: a string of hexadecimal digits, or the same digits as a number.
func (p *platformParser) parseSeed() {
	var digits string
	if json.Unmarshal(p.file.Seed, &digits) != nil {
		digits = string(p.file.Seed)
	}
	seed, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		p.report("seed", fmt.Errorf("%q is not a 64-bit hexadecimal number", digits))
	}
	p.config.Seed = seed
}

func (p *platformParser) parseKnownEndpoints() {
	if !given(p.file.Known) {
		return
	}
	list, err := endpoints.ParseList(p.file.Known)
	p.report("known", err)
	p.config.CachedEndpoints = list
}

func (p *platformParser) parseSettings() {
	if len(p.file.Settings) == 0 {
		p.report("settings", errMissing)
		return
	}
	decoded, err := settings.Decode(p.file.Settings)
	if err != nil {
		p.report("settings", err)
		return
	}
	p.config.Settings = decoded
	for _, problem := range decoded.Problems() {
		p.report("settings."+problem.Key, errors.New(problem.Reason))
	}
	if decoded.ConnIdleTimeout < 0 {
		p.report("settings.ConnIdle", errors.New("must not be negative"))
	}
}

// errMissing says that a part of the platform's file is missing.
var errMissing = errors.New("missing")

// given reports whether an optional part of the platform's file is present.
func given(part json.RawMessage) bool { return len(part) > 0 && string(part) != "null" }

func (c *Config) hasCachedEndpoints() bool {
	return c.CachedEndpoints != nil && len(c.CachedEndpoints.Endpoints) > 0
}

func (c *Config) setDefaults() {
	if c.Settings.ConnectTimeout == 0 {
		c.Settings.ConnectTimeout = defaultConnectTimeout
	}
	if c.Settings.ConnIdleTimeout == 0 {
		c.Settings.ConnIdleTimeout = defaultConnIdleTimeout
	}
}

// AnyPort reports whether an address leaves the choice of the port to the system.
func AnyPort(address string) bool { return strings.HasSuffix(address, ":0") }

// checkControl returns what is wrong with the address of the control listener.
func checkControl(control, listen string) error {
	if control == listen && !AnyPort(listen) {
		return errors.New("must differ from listen, the address for clients")
	}
	return endpoints.CheckAddress(control)
}
