package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"orchiddrift/balancer"
	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
)

// checkCmd checks a configuration and lists its problems.
type checkCmd struct {
	File   string `arg:"" type:"path" help:"The configuration to check."`
	Beside string `name:"platform" type:"path" help:"The platform's file that the operator's file is used with."`
}

// Run is called by kong.
func (c checkCmd) Run() error { return check(os.Stdout, config.ThisMachine(), c.File, c.Beside) }

// check writes each mistake of a configuration as one line with its position, key and reason, or a description of a usable configuration.
// platform is the platform's file that an operator's file is used with, or empty. machine determines the defaults of an operator's file that
// is used alone.
func check(w io.Writer, machine config.Machine, path, platform string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	if !config.IsPlatform(text) || platform != "" {
		return checkFile(w, machine, path, text, platform)
	}
	parse := config.Parse
	if config.IsPluginConfig(text) {
		parse = grpcbalancer.CheckConfig
	}
	parsed, err := parse(text)
	if err != nil {
		return printMistakes(w, path, err)
	}
	known := 0
	if parsed.CachedEndpoints != nil {
		known = len(parsed.CachedEndpoints.Endpoints)
	}
	lists := ""
	if parsed.Discovery != "" {
		options := staleness.Options{Pushed: !parsed.Settings.MustSubscribe, MaxPollAge: parsed.Settings.MaxPollAge}
		lists = "; lists are " + options.Describe()
	}
	_, err = fmt.Fprintf(w, "%s can be used: %d classes, %d upstreams known%s\n", path, len(parsed.Settings.Classes), known, lists)
	return err
}

// checkFile does the same as check for an operator's file, whose text is given.
func checkFile(w io.Writer, machine config.Machine, path string, text []byte, platform string) error {
	parse := func(text []byte) (*config.Plan, error) { return config.ParseFileFor(machine, text) }
	if platform != "" {
		loaded, err := config.Load(platform)
		if err != nil {
			return err
		}
		parse = func(text []byte) (*config.Plan, error) { return config.ParseBeside(loaded, text) }
	}
	plan, err := parse(text)
	if err != nil {
		return printMistakes(w, path, err)
	}
	describe(w, path, plan)
	return nil
}

// printMistakes writes the problems that an error consists of, and returns an error with their number. It returns other errors unchanged.
func printMistakes(w io.Writer, path string, err error) error {
	var problems config.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for _, problem := range problems {
		if problem.Line > 0 {
			fmt.Fprintf(w, "%s:", path)
		}
		fmt.Fprintln(w, problem.Error())
	}
	return fmt.Errorf("%s can't be used: %d mistake(s)", path, len(problems))
}

// describe writes a description of a plan: its limits, services and routes.
func describe(w io.Writer, path string, plan *config.Plan) {
	fmt.Fprintf(w, "%s can be used: clients at %s", path, plan.Listen)
	if plan.TLS.Enabled() {
		fmt.Fprintf(w, " by TLS %s (client certificates: %s)", plan.TLS.MinVersion, plan.TLS.Clients)
	}
	fmt.Fprintf(w, "; %v cores, %v MB, %d descriptors\n", plan.Limits.Cores, plan.Limits.MemoryMB, plan.Limits.Sockets)
	for i := range plan.Services {
		describeService(w, &plan.Services[i])
	}
	for _, route := range plan.Table.Routes() {
		class := "class by method"
		if route.Class != nil {
			class = "class " + route.Class.Name
		}
		if endpoint := plan.Endpoints[route.Endpoint]; endpoint != nil {
			class = endpoint.String()
		}
		fmt.Fprintf(w, "route %s to %s, %s\n", route.Pattern, route.Service, class)
	}
}

// idempotencyNames are the values of effect in the operator's file, indexed by balancer.Idempotency.
var idempotencyNames = []string{"safe", "keyed", "unsafe"}

func describeService(w io.Writer, s *config.ServicePlan) {
	fmt.Fprintf(w, "service %s: upstreams from %s", s.Name, endpointSource(s))
	if s.InitialEndpoints != nil {
		fmt.Fprintf(w, " (%d known)", len(s.InitialEndpoints.Endpoints))
	}
	if s.TLS.Enabled() {
		fmt.Fprintf(w, ", by TLS %s", s.TLS.MinVersion)
	}
	for _, registry := range s.Registries {
		fmt.Fprintf(w, ", %s", registry.Describe())
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
	for _, class := range s.Settings.Classes {
		fmt.Fprintf(w, " %s (%s)", class.Name, idempotencyNames[class.Idempotency])
	}
	if s.Unrouted {
		fmt.Fprint(w, "; no route leads to it")
	}
	fmt.Fprintln(w)
	warnOfUnknownGroups(w, s)
}

// warnOfUnknownGroups writes a line for each class whose requests are not sent again after they may have run, because the file lists upstreams
// without the zone or cell that the class's group is.
func warnOfUnknownGroups(w io.Writer, s *config.ServicePlan) {
	if s.InitialEndpoints == nil {
		return
	}
	for _, class := range s.Settings.Classes {
		key, isUnknown := groupKey(&class)
		if isUnknown == nil {
			continue
		}
		unknown := 0
		for _, endpoint := range s.InitialEndpoints.Endpoints {
			if isUnknown(&endpoint) {
				unknown++
			}
		}
		if unknown > 0 {
			fmt.Fprintf(w, "warning: service %s: class %s repeats only within a %s, and %d of %d upstreams have no %q: what may have run there is not sent again\n",
				s.Name, class.Name, key.scope, unknown, len(s.InitialEndpoints.Endpoints), key.setting)
		}
	}
}

// groupName names the deduplication scope of a class, and the key of an upstream that has its group.
type groupName struct{ scope, setting string }

// groupKey returns the name of a class's deduplication scope, and a function that reports whether an upstream's group is unknown. The function
// is nil if requests of the class may be repeated at all upstreams, or at none.
func groupKey(class *balancer.Class) (name groupName, isUnknown func(*endpoints.Endpoint) bool) {
	switch {
	case class.Idempotency != balancer.IdempotentWithKey:
		return groupName{}, nil
	case class.DedupScope == balancer.ScopeZone:
		return groupName{"zone", "zone"}, func(e *endpoints.Endpoint) bool { return e.Zone == "" }
	case class.DedupScope == balancer.ScopeCell:
		return groupName{"cell", "group"}, func(e *endpoints.Endpoint) bool { return e.Cell == balancer.UnknownCell }
	}
	return groupName{}, nil
}

// endpointSource describes the source of a service's own endpoint list.
func endpointSource(s *config.ServicePlan) string {
	switch {
	case s.Discovery != "":
		options := s.Staleness()
		return "discovery at " + s.Discovery + ", " + options.Describe()
	case s.ListFile != "":
		return "the list file " + s.ListFile
	case s.InitialEndpoints == nil:
		return "registries alone"
	}
	return "the file"
}
