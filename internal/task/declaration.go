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

// Limits that Declaration.Check enforces.
const (
	maxNameBytes       = 100
	maxAttempts        = 1000
	minTimeout         = time.Millisecond
	minMarginsPerLease = 4 // lowest ratio of the lease duration to the margin
)

// Declaration is a [[task]] section of the operator's configuration file.
type Declaration struct {
	Name          string         `toml:"name" reload:"start" sample:"\"nightly\"" doc:"The task's name, the same in every process. Its lease is task/NAME."`
	Schedule      string         `toml:"schedule" reload:"start" sample:"\"30 2 * * *\"" doc:"When runs are due: minute, hour, day, month and weekday as in cron, or a descriptor such as @hourly or @every 90s. A prefix such as CRON_TZ=Africa/Nairobi, followed by a space, sets the time zone."`
	Command       []string       `toml:"command" reload:"start" sample:"[\"/usr/local/bin/nightly.sh\"]" doc:"The command that a run executes. Its environment contains ORCHIDDRIFT_TASK_DUE and ORCHIDDRIFT_LEASE_TOKEN."`
	Call          string         `toml:"call" reload:"start" sample:"\"POST /sweep/all\"" doc:"Instead of command: a call through this daemon, given as method and path. It carries the lease token in X-Lease-Token and identifies the run in Idempotency-Key."`
	Delivery      string         `toml:"promise" default:"at-most-once" reload:"start" doc:"With at-most-once a run whose process was lost is not started again; with at-least-once it is."`
	MaxAttempts   int            `toml:"tries" default:"5" reload:"start" doc:"Maximum number of starts of one run with at-least-once."`
	MaxDelay      units.Duration `toml:"late" default:"1m" reload:"start" doc:"A run that has not started this long after its due time is missed."`
	OnMissed      string         `toml:"missed" default:"skip" reload:"start" doc:"With skip, missed runs are left out. With latest, the latest missed run is started."`
	Timeout       units.Duration `toml:"limit" default:"10m" reload:"start" doc:"A run is stopped after this long. A run that becomes due meanwhile waits, and is missed after the time set by late."`
	Priority      int            `toml:"priority" reload:"start" doc:"If a process has no capacity for all due tasks, those of higher priority start first."`
	LeaseDuration units.Duration `toml:"term" default:"10s" reload:"start" doc:"How long the task's lease remains held after its process stops responding."`
	Margin        units.Duration `toml:"margin" default:"1s" reload:"start" doc:"How long a command may take to end after SIGTERM before it gets SIGKILL."`
}

// parser parses schedules of cron's five fields, and descriptors such as @hourly.
var parser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.Name == "" || len(d.Name) > maxNameBytes || strings.ContainsAny(d.Name, "/ \t\r\n") {
		report("name", "%q is not a name of 1 to %d bytes without slashes and whitespace", d.Name, maxNameBytes)
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
		report("limit", "late (%v) must not be negative, and limit (%v) must be at least 1ms", d.MaxDelay, d.Timeout)
	}
	if d.Margin <= 0 || d.LeaseDuration < minMarginsPerLease*d.Margin {
		report("term", "%v is under four times the margin, %v", d.LeaseDuration, d.Margin)
	}
}

// Rules returns the Rules of the task. The Declaration must have passed Check.
func (d *Declaration) Rules() (Rules, error) {
	schedule, err := parser.Parse(d.Schedule)
	if err != nil {
		return Rules{}, fmt.Errorf("task %s: schedule %q: %w", d.Name, d.Schedule, err)
	}
	return Rules{Schedule: schedule, AtLeastOnce: d.Delivery == atLeastOnce, MaxAttempts: d.MaxAttempts, MaxDelay: d.MaxDelay.D(),
		RunMissed: d.OnMissed == runLatest}, nil
}
