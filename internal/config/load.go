package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/tomlfile"
)

// errNoConfiguration reports that neither the command line nor the environment names a configuration file.
var errNoConfiguration = errors.New(`no configuration: name one with --config, or GW_CONFIG ("orchiddrift config example" prints one)`)

// errTwoOperatorFiles reports that both files named are operator's files.
var errTwoOperatorFiles = errors.New("both files are operator's files; two files are only used together if one of them is the platform's")

// Sources names the files that a daemon reads.
type Sources struct {
	Config  string // the platform's JSON file or the operator's TOML file; distinguished by their content
	Beside  string // the operator's file beside the platform's; empty if there is none
	Control string // address of the control listener if no file has one; empty if there is none
}

// LoadPlan reads the files. An error about their content wraps Problems.
func LoadPlan(sources Sources) (*Plan, error) {
	plan, err := loadFiles(sources)
	if err != nil || plan.Control != "" || sources.Control == "" {
		return plan, err
	}
	if err := checkControl(sources.Control, plan.Listen); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	plan.Control = sources.Control
	return plan, nil
}

// loadFiles does the same as LoadPlan, but ignores the control address in sources.
func loadFiles(sources Sources) (*Plan, error) {
	switch {
	case sources.Config == "" && sources.Beside == "":
		return nil, errNoConfiguration
	case sources.Config == "":
		sources = Sources{Config: sources.Beside}
	}
	text, err := os.ReadFile(sources.Config)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	if IsPlatform(text) {
		return loadPlatform(sources, text)
	}
	if sources.Beside != "" {
		return nil, errTwoOperatorFiles
	}
	plan, err := ParseFile(text)
	return plan, inFile(sources.Config, err)
}

// loadPlatform makes the plan of the platform's file, whose text is given, and of the operator's file beside it.
func loadPlatform(sources Sources, text []byte) (*Plan, error) {
	platform, err := Parse(text)
	if err != nil {
		return nil, inFile(sources.Config, err)
	}
	if sources.Beside == "" {
		return platform.Plan(), nil
	}
	beside, err := os.ReadFile(sources.Beside)
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	plan, err := ParseBeside(platform, beside)
	return plan, inFile(sources.Beside, err)
}

// inFile adds the path of the file that an error is about. It returns nil if there is no error.
func inFile(path string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("configuration %s: %w", path, err)
}

// byteOrderMark may precede the content of a text file.
const byteOrderMark = "\xef\xbb\xbf"

// IsPlatform reports whether a text is the platform's JSON, and not the operator's TOML. An empty text counts as the platform's.
func IsPlatform(text []byte) bool {
	text = bytes.TrimSpace(bytes.TrimPrefix(text, []byte(byteOrderMark)))
	return len(text) == 0 || text[0] == '{'
}

// ParseFile reads an operator's file that is used alone. Its error is of the type Problems.
func ParseFile(text []byte) (*Plan, error) { return ParseFileFor(ThisMachine(), text) }

// ParseFileFor does the same as ParseFile for another machine than the one on which the process runs.
func ParseFileFor(machine Machine, text []byte) (*Plan, error) { return parseFile(nil, machine, text) }

// ParseBeside reads an operator's file that is used beside the platform's. The platform's name, listen address, seed, limits and
// timeouts take precedence. The platform's service, whose name is the constant Platform, comes first, with its own routes. The error is
// of the type Problems.
func ParseBeside(platform *Config, text []byte) (*Plan, error) {
	return parseFile(platform.Plan(), ThisMachine(), text)
}

func parseFile(platform *Plan, machine Machine, text []byte) (*Plan, error) {
	file := &File{}
	document := tomlfile.Decode(text, file)
	var plan *Plan
	if !document.Broken() {
		plan = buildPlan(file, platform, machine, document)
	}
	if err := problemsOf(document); err != nil {
		return nil, err
	}
	return plan, nil
}

// LoadFleet reads the part of an operator's file on the fleet. The file need not configure a daemon.
func LoadFleet(path string) (*lease.Declaration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	file := &File{}
	if err := problemsOf(tomlfile.Decode(text, file)); err != nil {
		return nil, inFile(path, err)
	}
	if !file.Fleet.On() {
		return nil, inFile(path, errNoFleet)
	}
	return &file.Fleet, nil
}

// errNoFleet reports that an operator's file configures no fleet.
var errNoFleet = errors.New("fleet.name: missing")
