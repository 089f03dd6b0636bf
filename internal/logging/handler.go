package logging

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
)

// handler is a slog.Handler that passes the lines allowed by its core's limiter to another handler. Two lines count as equal if their
// levels, messages, fields and groups are equal.
type handler struct {
	core       *core
	next       slog.Handler
	fieldsHash uint64 // of the fields and groups of the logger
}

// Separators between the parts of a line in the text that is hashed.
const (
	fieldSeparator = "\x00"
	groupSeparator = "\x01"
)

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	digest := xxhash.NewWithSeed(h.fieldsHash)
	_, _ = digest.WriteString(record.Level.String() + fieldSeparator + record.Message)
	record.Attrs(func(attr slog.Attr) bool {
		hashAttr(digest, attr)
		return true
	})
	now := record.Time
	if now.IsZero() { // slog allows records without a time
		now = time.Now()
	}
	h.core.mu.Lock()
	allowed := h.core.limiter.allow(now, digest.Sum64(), pendingLine{h.next, record.Clone()})
	h.core.mu.Unlock()
	if !allowed {
		return nil
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	digest := xxhash.NewWithSeed(h.fieldsHash)
	for _, attr := range attrs {
		hashAttr(digest, attr)
	}
	return &handler{h.core, h.next.WithAttrs(attrs), digest.Sum64()}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	digest := xxhash.NewWithSeed(h.fieldsHash)
	_, _ = digest.WriteString(groupSeparator + name)
	return &handler{h.core, h.next.WithGroup(name), digest.Sum64()}
}

func hashAttr(digest *xxhash.Digest, attr slog.Attr) {
	_, _ = digest.WriteString(fieldSeparator + attr.Key + fieldSeparator + attr.Value.Resolve().String())
}
