package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/lease/raftgroup"
	"orchiddrift/internal/task"
)

// DueVariable is the environment variable in which a command finds when its run was due.
const DueVariable = "ORCHIDDRIFT_TASK_DUE"

// TokenHeader bears a call's token.
const TokenHeader = "X-Lease-Token"

// act makes a task's run.
func (t *known) act(j *job, rec task.Record, over func(code int, why lease.Reason)) act {
	due := rec.Due.UTC().Format(time.RFC3339Nano)
	if t.d.Call != "" {
		ctx, cancel := context.WithCancel(context.Background())
		return &call{t: t, to: j.r.o.Listen(), due: due, over: over, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	}
	return &command{raftgroup.Command{Guard: j.r.o.Guard, Name: t.lease(), Argv: t.d.Command, Margin: t.d.Margin.D(), Env: []string{DueVariable + "=" + due},
		OnExit: over, Log: func(text string) { j.r.o.Log.Warn("task", "task", t.d.Name, "reason", text) }}}
}

type command struct{ raftgroup.Command }

func (c *command) begin(token lease.Token, until time.Duration) { c.Start(token, until) }
func (c *command) extend(until time.Duration)                   { c.Extend(until) }
func (c *command) end(why lease.Reason) <-chan struct{}         { return c.Stop(why) }

// call is a call through the daemon. What the upstream does after the call was given up is for the token to stop.
type call struct {
	t      *known
	to     string
	due    string
	over   func(code int, why lease.Reason)
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	why    lease.Reason // read once ctx has ended
}

func (c *call) begin(token lease.Token, _ time.Duration) {
	go func() {
		defer close(c.done)
		code := 0
		if err := c.do(token); err != nil {
			code = 1
		}
		var why lease.Reason
		if c.ctx.Err() != nil {
			why = c.why
		}
		c.over(code, why)
	}()
}

func (c *call) do(token lease.Token) error {
	method, path, _ := strings.Cut(c.t.d.Call, " ")
	req, err := http.NewRequestWithContext(c.ctx, method, "http://"+c.to+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(TokenHeader, strconv.FormatUint(uint64(token), 10))
	req.Header.Set("Idempotency-Key", "task/"+c.t.d.Name+"/"+c.due)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return nil
}

func (c *call) extend(time.Duration) {}

func (c *call) end(why lease.Reason) <-chan struct{} {
	if c.ctx.Err() == nil {
		c.why = why
		c.cancel()
	}
	return c.done
}
