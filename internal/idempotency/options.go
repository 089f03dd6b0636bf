package idempotency

import (
	"time"

	"orchiddrift/internal/units"
)

// Options are a Store's parameters and their keys in the configuration file.
type Options struct {
	Service        string         `toml:"service" doc:"Name of the service whose keyed requests the store handles; platform for the service of the platform's file."`
	Retention      units.Duration `toml:"keep" default:"10m" doc:"How long a key is stored after its last event. A client must not send the key again later than that."`
	MaxKeys        int            `toml:"entries" default:"100000" doc:"Maximum number of stored keys. Requests with new keys are rejected beyond it."`
	MaxBytes       units.Size     `toml:"bytes" default:"16MiB" doc:"Maximum memory for keys and stored answers. Requests with new keys are rejected beyond it."`
	TenantFraction float64        `toml:"tenant_part" default:"0.5" doc:"Fraction of entries and bytes that one tenant's keys may take."`
	MaxAnswerBytes units.Size     `toml:"answer" default:"16KiB" doc:"A larger answer is not stored; repeated requests are only told that the first one was answered."`
	MaxRunning     int            `toml:"running" default:"256" doc:"Maximum number of keyed requests that run at once, including those whose clients have disconnected."`
	File           string         `toml:"file" reload:"start" sample:"\"/var/lib/orchiddrift/payments.db\"" doc:"A file, on a persistent disk, that preserves keys across restarts: a keyed request is sent only after its record is synced. Absent: a new process knows no keys."`
	DiskError      string         `toml:"disk_error" default:"refuse" oneof:"refuse|go on" doc:"How keyed requests are handled while the file can't be written: rejected, or sent without a record."`
	MaxWaiting     int            `toml:"waiting" default:"16" doc:"Maximum number of repeated requests that wait for the answer of one key."`
}

// The ranges that Options.Check accepts.
const (
	minRetention       = time.Second
	maxRetention       = 30 * 24 * time.Hour
	maxKeysLimit       = 1 << 24 // keys
	maxConcurrentLimit = 1 << 16 // requests that run at the same time, or that wait for one key
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
		report("bytes", "%v is too small to hold a key", o.MaxBytes)
	}
	if !(o.TenantFraction > 0 && o.TenantFraction <= 1) {
		report("tenant_part", "%v is not above 0 and at most 1", o.TenantFraction)
	}
}
