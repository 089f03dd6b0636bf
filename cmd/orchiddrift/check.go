package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery/staleness"
)

// checkCmd says whether a configuration can be used.
type checkCmd struct {
	File   string `arg:"" type:"path" help:"The configuration to look at."`
	Beside string `name:"platform" type:"path" help:"The platform's file that an operator's file stands beside."`
}

func (c checkCmd) Run() error { return check(os.Stdout, c.File, c.Beside) }

// check writes one line a mistake, with its place, key and reason, or what would be on.
func check(w io.Writer, path, beside string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	if !config.IsPlatform(text) || beside != "" {
		return checkFile(w, path, text, beside)
	}
	look := config.Parse
	if config.IsPluginConfig(text) {
		look = grpcbalancer.CheckConfig
	}
	conf, err := look(text)
	if err != nil {
		return mistakes(w, path, err)
	}
	known := 0
	if conf.CachedEndpoints != nil {
		known = len(conf.CachedEndpoints.Endpoints)
	}
	lists := ""
	if conf.Discovery != "" {
		how := staleness.Options{Pushed: !conf.Settings.MustSubscribe, MaxPollAge: conf.Settings.MaxPollAge}
		lists = "; lists are " + how.Describe()
	}
	_, err = fmt.Fprintf(w, "%s can be used: %d classes, %d upstreams known%s\n", path, len(conf.Settings.Classes), known, lists)
	return err
}

// mistakes writes what is wrong with a file.
func mistakes(w io.Writer, path string, err error) error {
	var bad config.Problems
	if !errors.As(err, &bad) {
		return err
	}
	for _, p := range bad {
		if p.Line > 0 {
			fmt.Fprintf(w, "%s:", path)
		}
		fmt.Fprintln(w, p.Error())
	}
	return fmt.Errorf("%s can't be used: %d mistake(s)", path, len(bad))
}

// checkFile is for the operator's file.
func checkFile(w io.Writer, path string, text []byte, beside string) error {
	var p *config.Plan
	var err error
	if beside == "" {
		p, err = config.ParseFile(text)
	} else {
		var c *config.Config
		if c, err = config.Load(beside); err != nil {
			return err
		}
		p, err = config.ParseBeside(c, text)
	}
	if err != nil {
		return mistakes(w, path, err)
	}
	return describe(w, path, p)
}

// describe writes what the plan enables, service by service.
func describe(w io.Writer, path string, p *config.Plan) error {
	fmt.Fprintf(w, "%s can be used: clients at %s", path, p.Listen)
	if p.TLS.Enabled() {
		fmt.Fprintf(w, " by TLS %s (client certificates: %s)", p.TLS.MinVersion, p.TLS.Clients)
	}
	fmt.Fprintf(w, "; %v cores, %v MB, %d descriptors\n", p.Limits.Cores, p.Limits.MemoryMB, p.Limits.Sockets)
	for _, s := range p.Services {
		from := "the file"
		if s.InitialEndpoints == nil {
			from = "registries alone"
		}
		switch {
		case s.Discovery != "":
			how := s.Staleness()
			from = "discovery at " + s.Discovery + ", " + how.Describe()
		case s.ListFile != "":
			from = "the list file " + s.ListFile
		}
		fmt.Fprintf(w, "service %s: upstreams from %s", s.Name, from)
		if s.InitialEndpoints != nil {
			fmt.Fprintf(w, " (%d known)", len(s.InitialEndpoints.Endpoints))
		}
		if s.TLS.Enabled() {
			fmt.Fprintf(w, ", by TLS %s", s.TLS.MinVersion)
		}
		for _, r := range s.Registries {
			fmt.Fprintf(w, ", %s", r.Describe())
		}
		if s.Subset.Enabled {
			fmt.Fprintf(w, ", %d to %d of them its own", s.Subset.MinSize, s.Subset.MaxSize)
		}
		if s.Admission != nil {
			fmt.Fprintf(w, ", a door fair by %s", strings.Join(s.Admission.PrincipalSources, ", then by "))
		}
		if s.Idempotency != nil {
			fmt.Fprintf(w, ", keys known for %v", s.Idempotency.Retention)
		}
		fmt.Fprint(w, "; classes")
		for _, c := range s.Settings.Classes {
			fmt.Fprintf(w, " %s (%s)", c.Name, []string{"safe", "keyed", "unsafe"}[c.Idempotency])
		}
		if s.Unrouted {
			fmt.Fprint(w, "; no route leads to it")
		}
		fmt.Fprintln(w)
	}
	for _, r := range p.Table.Routes() {
		class := "class by method"
		if r.Class != nil {
			class = "class " + r.Class.Name
		}
		if e := p.Endpoints[r.Endpoint]; e != nil {
			class = e.String()
		}
		fmt.Fprintf(w, "route %s to %s, %s\n", r.Pattern, r.Service, class)
	}
	return nil
}
