// Package logging provides the program's log: log/slog with a rate limit. A line that is repeated within ten seconds is written once and
// its repeats are counted, and no more than a configured number of lines is written per second, so that a failure can't fill the disk.
//
// The keys of fields are the same in all packages: service, upstream, class, attempt, file, key, reason.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// flushInterval is the interval at which Run writes the counts of lines whose window has ended.
const flushInterval = time.Second

// Logger is a rate-limited log. It is safe for concurrent use.
type Logger struct {
	*slog.Logger
	core *core
}

// New returns a Logger that calls w.Write once for each line. Repeats and the number of dropped lines are written only while Run is
// running.
func New(w io.Writer, d Declaration) *Logger {
	c := &core{limiter: newLimiter[pendingLine](d.PerSecond)}
	c.level.Set(d.level())
	options := &slog.HandlerOptions{Level: &c.level}
	c.root = slog.NewTextHandler(w, options)
	if d.Format == "json" {
		c.root = slog.NewJSONHandler(w, options)
	}
	return &Logger{slog.New(&handler{core: c, next: c.root}), c}
}

// Set applies another declaration's level and rate limit. A change of the format takes effect after a restart only.
func (l *Logger) Set(d Declaration) {
	l.core.level.Set(d.level())
	l.core.mu.Lock()
	defer l.core.mu.Unlock()
	l.core.limiter.setRate(d.PerSecond)
}

// Run writes each repeated line, with the number of its repeats, at the end of its window. When ctx ends, Run writes all remaining ones
// and returns.
func (l *Logger) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.core.flush(now, false)
		case <-ctx.Done():
			l.core.flush(time.Now(), true)
			return
		}
	}
}

// core is the state that all handlers of a Logger share.
type core struct {
	level slog.LevelVar
	root  slog.Handler // without fields or groups

	mu      sync.Mutex
	limiter *limiter[pendingLine]
}

// pendingLine is a line and the handler that writes it, with the fields of its logger.
type pendingLine struct {
	next   slog.Handler
	record slog.Record
}

// flush writes the repeated lines and the number of dropped lines that the limiter has counted. It ignores write errors, because there
// is no other place to report them.
func (c *core) flush(now time.Time, all bool) {
	c.mu.Lock()
	repeated, dropped := c.limiter.flush(now, all)
	c.mu.Unlock()
	ctx := context.Background()
	for _, r := range repeated {
		record := r.line.record
		record.AddAttrs(slog.Int("repeated", r.repeats))
		_ = r.line.next.Handle(ctx, record)
	}
	if dropped > 0 {
		record := slog.NewRecord(now, slog.LevelWarn, "lines left out", 0)
		record.AddAttrs(slog.Int("lines", dropped))
		_ = c.root.Handle(ctx, record)
	}
}
