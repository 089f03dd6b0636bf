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

// Guards against a flood that is written, a line that is lost without being counted, and lines that are taken for
// another because their fields are not looked at.
func TestRepeatsAreCounted(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		synctest.Test(t, func(t *testing.T) {
			var out bytes.Buffer
			l := New(&out, Declaration{Level: "info", Format: format, PerSecond: 20})
			ctx, stop := context.WithCancel(t.Context())
			var run sync.WaitGroup
			run.Go(func() { l.Run(ctx) })
			of := l.With("service", "seats")
			for range 1000 {
				of.Warn("gone", "upstream", "n1")
				l.Warn("gone", "upstream", "n1") // not the same: no service
			}
			l.Debug("never")
			time.Sleep(11 * time.Second)
			synctest.Wait()
			if n := strings.Count(out.String(), "gone"); n != 4 || strings.Count(out.String(), "999") != 2 {
				t.Errorf("%s: %d lines:\n%s", format, n, &out)
			}
			if format == "json" {
				for line := range strings.Lines(out.String()) {
					if !json.Valid([]byte(line)) {
						t.Errorf("no JSON: %s", line)
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
				t.Errorf("%s: %d lines:\n%s", format, n, text)
			}
		})
	}
}

// Guards against memory that grows with the number of different lines, and against a line that is neither written, nor
// counted as said again, nor counted as left out.
func TestLimiterLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(1, 50).Draw(t, "per second")
		l := newLimiter[int](perSecond)
		now := time.Unix(1, 0)
		start, came, written, told := now, 0, 0, 0
		flush := func(all bool) {
			again, leftOut := l.flush(now, all)
			for _, d := range again {
				told += d.times
			}
			told += leftOut
		}
		for range rapid.IntRange(1, 600).Draw(t, "lines") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			line := rapid.IntRange(0, 2*maxLines).Draw(t, "line")
			came++
			if l.take(now, uint64(line), line) {
				written++
			}
			if rapid.IntRange(0, 9).Draw(t, "flush") == 0 {
				flush(false)
			}
			if len(l.lines) > maxLines {
				t.Fatalf("%d lines are counted", len(l.lines))
			}
		}
		flush(true)
		if written+told != came {
			t.Fatalf("of %d lines %d were written and %d told of", came, written, told)
		}
		if most := float64(perSecond)*(now.Sub(start).Seconds()+1) + 1; float64(written) > most {
			t.Fatalf("%d lines in %v", written, now.Sub(start))
		}
	})
}

// Guards against a nil function that is called, and against fields that a line lacks.
func TestTo(t *testing.T) {
	var got []string
	NewFunc(func(line string) { got = append(got, line) }).With("service", "a").Error("boom", "upstream", "n 1")
	NewFunc(nil).Error("nowhere")
	if want := `msg=boom service=a upstream="n 1"`; len(got) != 1 || got[0] != want {
		t.Errorf("said %q, want %q", got, want)
	}
}
