package logging

import (
	"log/slog"
	"strings"
)

// Declaration is the log's part of the operator's file.
type Declaration struct {
	Level     string `toml:"level" default:"info" oneof:"debug|info|warn|error" doc:"The least that is written."`
	Format    string `toml:"format" default:"text" oneof:"text|json" reload:"start" doc:"text: key=value. json: an object a line."`
	PerSecond int    `toml:"per_second" default:"50" doc:"Lines a second at most, on average and at once; the rest is counted."`
}

// Check is tomlfile.Checker's.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.PerSecond < 1 || d.PerSecond > maxPerSecond {
		report("per_second", "%d is not from 1 to %d", d.PerSecond, maxPerSecond)
	}
}

const maxPerSecond = 100_000

func (d *Declaration) level() slog.Level {
	var l slog.Level
	if l.UnmarshalText([]byte(strings.ToUpper(d.Level))) != nil {
		return slog.LevelInfo // a declaration that was not checked
	}
	return l
}
