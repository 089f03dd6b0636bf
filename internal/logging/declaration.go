package logging

import (
	"log/slog"
	"strings"
)

// Declaration is the log section of the configuration file.
type Declaration struct {
	Level     string `toml:"level" default:"info" oneof:"debug|info|warn|error" doc:"The lowest level of lines that are written."`
	Format    string `toml:"format" default:"text" oneof:"text|json" reload:"start" doc:"text: key=value pairs. json: one object per line."`
	PerSecond int    `toml:"per_second" default:"50" doc:"Maximum number of lines per second, on average and in a burst. Further lines are only counted."`
}

// maxPerSecond is the largest accepted rate limit, in lines per second.
const maxPerSecond = 100_000

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.PerSecond < 1 || d.PerSecond > maxPerSecond {
		report("per_second", "%d is not from 1 to %d", d.PerSecond, maxPerSecond)
	}
}

// level returns the declared level. It returns info if the level is not valid, which is possible if the declaration was not checked.
func (d *Declaration) level() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(strings.ToUpper(d.Level))) != nil {
		return slog.LevelInfo
	}
	return level
}
