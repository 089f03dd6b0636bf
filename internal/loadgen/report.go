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

// cores returns the number of cores that this process may use.
func cores() int { return runtime.GOMAXPROCS(0) }

// cpuTime returns the CPU time that this process has used, or 0 if the kernel does not report it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Total returns the sum of all classes as a class with the name "all".
func (r *Result) Total() ClassResult {
	total := ClassResult{Name: "all", Latency: NewHistogram()}
	for _, c := range r.Classes {
		total.Requests += c.Requests
		total.Attempts += c.Attempts
		total.GivenUp += c.GivenUp
		for k, n := range c.Outcomes {
			total.Outcomes[k] += n
		}
		total.Latency.Merge(c.Latency)
	}
	return total
}

// Thresholds above which a run counts as limited by this process or by its connections.
const (
	maxSendDelay    = 2 * time.Millisecond // limit of the 99th percentile of Result.SendDelay
	maxCPUShare     = 0.85                 // limit of the CPU time of this process, as a fraction of the time of its cores
	maxDelayedShare = 0.01                 // limit of the fraction of requests that were sent late because all connections were busy
)

// Limits describes everything other than the speed of the server that may have limited the run. If it returns nothing, the measured
// latencies are those of the server.
func (r *Result) Limits() (limits []string) {
	total := r.Total()
	cpuShare := r.CPU.Seconds() / max(r.Took.Seconds(), 1e-9) / float64(max(r.Cores, 1))
	sendDelay := Quantile(r.SendDelay, 99)
	if cpuShare > maxCPUShare {
		limits = append(limits, fmt.Sprintf("this tool used %.0f%% of its %d cores: it, not the server, was the limit", 100*cpuShare, r.Cores))
	}
	if sendDelay > maxSendDelay {
		limits = append(limits, fmt.Sprintf("this tool sent 1 request in 100 more than %v late by itself: latencies hold that much of its own", sendDelay.Round(100*time.Microsecond)))
	}
	switch delayedShare := float64(r.DelayedByConnections) / float64(max(total.Requests, 1)); {
	case delayedShare > maxDelayedShare && r.Blocked < r.Took/5:
		limits = append(limits, fmt.Sprintf("%.1f%% of the requests were sent late, mostly with a connection free: this tool can't send at that rate, it was the limit", 100*delayedShare))
	case delayedShare > maxDelayedShare:
		limits = append(limits, fmt.Sprintf("%.1f%% of the requests found all connections busy and were sent late: the server was too slow for the rate, or there are too few connections",
			100*delayedShare))
	}
	return limits
}

// reportedPercentiles are the latency percentiles in tables and summaries.
var reportedPercentiles = []float64{50, 90, 99, 99.9, 100}

// Print writes a table of the classes, the cost of the load generator itself, and a note for each limit of the run.
func (r *Result) Print(out io.Writer) error {
	total := r.Total()
	fmt.Fprintf(out, "%s: %d requests in %v, %.0f a second; %d tries\n", r.Target, total.Requests, r.Took.Round(time.Millisecond),
		float64(total.Requests)/max(r.Took.Seconds(), 1e-9), total.Attempts)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "class\tasked\ttries")
	for outcome := range outcomeCount {
		fmt.Fprint(w, "\t", outcome)
	}
	fmt.Fprintln(w, "\tp50\tp90\tp99\tp99.9\tmost\t")
	classes := r.Classes
	if len(classes) > 1 {
		classes = append(append([]ClassResult(nil), classes...), total)
	}
	for _, c := range classes {
		fmt.Fprintf(w, "%s\t%d\t%d", c.Name, c.Requests, c.Attempts)
		for _, n := range c.Outcomes {
			fmt.Fprint(w, "\t", n)
		}
		for _, percentile := range reportedPercentiles {
			fmt.Fprint(w, "\t", rounded(c.Latency, percentile))
		}
		fmt.Fprintln(w, "\t")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out, "latency: from when a request was to be sent to its last answer, of those that ended ok")
	if total.GivenUp > 0 {
		fmt.Fprintf(out, "%d requests were given up without another try: too many waited for one\n", total.GivenUp)
	}
	_, err := fmt.Fprintf(out, "this tool: %v of CPU a try, %.2f of %d cores, late by itself p99 %v\n",
		(r.CPU / time.Duration(max(total.Attempts, 1))).Round(100*time.Nanosecond), r.CPU.Seconds()/max(r.Took.Seconds(), 1e-9), r.Cores, rounded(r.SendDelay, 99))
	for _, limit := range r.Limits() {
		_, err = fmt.Fprintln(out, "NOTE:", limit)
	}
	return err
}

// rounded returns a percentile of the latencies, rounded for tables.
func rounded(h *hdr.Histogram, percent float64) time.Duration {
	d := Quantile(h, percent)
	if d > 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(10 * time.Microsecond)
}

// String returns the progress as one line of text.
func (p Progress) String() string {
	line := fmt.Sprintf("%6.0fs  %6d sent  p50 %-9v p99 %-9v %d in flight", p.At.Seconds(), p.Requests, p.P50, p.P99, p.InFlight)
	if p.Waiting > 0 {
		line += fmt.Sprintf(", %d waiting for a retry", p.Waiting)
	}
	for outcome := Refused; outcome < outcomeCount; outcome++ {
		if p.Outcomes[outcome] > 0 {
			line += fmt.Sprintf(", %d %s", p.Outcomes[outcome], outcome)
		}
	}
	return line
}

// Summary is a Result in the form of JSON output. JSON names of times end in the unit of the time.
type Summary struct {
	Target               string         `json:"target"`
	Seconds              float64        `json:"seconds"`
	Stopped              bool           `json:"stopped"`
	Classes              []ClassSummary `json:"classes"` // the last class is the sum of all classes and is called "all"
	DelayedByConnections int64          `json:"busy"`
	SendDelayP99         int64          `json:"own_p99_us"`
	CPUSeconds           float64        `json:"cpu_seconds"`
	Cores                int            `json:"cores"`
	Limits               []string       `json:"limits"`
}

// ClassSummary is the part of a Summary for one class.
type ClassSummary struct {
	Name     string           `json:"name"`
	Requests int64            `json:"asked"`
	Attempts int64            `json:"tries"`
	GivenUp  int64            `json:"given_up"`
	Outcomes map[string]int64 `json:"ends"`
	Latency  map[string]int64 `json:"latency_us"`
}

// Summary converts the result to the form of JSON output.
func (r *Result) Summary() Summary {
	summary := Summary{Target: r.Target, Seconds: r.Took.Seconds(), Stopped: r.Stopped, DelayedByConnections: r.DelayedByConnections, SendDelayP99: Quantile(r.SendDelay, 99).Microseconds(),
		CPUSeconds: r.CPU.Seconds(), Cores: r.Cores, Limits: r.Limits()}
	for _, c := range append(append([]ClassResult(nil), r.Classes...), r.Total()) {
		class := ClassSummary{Name: c.Name, Requests: c.Requests, Attempts: c.Attempts, GivenUp: c.GivenUp, Outcomes: map[string]int64{}, Latency: map[string]int64{}}
		for outcome, n := range c.Outcomes {
			class.Outcomes[Outcome(outcome).String()] = n
		}
		for _, percentile := range reportedPercentiles {
			class.Latency[fmt.Sprintf("p%v", percentile)] = Quantile(c.Latency, percentile).Microseconds()
		}
		summary.Classes = append(summary.Classes, class)
	}
	return summary
}
