package task

import (
	"fmt"
	"strings"
	"time"

	"github.com/robfig/cron/v3"

	"orchiddrift/internal/units"
)

// The values of Declaration.Delivery and Declaration.OnMissed.
const (
	atMostOnce  = "at-most-once"
	atLeastOnce = "at-least-once"
	skipMissed  = "skip"
	runLatest   = "latest"
)

// The bounds that Declaration.Check sets.
const (
	maxNameBytes    = 100
	maxAttempts     = 1000
	minTimeout      = time.Millisecond
	marginsPerLease = 4 // a lease duration is at least so many margins
)

// Declaration is a [[task]] of the operator's file.
type Declaration struct {
	Name          string         `toml:"name" reload:"start" sample:"\"nightly\"" doc:"The task's name, the same in every process. Its lease is task/NAME."`
	Schedule      string         `toml:"schedule" reload:"start" sample:"\"30 2 * * *\"" doc:"When it is due: minute, hour, day, month, weekday, or \"@every 90s\", \"@hourly\" and the like; with \"CRON_TZ=Africa/Nairobi \" before it in that zone."`
	Command       []string       `toml:"command" reload:"start" sample:"[\"/usr/local/bin/nightly.sh\"]" doc:"What is run. It finds ORCHIDDRIFT_TASK_DUE and ORCHIDDRIFT_LEASE_TOKEN in its environment."`
	Call          string         `toml:"call" reload:"start" sample:"\"POST /sweep/all\"" doc:"Or a call through this daemon: method and path. It bears the token as X-Lease-Token and the run as Idempotency-Key."`
	Delivery      string         `toml:"promise" default:"at-most-once" reload:"start" doc:"\"at-most-once\": a run whose process was lost is not begun again; \"at-least-once\": it is."`
	MaxAttempts   int            `toml:"tries" default:"5" reload:"start" doc:"With at-least-once a run begins no more than so often."`
	MaxDelay      units.Duration `toml:"late" default:"1m" reload:"start" doc:"A run that could not begin for so long was missed."`
	OnMissed      string         `toml:"missed" default:"skip" reload:"start" doc:"\"skip\": runs that were missed are left out; \"latest\": the latest of them runs."`
	Timeout       units.Duration `toml:"limit" default:"10m" reload:"start" doc:"A run is ended after so long. One that is due meanwhile waits, and is missed after late."`
	Priority      int            `toml:"priority" reload:"start" doc:"Where a process has no room for all, higher ones go first."`
	LeaseDuration units.Duration `toml:"term" default:"10s" reload:"start" doc:"How long the task's lease outlasts a process that nobody hears of."`
	Margin        units.Duration `toml:"margin" default:"1s" reload:"start" doc:"What a command may take to end after SIGTERM; then it gets SIGKILL."`
}

// parser parses schedules as the usual cron does.
var parser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.Name == "" || len(d.Name) > maxNameBytes || strings.ContainsAny(d.Name, "/ \t\r\n") {
		report("name", "%q is no name of at most %d bytes without slashes and spaces", d.Name, maxNameBytes)
	}
	if _, err := parser.Parse(d.Schedule); err != nil {
		report("schedule", "%q: %v", d.Schedule, err)
	}
	if (len(d.Command) > 0) == (d.Call != "") {
		report("command", "exactly one of command and call has to be given")
	}
	if d.Call != "" {
		if method, path, ok := strings.Cut(d.Call, " "); !ok || strings.ToUpper(method) != method || !strings.HasPrefix(path, "/") {
			report("call", "%q is not a method and a path, such as \"POST /sweep/all\"", d.Call)
		}
	}
	if d.Delivery != atMostOnce && d.Delivery != atLeastOnce {
		report("promise", "%q is neither %s nor %s", d.Delivery, atMostOnce, atLeastOnce)
	}
	if d.OnMissed != skipMissed && d.OnMissed != runLatest {
		report("missed", "%q is neither %s nor %s", d.OnMissed, skipMissed, runLatest)
	}
	if d.MaxAttempts < 1 || d.MaxAttempts > maxAttempts {
		report("tries", "%d is not from 1 to %d", d.MaxAttempts, maxAttempts)
	}
	if d.MaxDelay < 0 || d.Timeout.D() < minTimeout {
		report("limit", "late %v, limit %v", d.MaxDelay, d.Timeout)
	}
	if d.Margin <= 0 || d.LeaseDuration < marginsPerLease*d.Margin {
		report("term", "%v is under four times the margin, %v", d.LeaseDuration, d.Margin)
	}
}

// Rules returns the rules of a Declaration that has been checked.
func (d *Declaration) Rules() (Rules, error) {
	schedule, err := parser.Parse(d.Schedule)
	if err != nil {
		return Rules{}, fmt.Errorf("task %s: schedule %q: %w", d.Name, d.Schedule, err)
	}
	return Rules{Schedule: schedule, AtLeastOnce: d.Delivery == atLeastOnce, MaxAttempts: d.MaxAttempts, MaxDelay: d.MaxDelay.D(),
		RunMissed: d.OnMissed == runLatest}, nil
}
