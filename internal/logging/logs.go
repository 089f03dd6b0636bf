// Package logging is the program's log: log/slog with a bound. Lines bear the same fields throughout: service, upstream,
// class, attempt, file, key, reason. A line that is said again within ten seconds is written once and counted, and no
// more than a stated number is written a second, so that a failure does not fill the disk that tells of it.
package logging

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Logger is a bounded log. Its Logger and its methods may be used at once from anywhere.
type Logger struct {
	*slog.Logger
	core *core
}

// New is a log that writes to w, a line at a time. Run must be running for lines that were counted to be written.
func New(w io.Writer, d Declaration) *Logger {
	c := &core{limit: newLimiter[said](d.PerSecond)}
	c.level.Set(d.level())
	o := &slog.HandlerOptions{Level: &c.level}
	var out slog.Handler = slog.NewTextHandler(w, o)
	if d.Format == "json" {
		out = slog.NewJSONHandler(w, o)
	}
	c.root = out
	return &Logger{slog.New(&handler{core: c, out: out}), c}
}

// Set takes over a declaration's level and bound. Its format counts from the next start.
func (l *Logger) Set(d Declaration) {
	l.core.level.Set(d.level())
	l.core.mu.Lock()
	defer l.core.mu.Unlock()
	l.core.limit.set(d.PerSecond)
}

// Run writes what was counted, until ctx ends; then all of it at once.
func (l *Logger) Run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			l.core.flush(now, false)
		case <-ctx.Done():
			l.core.flush(time.Now(), true)
			return
		}
	}
}

// core is what all of a log's handlers share.
type core struct {
	level slog.LevelVar
	root  slog.Handler

	mu    sync.Mutex
	limit *limiter[said]
}

// said is a line, and the handler whose fields it bears.
type said struct {
	out    slog.Handler
	record slog.Record
}

func (c *core) flush(now time.Time, all bool) {
	c.mu.Lock()
	again, leftOut := c.limit.flush(now, all)
	c.mu.Unlock()
	ctx := context.Background()
	for _, d := range again {
		r := d.line.record
		r.AddAttrs(slog.Int("repeated", d.times))
		_ = d.line.out.Handle(ctx, r) // there is nowhere to say that the log can't be written
	}
	if leftOut > 0 {
		r := slog.NewRecord(now, slog.LevelWarn, "lines left out", 0)
		r.AddAttrs(slog.Int("lines", leftOut))
		_ = c.root.Handle(ctx, r)
	}
}

// handler is a slog.Handler in front of another.
type handler struct {
	core   *core
	out    slog.Handler
	before uint64 // hash of the fields and groups that every line of it bears
}

func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.out.Enabled(ctx, l) }

func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	d := xxhash.NewWithSeed(h.before)
	_, _ = d.WriteString(r.Level.String() + "\x00" + r.Message)
	r.Attrs(func(a slog.Attr) bool {
		hashAttr(d, a)
		return true
	})
	now := r.Time
	if now.IsZero() { // as slog allows
		now = time.Now()
	}
	h.core.mu.Lock()
	write := h.core.limit.take(now, d.Sum64(), said{h.out, r.Clone()})
	h.core.mu.Unlock()
	if !write {
		return nil
	}
	return h.out.Handle(ctx, r)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	d := xxhash.NewWithSeed(h.before)
	for _, a := range attrs {
		hashAttr(d, a)
	}
	return &handler{h.core, h.out.WithAttrs(attrs), d.Sum64()}
}

func (h *handler) WithGroup(name string) slog.Handler {
	d := xxhash.NewWithSeed(h.before)
	_, _ = d.WriteString("\x01" + name)
	return &handler{h.core, h.out.WithGroup(name), d.Sum64()}
}

func hashAttr(d *xxhash.Digest, a slog.Attr) {
	_, _ = d.WriteString("\x00" + a.Key + "\x00" + a.Value.Resolve().String())
}

// NewFunc is a log whose lines are given to a function, as msg=... key=value, without time and level; nil: they are dropped.
func NewFunc(say func(line string)) *slog.Logger {
	if say == nil {
		return Discard()
	}
	return slog.New(slog.NewTextHandler(lines(say), &slog.HandlerOptions{
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if len(groups) == 0 && (a.Key == slog.TimeKey || a.Key == slog.LevelKey) {
				return slog.Attr{}
			}
			return a
		}}))
}

// lines is an io.Writer; slog writes a line at a time.
type lines func(string)

func (say lines) Write(p []byte) (int, error) {
	say(strings.TrimSuffix(string(p), "\n"))
	return len(p), nil
}

// Discard is a log that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
