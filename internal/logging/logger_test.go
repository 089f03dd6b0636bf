package logging

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestRepeatsAndRateLimit checks, in both formats, that a repeated line is written once and its repeats are counted, that lines with other
// fields do not count as repeats, and that lines beyond the rate limit are counted.
func TestRepeatsAndRateLimit(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		t.Run(format, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testRepeatsAndRateLimit(t, format) }) })
	}
}

func testRepeatsAndRateLimit(t *testing.T, format string) {
	var out bytes.Buffer
	l := New(&out, Declaration{Level: "info", Format: format, PerSecond: 20})
	ctx, stop := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { l.Run(ctx) })
	ofService := l.With("service", "seats")
	for range 1000 {
		ofService.Warn("gone", "upstream", "n1")
		l.Warn("gone", "upstream", "n1") // not a repeat of the line above: it has no service
	}
	l.Debug("below the level")
	time.Sleep(11 * time.Second)
	synctest.Wait()
	if n := strings.Count(out.String(), "gone"); n != 4 || strings.Count(out.String(), "999") != 2 {
		t.Errorf("%d lines about the upstream, want 4: each of 2 lines once at first and once with its 999 repeats:\n%s", n, &out)
	}
	if format == "json" {
		for line := range strings.Lines(out.String()) {
			if !json.Valid([]byte(line)) {
				t.Errorf("line is not valid JSON: %s", line)
			}
		}
	}
	out.Reset()
	for i := range 100 {
		l.Info(fmt.Sprint("line ", i))
	}
	l.Set(Declaration{Level: "debug", Format: format, PerSecond: 20})
	time.Sleep(time.Second)
	l.Debug("now")
	stop()
	run.Wait()
	text := out.String()
	if n := strings.Count(text, "line "); n != 20 || !strings.Contains(text, "lines left out") || !strings.Contains(text, "80") || !strings.Contains(text, "now") {
		t.Errorf("%d lines written, want 20, a count of the 80 dropped ones, and the debug line after Set:\n%s", n, text)
	}
}

// TestLimiterCountsEveryLine checks that each line is written, counted as a repeat or counted as dropped, within the rate limit and in
// bounded memory.
func TestLimiterCountsEveryLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(1, 50).Draw(t, "per second")
		l := newLimiter[int](perSecond)
		now := time.Unix(1, 0)
		start, lines, written, counted := now, 0, 0, 0
		flush := func(all bool) {
			repeated, dropped := l.flush(now, all)
			for _, r := range repeated {
				counted += r.repeats
			}
			counted += dropped
		}
		for range rapid.IntRange(1, 600).Draw(t, "lines") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			line := rapid.IntRange(0, 2*maxCountedLines).Draw(t, "line")
			lines++
			if l.allow(now, uint64(line), line) {
				written++
			}
			if rapid.IntRange(0, 9).Draw(t, "flush") == 0 {
				flush(false)
			}
			if len(l.counted) > maxCountedLines {
				t.Fatalf("the limiter counts the repeats of %d different lines at a time, want at most maxCountedLines", len(l.counted))
			}
		}
		flush(true)
		if written+counted != lines {
			t.Fatalf("of %d lines, %d were written and %d were counted, want each line to be written or counted", lines, written, counted)
		}
		if limit := float64(perSecond)*(now.Sub(start).Seconds()+1) + 1; float64(written) > limit {
			t.Fatalf("%d lines written in %v, which exceeds the rate limit", written, now.Sub(start))
		}
	})
}

// TestNewFunc checks that the function gets each line with all fields, and that a nil function is not called.
func TestNewFunc(t *testing.T) {
	var got []string
	NewFunc(func(line string) { got = append(got, line) }).With("service", "a").Error("boom", "upstream", "n 1")
	NewFunc(nil).Error("nowhere")
	if want := `msg=boom service=a upstream="n 1"`; len(got) != 1 || got[0] != want {
		t.Errorf("the function given to NewFunc got lines %q, want %q", got, want)
	}
}
