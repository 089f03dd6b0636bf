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

// LoadOptions reads Options from a file of the daemon's form: "settings", "seed", "known" and "discovery" mean the
// same, "listen" and "limits" are not needed, and "grpc" holds "service", "methods",
// "answers", "tls" and "file". Its error names the
// file and the first mistake; "orchiddrift check FILE" lists all.
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

// CheckConfig says all that is wrong with a plug-in's configuration; its error is config.Problems.
func CheckConfig(text []byte) (*config.Config, error) {
	_, c, err := parseOptions(text)
	return c, err
}

func parseOptions(text []byte) (Options, *config.Config, error) {
	c, err := config.ParsePlugin(text)
	var bad config.Problems
	if err != nil && !errors.As(err, &bad) {
		return Options{}, nil, err
	}
	if c == nil { // the parts that are there are looked at all the same
		var file struct{ GRPC *config.GRPC }
		_ = json.Unmarshal(text, &file) // what is wrong with it stands in bad
		c = &config.Config{GRPC: file.GRPC}
	}
	if c.GRPC == nil {
		c.GRPC = &config.GRPC{}
	}
	o := Options{Service: c.GRPC.Service, Settings: c.Settings.Settings, Seed: c.Seed, Discovery: c.Discovery,
		Methods: c.GRPC.Methods, File: c.GRPC.File}
	if o.File != "" {
		if _, err := readPluginFile(o); err != nil {
			bad = append(bad, config.Problem{Key: "grpc.file", Reason: err.Error()})
		}
	}
	if t := c.GRPC.TLS; t != nil {
		o.TLS = &TLS{CA: t.CA, Name: t.Name, Certificate: t.Certificate, Key: t.Key}
		if t.CA == "" || (t.Certificate == "") != (t.Key == "") {
			bad = append(bad, config.Problem{Key: "grpc.tls", Reason: "ca is needed, and certificate and key belong together"})
		}
	}
	for _, word := range c.GRPC.Answers {
		var code codes.Code
		quoted, err := json.Marshal(word)
		if err == nil {
			err = code.UnmarshalJSON(quoted)
		}
		switch {
		case err != nil:
			bad = append(bad, config.Problem{Key: "grpc.answers", Reason: fmt.Sprintf("%q is no status code", word)})
		case code == codes.OK || code == codes.Unavailable:
			bad = append(bad, config.Problem{Key: "grpc.answers", Reason: word + " can't be the application's answer"})
		default:
			o.Answers = append(o.Answers, code)
		}
	}
	if len(bad) == 0 {
		set := o.Settings
		if _, err := newMethods(&set, o.Methods, nil); err != nil {
			bad = append(bad, config.Problem{Key: "grpc.methods", Reason: err.Error()})
		}
	}
	if len(bad) > 0 {
		return Options{}, nil, bad
	}
	if c.CachedEndpoints != nil {
		o.Version = *c.CachedEndpoints.Index
		for _, e := range c.CachedEndpoints.Endpoints {
			if e.Status != endpoints.StatusReady {
				continue
			}
			since := time.Time{}
			if e.StartedMs > 0 {
				since = time.UnixMilli(int64(e.StartedMs))
			}
			o.Endpoints = append(o.Endpoints, Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.MachineType,
				Group: e.Cell, Since: since, Identity: e.TLSIdentity})
		}
		slices.SortStableFunc(o.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	}
	return o, c, nil
}
