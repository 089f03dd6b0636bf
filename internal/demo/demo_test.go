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

// TestDemo checks the demo of the daemon and of the gRPC balancer. Each has to run the complete script, answer at least half of the requests
// in time and leave no goroutine behind. The test does not compare the balancer with random choice, because the result depends on the
// machine.
func TestDemo(t *testing.T) {
	for _, front := range []string{"daemon", "grpc"} {
		var out bytes.Buffer
		summary, err := Run(t.Context(), Options{For: 3 * time.Second, Front: front, Rate: 100, Seed: 1, Out: &out})
		if err != nil {
			t.Fatal(err)
		}
		results := 0
		for _, n := range summary.Ours.Results {
			results += n
		}
		if summary.Ours.Requests < 100 || results != summary.Ours.Requests || summary.Ours.InTime() < 0.5 {
			t.Errorf("front %s: want at least 100 requests, one result for each request, and half of the requests served in time; got %+v", front, summary.Ours)
		}
		replaced := 0
		for name, n := range summary.Ours.Nodes {
			if strings.HasSuffix(name, ".new") {
				replaced++
			}
			if n.Overloaded {
				t.Errorf("front %s: node %s was overloaded", front, name)
			}
		}
		if replaced != fleetSize/2 {
			t.Errorf("front %s: %d nodes were replaced, want half of the nodes of the fleet", front, replaced)
		}
		for _, want := range []string{"all is well", "Summary: " + front, "random choice", "p99"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("front %s: %q is missing in the output:\n%s", front, want, out.String())
			}
		}
	}
}

// TestDemoEndsEarly checks that a demo ends soon after its context, long before its configured duration, and that it draws the live table.
func TestDemoEndsEarly(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	var out bytes.Buffer
	started := time.Now()
	if _, err := Run(ctx, Options{For: time.Minute, Front: "daemon", Rate: 50, Seed: 1, Out: &out, Live: true}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took > 20*time.Second {
		t.Errorf("a demo whose context ends after 600 ms took %v, want at most 20 s", took)
	}
	if !strings.Contains(out.String(), "node-0") || !strings.Contains(out.String(), "\x1b[") {
		t.Errorf("the output contains no live table:\n%s", out.String())
	}
}

// TestOptions checks that options out of range are rejected with an error that names the option.
func TestOptions(t *testing.T) {
	valid := Options{For: 3 * time.Second, Front: "daemon", Rate: 100}
	for want, change := range map[string]func(*Options){
		"for":   func(o *Options) { o.For = time.Millisecond },
		"front": func(o *Options) { o.Front = "smtp" },
		"rate":  func(o *Options) { o.Rate = 1e9 },
	} {
		o := valid
		change(&o)
		if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("invalid option %s: want an error that names the option, got %v", want, err)
		}
	}
}
