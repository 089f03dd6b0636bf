package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a demo that does not show what it says: both fronts play the whole script, answer nearly everything in
// time, and leave nothing behind. That they do better than random choice is a matter of the machine, and not asserted.
func TestDemo(t *testing.T) {
	for _, front := range []string{"daemon", "grpc"} {
		var out bytes.Buffer
		sum, err := Run(t.Context(), Options{For: 3 * time.Second, Front: front, Rate: 100, Seed: 1, Out: &out})
		if err != nil {
			t.Fatal(err)
		}
		done := 0
		for _, n := range sum.Ours.By {
			done += n
		}
		if sum.Ours.Asked < 100 || done != sum.Ours.Asked || sum.Ours.InTime() < 0.5 {
			t.Errorf("%s: %+v", front, sum.Ours)
		}
		replaced := 0
		for name, n := range sum.Ours.Nodes {
			if strings.HasSuffix(name, ".new") {
				replaced++
			}
			if n.Overloaded {
				t.Errorf("%s: %s was pushed over", front, name)
			}
		}
		if replaced != size/2 {
			t.Errorf("%s: %d nodes were replaced", front, replaced)
		}
		for _, want := range []string{"all is well", "Summary: " + front, "random choice", "p99"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: no %q in\n%s", front, want, out.String())
			}
		}
	}
}

// Guards against a demo that can't be ended, and against a live table that does not draw.
func TestDemoEndsEarly(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	var out bytes.Buffer
	begun := time.Now()
	if _, err := Run(ctx, Options{For: time.Minute, Front: "daemon", Rate: 50, Seed: 1, Out: &out, Live: true}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took > 20*time.Second {
		t.Errorf("took %v", took)
	}
	if !strings.Contains(out.String(), "node-0") || !strings.Contains(out.String(), "\x1b[") {
		t.Errorf("drawn:\n%s", out.String())
	}
}

func TestOptions(t *testing.T) {
	good := Options{For: 3 * time.Second, Front: "daemon", Rate: 100}
	for want, change := range map[string]func(*Options){
		"for":   func(o *Options) { o.For = time.Millisecond },
		"front": func(o *Options) { o.Front = "smtp" },
		"rate":  func(o *Options) { o.Rate = 1e9 },
	} {
		o := good
		change(&o)
		if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
