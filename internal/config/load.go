package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/tomlfile"
)

// Sources names the files that a daemon reads.
type Sources struct {
	Config string // the platform's JSON or the operator's TOML, told apart by what stands in it
	Beside string // the operator's file beside the platform's; empty: none
	// Control is where operators call, where no file says so; empty: nowhere.
	Control string
}

// LoadPlan reads the files. An error about what stands in one wraps Problems.
func LoadPlan(s Sources) (*Plan, error) {
	p, err := loadPlan(s)
	if err != nil || p.Control != "" || s.Control == "" {
		return p, err
	}
	if err := checkControl(s.Control, p.Listen); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	p.Control = s.Control
	return p, nil
}

func loadPlan(s Sources) (*Plan, error) {
	switch {
	case s.Config == "" && s.Beside == "":
		return nil, errors.New(`no configuration: name one with --config, or GW_CONFIG ("orchiddrift config example" prints one)`)
	case s.Config == "":
		s = Sources{Config: s.Beside}
	}
	text, err := os.ReadFile(s.Config)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	in := func(path string, err error) error { return fmt.Errorf("configuration %s: %w", path, err) }
	if !IsPlatform(text) {
		if s.Beside != "" {
			return nil, errors.New("two operator's files: the one beside is for the platform's")
		}
		p, err := ParseFile(text)
		if err != nil {
			return nil, in(s.Config, err)
		}
		return p, nil
	}
	c, err := Parse(text)
	if err != nil {
		return nil, in(s.Config, err)
	}
	if s.Beside == "" {
		return c.Plan(), nil
	}
	if text, err = os.ReadFile(s.Beside); err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	p, err := ParseBeside(c, text)
	if err != nil {
		return nil, in(s.Beside, err)
	}
	return p, nil
}

// IsPlatform tells the platform's JSON from the operator's TOML.
func IsPlatform(text []byte) bool {
	text = bytes.TrimSpace(bytes.TrimPrefix(text, []byte("\xef\xbb\xbf")))
	return len(text) == 0 || text[0] == '{'
}

// ParseFile reads an operator's file. Its error is Problems.
func ParseFile(text []byte) (*Plan, error) { return parseFile(nil, text) }

// LoadFleet is what an operator's file says of the fleet. It need not say how a daemon is run.
func LoadFleet(path string) (*lease.Declaration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	f := &File{}
	if err := problems(tomlfile.Decode(text, f)); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if !f.Fleet.On() {
		return nil, fmt.Errorf("configuration %s: fleet.name: missing", path)
	}
	return &f.Fleet, nil
}

// ParseBeside reads an operator's file that stands beside the platform's: of that one, name, listen, seed, limits and
// time-outs win, and its service, called Platform, comes first, under its own routes.
func ParseBeside(c *Config, text []byte) (*Plan, error) { return parseFile(c, text) }

func parseFile(beside *Config, text []byte) (*Plan, error) {
	f := &File{}
	doc := tomlfile.Decode(text, f)
	var p *Plan
	if !doc.Broken() {
		p = f.plan(beside, doc)
	}
	if err := problems(doc); err != nil {
		return nil, err
	}
	return p, nil
}

// problems is all that is wrong with a text; nil: nothing.
func problems(doc *tomlfile.Document) error {
	mistakes := doc.Problems()
	if len(mistakes) == 0 {
		return nil
	}
	bad := make(Problems, len(mistakes))
	for i, m := range mistakes {
		bad[i] = Problem{Key: m.Key, Reason: m.Reason, Line: m.Line, Column: m.Column}
	}
	return bad
}
