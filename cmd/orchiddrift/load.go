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
	Rate        string        `default:"100" help:"Requests per second, or phases: 500:30s,1500:10s,500:30s."`
	Duration    time.Duration `default:"10s" help:"Duration of a rate that is given without one."`
	Class       []string      `sep:"none" default:"GET /" help:"NAME=SHARE:METHOD /path, repeated for a mix; {n} is the request's number. gRPC: CALL /package.Service/Method."`
	Header      []string      `sep:"none" help:"Name: value, for all requests; metadata with gRPC. {n} is the request's number."`
	Body        []string      `sep:"none" help:"TEXT or @FILE for all classes except GET and HEAD, or NAME=TEXT for one class. With gRPC the bytes of the message."`
	Connections int           `default:"64" help:"Maximum number of connections and of requests in flight."`
	Timeout     time.Duration `default:"5s" help:"Timeout of one attempt."`
	Retries     int           `help:"Maximum number of retries of a request that the server rejects, or of a GET whose connection fails."`
	RetryWait   time.Duration `default:"100ms" help:"Wait before the first retry if the server names no time. It doubles with each retry."`
	Steady      bool          `help:"Send at even intervals instead of random ones (Poisson)."`
	Seed        uint64        `default:"1" help:"Seed of the random numbers."`
	Log         string        `help:"A file for the latencies per second and class, in the log format of HdrHistogram."`
	JSON        bool          `help:"Print the result as JSON."`
	Quiet       bool          `help:"Print no progress."`
}

// Help is called by kong.
func (loadCmd) Help() string {
	return `Sends requests at a given rate, regardless of the responses. Latency counts from the time at which a request was due, so that it includes the
wait behind a stalled server. The result says whether the server, the connections or this tool was the limit.

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

// setBody sets the body of one class, or of all classes whose method allows one. text is NAME=TEXT, TEXT or @FILE.
func setBody(classes []loadgen.Class, text string) error {
	name, value, named := strings.Cut(text, "=")
	only := -1
	for i := range classes {
		if named && classes[i].Name == name {
			only, text = i, value
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
func (c *loadCmd) Run() error {
	o, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var observers loadgen.Observers
	if !c.Quiet {
		observers.Progress = func(p loadgen.Progress) { fmt.Fprintln(os.Stderr, p) }
	}
	var file *os.File
	if c.Log != "" {
		if file, err = os.Create(c.Log); err != nil {
			return err
		}
		observers.Log = file
	}
	r, err := loadgen.Run(ctx, o, observers)
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
