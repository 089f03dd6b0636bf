package logging

import (
	"log/slog"
	"strings"
)

// Declaration is the log in the configuration file.
type Declaration struct {
	Level     string `toml:"level" default:"info" oneof:"debug|info|warn|error" doc:"The least that is written."`
	Format    string `toml:"format" default:"text" oneof:"text|json" reload:"start" doc:"text: key=value. json: an object a line."`
	PerSecond int    `toml:"per_second" default:"50" doc:"Lines a second at most, on average and at once; the rest is counted."`
}

// maxPerSecond is the largest accepted rate limit, in lines per second.
const maxPerSecond = 100_000

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.PerSecond < 1 || d.PerSecond > maxPerSecond {
		report("per_second", "%d is not from 1 to %d", d.PerSecond, maxPerSecond)
	}
}

// level returns the declared level; info if the declaration was not checked and has none.
func (d *Declaration) level() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(strings.ToUpper(d.Level))) != nil {
		return slog.LevelInfo
	}
	return level
}
