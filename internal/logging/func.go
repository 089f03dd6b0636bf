package logging

import (
	"log/slog"
	"strings"
)

// NewFunc returns a logger that passes each line to write as msg=... key=value, without the time, the level and a final newline. If write
// is nil, it returns Discard.
func NewFunc(write func(line string)) *slog.Logger {
	if write == nil {
		return Discard()
	}
	return slog.New(slog.NewTextHandler(lineWriter(write), &slog.HandlerOptions{ReplaceAttr: dropTimeAndLevel}))
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

func dropTimeAndLevel(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && (attr.Key == slog.TimeKey || attr.Key == slog.LevelKey) {
		return slog.Attr{}
	}
	return attr
}

// lineWriter implements io.Writer by a function that receives one line. It relies on slog handlers, which call Write once per line.
type lineWriter func(line string)

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w(strings.TrimSuffix(string(p), "\n"))
	return len(p), nil
}
