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

// Declaration is a store of idempotency keys as declared in the configuration file.
type Declaration struct {
	idempotency.Options
	Shared etcdstore.Declaration `toml:"shared" reload:"start" doc:"An etcd through which all sidecars of the service share their keys."`
}

// maxSharedAnswerBytes is the upper bound of MaxAnswerBytes with a shared store, since etcd accepts requests of at most 1.5 MiB.
const maxSharedAnswerBytes = units.MiB

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	d.Options.Check(report)
	if d.Shared.Enabled() && d.File != "" {
		report("file", "can't be combined with [repeats.shared]")
	}
	if d.Shared.Enabled() && d.MaxAnswerBytes > maxSharedAnswerBytes {
		report("answer", "%v exceeds %v, the maximum with a shared store", d.MaxAnswerBytes, maxSharedAnswerBytes)
	}
}

// dedupWindowMarginTicks is the number of scheduler ticks by which a deduplication window is shortened, since a decision and the send that
// follows it take at most one tick each.
const dedupWindowMarginTicks = 2

// DedupWindows returns a function that returns the deduplication window of a class: how long upstreams drop repeated attempts, less the time
// from a decision to the send that follows it.
func DedupWindows(settings *balancer.Settings) func(class string) time.Duration {
	windows := map[string]time.Duration{}
	for _, class := range settings.Classes {
		windows[class.Name] = class.DedupWindow - dedupWindowMarginTicks*settings.Tick
	}
	return func(class string) time.Duration { return windows[class] }
}

// StartLockTimeout is how long a starting process waits for a file that another process has locked. The operating system may hold the lock
// of a killed process for seconds. The timeout leaves a third of the 30 s within which a start must succeed or fail.
const StartLockTimeout = 20 * time.Second

// Open returns the Executor of a service, with the file or the shared store of its declaration. Open sets the corresponding fields of
// options. If another process has locked the file, Open waits up to lockTimeout, or until ctx ends.
func Open(ctx context.Context, d Declaration, service string, settings *balancer.Settings, lockTimeout time.Duration, options Options) (*Executor, error) {
	options.Limits, options.DedupWindow = d.Options, DedupWindows(settings)
	switch {
	case d.File != "":
		wait := boltfile.LockWait{Timeout: lockTimeout, OnWaiting: func(waited time.Duration) {
			if options.Log != nil {
				options.Log.Warn("repeats: another process holds the file: waiting for it", "file", d.File, "since", waited.Round(time.Millisecond).String())
			}
		}}
		records, err := boltstore.Open(ctx, d.File, wait)
		if err != nil {
			return nil, err
		}
		options.Records = records
	case d.Shared.Enabled():
		shared, err := etcdstore.New(etcdstore.Options{
			Declaration: d.Shared,
			Service:     service,
			Retention:   d.Retention.D(),
			MaxPending:  d.MaxKeys,
			Log:         options.Log,
		})
		if err != nil {
			return nil, err
		}
		options.Shared, options.ProceedOnSharedError = shared, d.Shared.OnError == ProceedOnError
	}
	return New(options)
}
