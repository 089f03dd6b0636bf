package loadgen

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

func cores() int { return runtime.GOMAXPROCS(0) }

// cpuTime is what this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Total is all classes together, under no name.
func (r *Result) Total() ClassResult {
	t := ClassResult{Name: "all", Latency: NewHistogram()}
	for _, c := range r.Classes {
		t.Requests += c.Requests
		t.Attempts += c.Attempts
		t.GivenUp += c.GivenUp
		for k, n := range c.Outcomes {
			t.Outcomes[k] += n
		}
		t.Latency.Merge(c.Latency)
	}
	return t
}

// What a run was limited by, beside the server.
const (
	maxSendDelay    = 2 * time.Millisecond // of this tool's own lateness, for 1 request in 100
	maxCPUShare     = 0.85                 // of its cores
	maxDelayedShare = 0.01                 // of requests that found no free connection
)

// Limits says what a run was limited by that is not the server's speed; none: its figures are the server's.
func (r *Result) Limits() (all []string) {
	t := r.Total()
	used := r.CPU.Seconds() / max(r.Took.Seconds(), 1e-9) / float64(max(r.Cores, 1))
	own := Quantile(r.SendDelay, 99)
	if used > maxCPUShare {
		all = append(all, fmt.Sprintf("this tool used %.0f%% of its %d cores: it, not the server, was the limit", 100*used, r.Cores))
	}
	if own > maxSendDelay {
		all = append(all, fmt.Sprintf("this tool sent 1 request in 100 more than %v late by itself: latencies hold that much of its own", own.Round(100*time.Microsecond)))
	}
	switch busy := float64(r.DelayedByConnections) / float64(max(t.Requests, 1)); {
	case busy > maxDelayedShare && r.Blocked < r.Took/5:
		all = append(all, fmt.Sprintf("%.1f%% of the requests were sent late, mostly with a connection free: this tool can't send at that rate, it was the limit", 100*busy))
	case busy > maxDelayedShare:
		all = append(all, fmt.Sprintf("%.1f%% of the requests found all connections busy and were sent late: the server was too slow for the rate, or there are too few connections",
			100*busy))
	}
	return all
}

var percents = []float64{50, 90, 99, 99.9, 100}

// Print writes tables of a run, and what limited it.
func (r *Result) Print(out io.Writer) error {
	t := r.Total()
	fmt.Fprintf(out, "%s: %d requests in %v, %.0f a second; %d tries\n", r.Target, t.Requests, r.Took.Round(time.Millisecond),
		float64(t.Requests)/max(r.Took.Seconds(), 1e-9), t.Attempts)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "class\tasked\ttries")
	for k := range outcomeCount {
		fmt.Fprint(w, "\t", k)
	}
	fmt.Fprintln(w, "\tp50\tp90\tp99\tp99.9\tmost\t")
	all := r.Classes
	if len(all) > 1 {
		all = append(append([]ClassResult(nil), all...), t)
	}
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%d\t%d", c.Name, c.Requests, c.Attempts)
		for _, n := range c.Outcomes {
			fmt.Fprint(w, "\t", n)
		}
		for _, p := range percents {
			fmt.Fprint(w, "\t", rounded(c.Latency, p))
		}
		fmt.Fprintln(w, "\t")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out, "latency: from when a request was to be sent to its last answer, of those that ended ok")
	if t.GivenUp > 0 {
		fmt.Fprintf(out, "%d requests were given up without another try: too many waited for one\n", t.GivenUp)
	}
	_, err := fmt.Fprintf(out, "this tool: %v of CPU a try, %.2f of %d cores, late by itself p99 %v\n",
		(r.CPU / time.Duration(max(t.Attempts, 1))).Round(100*time.Nanosecond), r.CPU.Seconds()/max(r.Took.Seconds(), 1e-9), r.Cores, rounded(r.SendDelay, 99))
	for _, l := range r.Limits() {
		_, err = fmt.Fprintln(out, "NOTE:", l)
	}
	return err
}

func rounded(h *hdr.Histogram, percent float64) time.Duration {
	d := Quantile(h, percent)
	if d > 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(10 * time.Microsecond)
}

// String is a line of progress.
func (p Progress) String() string {
	line := fmt.Sprintf("%6.0fs  %6d sent  p50 %-9v p99 %-9v %d in flight", p.At.Seconds(), p.Requests, p.P50, p.P99, p.InFlight)
	if p.Waiting > 0 {
		line += fmt.Sprintf(", %d wait for another try", p.Waiting)
	}
	for k := Refused; k < outcomeCount; k++ {
		if p.Outcomes[k] > 0 {
			line += fmt.Sprintf(", %d %s", p.Outcomes[k], k)
		}
	}
	return line
}

// Summary is a Result for machines. Times are in microseconds.
type Summary struct {
	Target               string         `json:"target"`
	Seconds              float64        `json:"seconds"`
	Stopped              bool           `json:"stopped"`
	Classes              []ClassSummary `json:"classes"` // "all" the last
	DelayedByConnections int64          `json:"busy"`
	SendDelayP99         int64          `json:"own_p99_us"`
	CPUSeconds           float64        `json:"cpu_seconds"`
	Cores                int            `json:"cores"`
	Limits               []string       `json:"limits"`
}

// ClassSummary is a class's part of it.
type ClassSummary struct {
	Name     string           `json:"name"`
	Requests int64            `json:"asked"`
	Attempts int64            `json:"tries"`
	GivenUp  int64            `json:"given_up"`
	Outcomes map[string]int64 `json:"ends"`
	Latency  map[string]int64 `json:"latency_us"`
}

// Summary sums it up.
func (r *Result) Summary() Summary {
	s := Summary{Target: r.Target, Seconds: r.Took.Seconds(), Stopped: r.Stopped, DelayedByConnections: r.DelayedByConnections, SendDelayP99: Quantile(r.SendDelay, 99).Microseconds(),
		CPUSeconds: r.CPU.Seconds(), Cores: r.Cores, Limits: r.Limits()}
	for _, c := range append(append([]ClassResult(nil), r.Classes...), r.Total()) {
		of := ClassSummary{Name: c.Name, Requests: c.Requests, Attempts: c.Attempts, GivenUp: c.GivenUp, Outcomes: map[string]int64{}, Latency: map[string]int64{}}
		for k, n := range c.Outcomes {
			of.Outcomes[Outcome(k).String()] = n
		}
		for _, p := range percents {
			of.Latency[fmt.Sprintf("p%v", p)] = Quantile(c.Latency, p).Microseconds()
		}
		s.Classes = append(s.Classes, of)
	}
	return s
}
