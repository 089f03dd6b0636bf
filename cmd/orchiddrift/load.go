package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"orchiddrift/internal/loadgen"
)

type loadCmd struct {
	Target      string        `arg:"" help:"http://ADDRESS:PORT or grpc://ADDRESS:PORT."`
	Rate        string        `default:"100" help:"Requests a second, or phases: 500:30s,1500:10s,500:30s."`
	Duration    time.Duration `default:"10s" help:"How long a rate without a length of its own goes on."`
	Class       []string      `sep:"none" default:"GET /" help:"NAME=SHARE:METHOD /path, more than once for a mix; {n} is the request's number. gRPC: CALL /package.Service/Method."`
	Header      []string      `sep:"none" help:"Name: value, for all; metadata with gRPC. {n} is the request's number."`
	Body        []string      `sep:"none" help:"TEXT or @FILE for all classes but GET and HEAD, or NAME=TEXT for one. With gRPC the message's bytes."`
	Connections int           `default:"64" help:"Connections, and requests at once, at most."`
	Timeout     time.Duration `default:"5s" help:"For a try."`
	Retries     int           `help:"Tries after the first, where the server refuses, or a GET breaks."`
	RetryWait   time.Duration `default:"100ms" help:"Before another try, where the server names no time; it doubles."`
	Steady      bool          `help:"At even distances, in place of chance (Poisson)."`
	Seed        uint64        `default:"1" help:"Of chance."`
	Log         string        `help:"A file for the latencies of each second and class, in HdrHistogram's log format."`
	JSON        bool          `help:"Print the result as JSON."`
	Quiet       bool          `help:"No progress."`
}

// Help is called by kong.
func (loadCmd) Help() string {
	return `Sends requests at a rate, whatever becomes of them. Latency counts from when a request was to be sent, so that what waits behind a server
that stands still is counted too. The end says whether the server, the connections or this tool was the limit.

  orchiddrift load http://127.0.0.1:8080 --rate 500 --duration 30s \
    --class "search=3:GET /search?q={n}" --class "record=1:POST /payments/{n}" --header "Idempotency-Key: k{n}" --body '{"amount":5}' --retries 2`
}

func (c *loadCmd) options() (loadgen.Options, error) {
	o := loadgen.Options{Target: c.Target, Connections: c.Connections, Timeout: c.Timeout, Steady: c.Steady, Seed: c.Seed, Retries: c.Retries, RetryBackoff: c.RetryWait}
	var err error
	if o.Phases, err = loadgen.ParsePhases(c.Rate, c.Duration); err != nil {
		return o, fmt.Errorf("--rate: %w", err)
	}
	var headers []loadgen.Header
	for _, text := range c.Header {
		h, err := loadgen.ParseHeader(text)
		if err != nil {
			return o, fmt.Errorf("--header: %w", err)
		}
		headers = append(headers, h)
	}
	for _, text := range c.Class {
		class, err := loadgen.ParseClass(text)
		if err != nil {
			return o, fmt.Errorf("--class: %w", err)
		}
		class.Headers = headers
		o.Classes = append(o.Classes, class)
	}
	for _, text := range c.Body {
		if err := setBody(o.Classes, text); err != nil {
			return o, fmt.Errorf("--body: %w", err)
		}
	}
	return o, o.Check()
}

func setBody(classes []loadgen.Class, text string) error {
	name, of, named := strings.Cut(text, "=")
	only := -1
	for i := range classes {
		if named && classes[i].Name == name {
			only, text = i, of
		}
	}
	body := []byte(text)
	if path, ok := strings.CutPrefix(text, "@"); ok {
		var err error
		if body, err = os.ReadFile(path); err != nil {
			return err
		}
	}
	for i := range classes {
		if i == only || only < 0 && classes[i].Method != "GET" && classes[i].Method != "HEAD" {
			classes[i].Body = body
		}
	}
	return nil
}

// Run is called by kong.
// Run is called by kong.
func (c *loadCmd) Run() error {
	o, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var w loadgen.Observers
	if !c.Quiet {
		w.Progress = func(p loadgen.Progress) { fmt.Fprintln(os.Stderr, p) }
	}
	var file *os.File
	if c.Log != "" {
		if file, err = os.Create(c.Log); err != nil {
			return err
		}
		w.Log = file
	}
	r, err := loadgen.Run(ctx, o, w)
	if file != nil {
		err = errors.Join(err, file.Close())
	}
	if r == nil {
		return err
	}
	if c.JSON {
		return errors.Join(err, json.NewEncoder(os.Stdout).Encode(r.Summary()))
	}
	return errors.Join(err, r.Print(os.Stdout))
}
