package grpcbalancer_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
)

const example = "../deploy/grpc.example.json"

// LoadOptions reads all keys of the example configuration, and New accepts the resulting options.
func TestLoadOptions(t *testing.T) {
	o, err := grpcbalancer.LoadOptions(example)
	if err != nil {
		t.Fatal(err)
	}
	if o.Service != "seats" || o.Discovery != "127.0.0.1:8500" || len(o.Endpoints) != 2 || o.Version != 41 ||
		o.Seed != 0x8c1f30d27a5be964 || len(o.Settings.Classes) != 3 || len(o.Methods) != 3 || len(o.Answers) != 9 {
		t.Errorf("the options do not match the example configuration: %+v", o)
	}
	p, err := grpcbalancer.New(o)
	if err != nil {
		t.Fatal(err)
	}
	p.Close()
}

// CheckConfig reports each mistake with its key. LoadOptions reports it in one line with the path of the file.
func TestCheckConfigReportsMistakes(t *testing.T) {
	good, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string][3]string{
		"discovery": {`"127.0.0.1:8500"`, `"nowhere"`, "discovery"},
		"answers":   {`"NOT_FOUND"`, `"NOT_THERE"`, "grpc.answers"},
		"available": {`"NOT_FOUND"`, `"UNAVAILABLE"`, "grpc.answers"},
		"class":     {`"/booking.Seats/*": "seat-search"`, `"/booking.Seats/*": "seats"`, "grpc.methods"},
		"method":    {`"/booking.Seats/*"`, `"Seats"`, "grpc.methods"},
		"settings":  {`"SendCap": 5`, `"SendCap": -5`, "settings.MaxAttempts"},
		"grpc":      {`"service": "seats"`, `"service": 7`, "grpc"},
		"JSON":      {`"discovery"`, `discovery`, "file"},
	} {
		text := strings.Replace(string(good), c[0], c[1], 1)
		if text == string(good) {
			t.Fatalf("%s: the replacement did not change the configuration", name)
		}
		_, err := grpcbalancer.CheckConfig([]byte(text))
		var bad config.Problems
		if !errors.As(err, &bad) || !strings.Contains(bad[0].Error(), c[2]) {
			t.Errorf("%s: CheckConfig did not report the mistake with its key: %v", name, err)
		}
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := grpcbalancer.LoadOptions(path); err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: LoadOptions did not report the mistake in one line with the path: %v", name, err)
		}
	}
	if _, err := grpcbalancer.LoadOptions(filepath.Join(t.TempDir(), "missing")); err == nil {
		t.Error("LoadOptions accepted a missing file")
	}
}
