package grpcbalancer

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"google.golang.org/grpc/codes"

	"orchiddrift/internal/config"
	"orchiddrift/internal/endpoints"
)

// LoadOptions reads Options from a configuration file in the daemon's format. The keys "settings", "seed", "known" and "discovery" have the
// same meaning as for the daemon, "listen" and "limits" are not needed, and "grpc" holds "service", "methods", "answers", "tls" and "file".
// The error names the file and the first mistake; "orchiddrift check FILE" lists all mistakes.
func LoadOptions(path string) (Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("orchidgrpc: reading the configuration: %w", err)
	}
	o, _, err := parseOptions(text)
	if err != nil {
		return Options{}, fmt.Errorf("orchidgrpc: configuration %s: %w", path, err)
	}
	return o, nil
}

// CheckConfig reports all mistakes in a Plugin's configuration: its error is of type config.Problems.
func CheckConfig(text []byte) (*config.Config, error) {
	_, c, err := parseOptions(text)
	return c, err
}

// parseOptions translates a configuration to Options. If the configuration has mistakes, the error is of type config.Problems.
func parseOptions(text []byte) (Options, *config.Config, error) {
	c, err := config.ParsePlugin(text)
	var problems config.Problems
	if err != nil && !errors.As(err, &problems) {
		return Options{}, nil, err
	}
	if c == nil { // the file was rejected; the section "grpc" is checked if it can be read
		c = parseSections(text)
	}
	if c.GRPC == nil {
		c.GRPC = &config.GRPC{}
	}
	o, found := optionsOf(c)
	problems = append(problems, found...)
	if len(problems) == 0 {
		settings := o.Settings
		if _, err := newMethods(&settings, o.Methods, nil); err != nil {
			problems = append(problems, config.Problem{Key: "grpc.methods", Reason: err.Error()})
		}
	}
	if len(problems) > 0 {
		return Options{}, nil, problems
	}
	if c.CachedEndpoints != nil {
		o.Version = *c.CachedEndpoints.Index
		o.Endpoints = readyEndpoints(c.CachedEndpoints.Endpoints)
	}
	return o, c, nil
}

// parseSections reads the section "grpc" of a configuration that config.ParsePlugin has rejected.
func parseSections(text []byte) *config.Config {
	var file struct{ GRPC *config.GRPC }
	_ = json.Unmarshal(text, &file) // config.ParsePlugin has reported the error
	return &config.Config{GRPC: file.GRPC}
}

// optionsOf translates a parsed configuration to Options, and checks its section "grpc".
func optionsOf(c *config.Config) (Options, config.Problems) {
	o := Options{
		Service:   c.GRPC.Service,
		Settings:  c.Settings.Settings,
		Seed:      c.Seed,
		Discovery: c.Discovery,
		Methods:   c.GRPC.Methods,
		File:      c.GRPC.File,
	}
	var problems config.Problems
	if o.File != "" {
		if _, err := readPluginFile(o); err != nil {
			problems = append(problems, config.Problem{Key: "grpc.file", Reason: err.Error()})
		}
	}
	if t := c.GRPC.TLS; t != nil {
		o.TLS = &TLS{CA: t.CA, Name: t.Name, Certificate: t.Certificate, Key: t.Key}
		if t.CA == "" || (t.Certificate == "") != (t.Key == "") {
			problems = append(problems, config.Problem{Key: "grpc.tls", Reason: "ca is required, and certificate and key must be set together"})
		}
	}
	for _, name := range c.GRPC.Answers {
		code, problem := parseApplicationCode(name)
		if problem != "" {
			problems = append(problems, config.Problem{Key: "grpc.answers", Reason: problem})
			continue
		}
		o.Answers = append(o.Answers, code)
	}
	return o, problems
}

// parseApplicationCode parses the name of a status code that is to count as the application's answer. problem says why the code is
// unusable, and is empty if it is usable.
func parseApplicationCode(name string) (code codes.Code, problem string) {
	quoted, err := json.Marshal(name)
	if err == nil {
		err = code.UnmarshalJSON(quoted)
	}
	if err != nil {
		return 0, fmt.Sprintf("%q is not a gRPC status code", name)
	}
	if code == codes.OK || code == codes.Unavailable {
		return 0, name + " cannot count as the application's answer"
	}
	return code, ""
}

// readyEndpoints returns the ready endpoints of a cached list, sorted by name.
func readyEndpoints(list []endpoints.Endpoint) []Endpoint {
	var ready []Endpoint
	for _, e := range list {
		if e.Status != endpoints.StatusReady {
			continue
		}
		since := time.Time{}
		if e.StartedMs > 0 {
			since = time.UnixMilli(int64(e.StartedMs))
		}
		ready = append(ready, Endpoint{
			Name:     e.Name,
			Address:  e.Address,
			Zone:     e.Zone,
			Type:     e.MachineType,
			Group:    endpoints.GroupOfCell(e.Cell),
			Since:    since,
			Identity: e.TLSIdentity,
		})
	}
	slices.SortStableFunc(ready, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return ready
}
