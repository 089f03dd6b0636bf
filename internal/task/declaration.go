package task

import (
	"strings"
	"time"

	"github.com/robfig/cron/v3"

	"orchiddrift/internal/units"
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

// parser reads schedules as the common cron does.
var parser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Check is tomlfile.Checker's.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.Name == "" || len(d.Name) > 100 || strings.ContainsAny(d.Name, "/ \t\r\n") {
		report("name", "%q is no name of at most 100 bytes without slashes and spaces", d.Name)
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
	if d.Delivery != "at-most-once" && d.Delivery != "at-least-once" {
		report("promise", "%q is neither at-most-once nor at-least-once", d.Delivery)
	}
	if d.OnMissed != "skip" && d.OnMissed != "latest" {
		report("missed", "%q is neither skip nor latest", d.OnMissed)
	}
	if d.MaxAttempts < 1 || d.MaxAttempts > 1000 {
		report("tries", "%d is not from 1 to 1000", d.MaxAttempts)
	}
	if d.MaxDelay < 0 || d.Timeout.D() < time.Millisecond {
		report("limit", "late %v, limit %v", d.MaxDelay, d.Timeout)
	}
	if d.Margin <= 0 || d.LeaseDuration < 4*d.Margin {
		report("term", "%v is under four times the margin, %v", d.LeaseDuration, d.Margin)
	}
}

// Rules are what Decide goes by; the Declaration has been checked.
func (d *Declaration) Rules() (Rules, error) {
	s, err := parser.Parse(d.Schedule)
	return Rules{Schedule: s, AtLeastOnce: d.Delivery == "at-least-once", MaxAttempts: d.MaxAttempts, MaxDelay: d.MaxDelay.D(), RunMissed: d.OnMissed == "latest"}, err
}
