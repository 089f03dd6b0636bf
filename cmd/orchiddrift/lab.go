package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"orchiddrift/internal/simulation/experiment"
)

type labCmd struct {
	Run     labRunCmd     `cmd:"" help:"Simulate the policies of an experiment with each of its seeds, in virtual time."`
	Report  labReportCmd  `cmd:"" help:"Print the results of runs."`
	Compare labCompareCmd `cmd:"" help:"Print the differences between two files of results that exceed chance, and fail if a metric is worse than allowed."`
}

type labRunCmd struct {
	File  string        `arg:"" type:"existingfile" help:"The file of an experiment, such as those in lab/."`
	Out   string        `help:"The file for the results, with a JSON line per run. Runs that it already has are not repeated. Absent: the experiment's name with .jsonl."`
	Cores int           `help:"Number of parallel runs. Absent: the number of cores."`
	Limit time.Duration `default:"10m" help:"The time limit for one run."`
}

// Run is called by kong.
func (c *labRunCmd) Run() error {
	e, err := experiment.LoadFile(c.File)
	if err != nil {
		return err
	}
	path := c.Out
	if path == "" {
		path = strings.TrimSuffix(filepath.Base(c.File), filepath.Ext(c.File)) + ".jsonl"
	}
	cores := c.Cores
	if cores <= 0 {
		cores = runtime.GOMAXPROCS(0)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runner := experiment.Runner{Workers: cores, Timeout: c.Limit, Version: version, OnResult: func(done, all int, l experiment.RunResult) {
		outcome := l.Error
		if l.Result != nil {
			outcome = fmt.Sprintf("%d of %d served, p99 %v", l.Result.OperationsServed, l.Result.Operations, l.Result.P99.Round(100*time.Microsecond))
		}
		fmt.Fprintf(os.Stderr, "%d/%d  %s, seed %d: %s\n", done, all, l.Policy, l.Seed, outcome)
	}}
	if err := runner.Run(ctx, e, path); err != nil {
		if errors.Is(err, context.Canceled) {
			return fmt.Errorf("interrupted; the same command continues with the runs that %s does not have", path)
		}
		return err
	}
	return printReport(path)
}

// printReport prints the table of a file of results. It returns an error if runs failed or violated an invariant.
func printReport(path string) error {
	head, lines, err := experiment.Read(path)
	if err != nil {
		return err
	}
	if err := experiment.Report(os.Stdout, head, lines); err != nil {
		return err
	}
	if t := experiment.Failures(lines); len(t) > 0 {
		return fmt.Errorf("%d runs failed or violated an invariant", len(t))
	}
	return nil
}

type labReportCmd struct {
	Results []string `arg:"" type:"existingfile" help:"Files with results."`
}

// Run is called by kong.
func (c *labReportCmd) Run() error {
	var all error
	for _, path := range c.Results {
		all = errors.Join(all, printReport(path))
	}
	return all
}

type labCompareCmd struct {
	Before string  `arg:"" type:"existingfile" help:"The results to compare with."`
	After  string  `arg:"" type:"existingfile" help:"The new results, of the same experiment."`
	Worse  float64 `default:"0.05" help:"The fraction by which a metric of the balancer may be worse."`
}

// Run is called by kong.
func (c *labCompareCmd) Run() error {
	a, before, err := experiment.Read(c.Before)
	if err != nil {
		return err
	}
	b, after, err := experiment.Read(c.After)
	if err != nil {
		return err
	}
	if a.Hash != b.Hash {
		return fmt.Errorf("%s and %s have results of different experiments", c.Before, c.After)
	}
	tooMuchWorse := 0
	differences := experiment.Compare(before, after, a.Policies)
	for _, d := range differences {
		verdict := "better"
		if d.Regression > 0 {
			verdict = "worse"
		}
		if d.Policy == experiment.BalancerPolicy && d.Regression > c.Worse {
			tooMuchWorse, verdict = tooMuchWorse+1, "TOO MUCH WORSE"
		}
		fmt.Printf("%s, %s: %.4g, %.4g before (by %.4g to %.4g): %s\n", d.Policy, d.Metric, d.After, d.Before, d.Low, d.High, verdict)
	}
	if len(differences) == 0 {
		fmt.Println("nothing differs beyond chance")
	}
	if tooMuchWorse > 0 {
		return fmt.Errorf("%d metrics of %s are worse by a fraction of more than %g", tooMuchWorse, experiment.BalancerPolicy, c.Worse)
	}
	return nil
}
