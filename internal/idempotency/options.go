package idempotency

import (
	"time"

	"orchiddrift/internal/units"
)

// Options are a Store's parameters and its part of the configuration file.
type Options struct {
	Service        string         `toml:"service" doc:"Whose keyed requests: a service's name, or \"platform\" beside the platform's file."`
	Retention      units.Duration `toml:"keep" default:"10m" doc:"How long a key is known after its last event. A client must not send it again later."`
	MaxKeys        int            `toml:"entries" default:"100000" doc:"Keys known at once, at most. New ones are refused beyond."`
	MaxBytes       units.Size     `toml:"bytes" default:"16MiB" doc:"What keys and kept answers may take, at most. New ones are refused beyond."`
	TenantFraction float64        `toml:"tenant_part" default:"0.5" doc:"The part of both that one tenant's keys may take."`
	MaxAnswerBytes units.Size     `toml:"answer" default:"16KiB" doc:"An answer that is larger is not kept: its repeats are told that it was answered."`
	MaxRunning     int            `toml:"running" default:"256" doc:"Keyed requests that run at once, at most, whether or not their clients are still there."`
	File           string         `toml:"file" reload:"start" sample:"\"/var/lib/orchiddrift/payments.db\"" doc:"Where keys last longer than the process, on a disk that does: a keyed request is sent once its record is synced. Absent: a new process knows no keys."`
	DiskError      string         `toml:"disk_error" default:"refuse" oneof:"refuse|go on" doc:"What becomes of keyed requests while the file can't be written."`
	MaxWaiting     int            `toml:"waiting" default:"16" doc:"Repeats of one key that wait for its answer, at most."`
}

// The ranges that Options.Check accepts.
const (
	minRetention       = time.Second
	maxRetention       = 30 * 24 * time.Hour
	maxKeysLimit       = 1 << 24 // keys
	maxConcurrentLimit = 1 << 16 // requests that run at once, and requests that wait for one key
)

// Default returns the options that apply where the configuration file sets none.
func Default() Options {
	return Options{
		Retention:      units.Duration(10 * time.Minute),
		MaxKeys:        100_000,
		MaxBytes:       16 * units.MiB,
		TenantFraction: 0.5,
		MaxAnswerBytes: 16 * units.KiB,
		MaxRunning:     256,
		MaxWaiting:     16,
		DiskError:      "refuse",
	}
}

// Check implements tomlfile.Checker: it reports each value that is out of range, with its key in the configuration file.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.Service == "" {
		report("service", "missing")
	}
	if o.Retention.D() < minRetention || o.Retention.D() > maxRetention {
		report("keep", "%v is not from 1s to 720h", o.Retention)
	}
	for _, limit := range []struct {
		key        string
		value, max int
	}{
		{"entries", o.MaxKeys, maxKeysLimit},
		{"running", o.MaxRunning, maxConcurrentLimit},
		{"waiting", o.MaxWaiting, maxConcurrentLimit},
	} {
		if limit.value < 1 || limit.value > limit.max {
			report(limit.key, "%d is not from 1 to %d", limit.value, limit.max)
		}
	}
	if o.MaxBytes < entryOverheadBytes || o.MaxAnswerBytes < 0 {
		report("bytes", "%v holds no key", o.MaxBytes)
	}
	if !(o.TenantFraction > 0 && o.TenantFraction <= 1) {
		report("tenant_part", "%v is not a part, above 0", o.TenantFraction)
	}
}
