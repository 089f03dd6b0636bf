package executor

import (
	"context"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/boltstore"
	"orchiddrift/internal/idempotency/etcdstore"
	"orchiddrift/internal/units"
)

// Declaration is a store of keys in the operator's file.
type Declaration struct {
	idempotency.Options
	Shared etcdstore.Declaration `toml:"shared" reload:"start" doc:"Keys that all sidecars of the service share, in an etcd."`
}

// mostShared bounds an answer in an etcd, whose requests are 1.5 MiB at most.
const mostShared = units.MiB

// Check is tomlfile.Checker's.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	d.Options.Check(report)
	if d.Shared.Enabled() && d.File != "" {
		report("file", "stands in place of [repeats.shared], not beside it")
	}
	if d.Shared.Enabled() && d.MaxAnswerBytes > mostShared {
		report("answer", "%v is over %v, which a shared store takes", d.MaxAnswerBytes, mostShared)
	}
}

// DedupWindows are the times for which the nodes drop repeats of a class, less what a decision takes.
func DedupWindows(set *balancer.Settings) func(class string) time.Duration {
	windows := map[string]time.Duration{}
	for _, c := range set.Classes {
		windows[c.Name] = c.DedupWindow - 2*set.Tick
	}
	return func(class string) time.Duration { return windows[class] }
}

// StartTimeout is how long a process that starts waits for a file that another one holds: for the lock of a killed one, which the system
// may keep for seconds. It leaves a third of the 30 s that a start may take.
const StartTimeout = 20 * time.Second

// Open returns the Keeper of a service that the operator's file declares, with its file or its shared store. What o has of these is
// filled in. A file that another process holds is waited for, until ctx ends.
func Open(ctx context.Context, d Declaration, service string, set *balancer.Settings, patience time.Duration, o Options) (*Executor, error) {
	o.Limits, o.DedupWindow = d.Options, DedupWindows(set)
	switch {
	case d.File != "":
		l, err := boltstore.Open(ctx, d.File, boltfile.LockWait{Timeout: patience, OnWaiting: func(since time.Duration) {
			if o.Log != nil {
				o.Log.Warn("repeats: another process holds the file: waiting for it", "file", d.File, "since", since.Round(time.Millisecond).String())
			}
		}})
		if err != nil {
			return nil, err
		}
		o.Records = l
	case d.Shared.Enabled():
		s, err := etcdstore.New(etcdstore.Options{Declaration: d.Shared, Service: service, Retention: d.Retention.D(), MaxPending: d.MaxKeys, Log: o.Log})
		if err != nil {
			return nil, err
		}
		o.Shared, o.ProceedOnSharedError = s, d.Shared.OnError == ProceedOnError
	}
	return New(o)
}
