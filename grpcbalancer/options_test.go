package grpcbalancer_test

import (
	"testing"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/testing/testutil/base"
)

// New rejects invalid options, so that they do not fail later when calls are made.
func TestOptions(t *testing.T) {
	good := grpcbalancer.Options{Settings: settings(), Endpoints: []grpcbalancer.Endpoint{{Name: "a", Address: "127.0.0.1:1"}}}
	for want, change := range map[string]func(*grpcbalancer.Options){
		"Discovery":     func(o *grpcbalancer.Options) { o.Discovery = "nowhere" },
		"none of":       func(o *grpcbalancer.Options) { o.Endpoints = nil },
		"File":          func(o *grpcbalancer.Options) { o.File = "/nowhere" },
		"Endpoints":     func(o *grpcbalancer.Options) { o.Endpoints = []grpcbalancer.Endpoint{{Name: "a", Address: "b"}} },
		"unknown class": func(o *grpcbalancer.Options) { o.Methods = map[string]string{search: "none"} },
		"neither /pack": func(o *grpcbalancer.Options) { o.Methods = map[string]string{"Search": "search"} },
		"Settings":      func(o *grpcbalancer.Options) { o.Settings.MaxAttempts = -1 },
		"Classes":       func(o *grpcbalancer.Options) { o.Settings.Classes = nil },
	} {
		o := good
		change(&o)
		if p, err := grpcbalancer.New(o); err == nil {
			t.Errorf("New accepted invalid options; want an error with the text %s", want)
			p.Close()
		} else if !contains(err.Error(), want) {
			t.Errorf("New: want an error with the text %s, got %v", want, err)
		}
	}
	watching := good
	watching.Discovery = "127.0.0.1:1"
	w, err := grpcbalancer.New(watching)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := w.SetEndpoints(good.Endpoints); err == nil {
		t.Error("SetEndpoints accepted a list although the list comes from Discovery")
	}
	p, err := grpcbalancer.New(good)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.SetEndpoints([]grpcbalancer.Endpoint{{Name: "a", Address: "127.0.0.1:1"}, {Name: "a", Address: "127.0.0.1:2"}}); err == nil {
		t.Error("SetEndpoints accepted a list in which two endpoints have the same name")
	}
}

// New rejects an operator's file with an invalid section [[door]].
func TestInvalidAdmissionOptions(t *testing.T) {
	for name, text := range map[string]string{
		"another service":       "[[door]]\nservice = \"other\"\n",
		"by the peer's address": "[[door]]\nservice = \"service\"\nby = [\"address\"]\n",
		"unknown source":        "[[door]]\nservice = \"service\"\nby = [\"shop\"]\n",
	} {
		o := grpcbalancer.Options{Settings: settings(), Seed: 7, Endpoints: []grpcbalancer.Endpoint{{Name: "a", Address: "127.0.0.1:1"}},
			Files: files(t), File: base.File(t, "o.toml", []byte(text))}
		if p, err := grpcbalancer.New(o); err == nil {
			p.Close()
			t.Errorf("New accepted an invalid section [[door]]: %s", name)
		}
	}
}
