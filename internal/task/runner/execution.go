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

const (
	// DueVariable is the environment variable that tells a command the due time of its run.
	DueVariable = "ORCHIDDRIFT_TASK_DUE"
	// TokenHeader is the request header that carries the fencing token of a call.
	TokenHeader = "X-Lease-Token"
	// idempotencyKeyHeader is the request header that identifies the run of a task that an HTTP call executes. Its value is the same in
	// each attempt of that run.
	idempotencyKeyHeader = "Idempotency-Key"
)

// exitCodeCallFailed is the exit code recorded for a call that failed or got a status of 300 or above.
const exitCodeCallFailed = 1

// execution executes a run, which is a command or an HTTP call.
type execution interface {
	start(token lease.Token, until time.Duration)
	// extend sets a later end of the run's grant.
	extend(until time.Duration)
	// stop ends the run. The returned channel is closed once the run has ended.
	stop(reason lease.Reason) <-chan struct{}
}

// onExit is called when a run has ended. reason is 0 if it ended by itself.
type onExit func(code int, reason lease.Reason)

// newExecution returns the execution of a run.
func (c *claim) newExecution(record task.Record, exited onExit) execution {
	due := record.Due.UTC().Format(time.RFC3339Nano)
	declaration, log := &c.task.declaration, c.runner.options.Log
	if declaration.Call != "" {
		method, path, _ := strings.Cut(declaration.Call, " ")
		ctx, cancel := context.WithCancel(context.Background())
		return &callExecution{method: method, url: "http://" + c.runner.options.ListenAddress() + path, idempotencyKey: c.task.leaseName() + "/" + due,
			exited: exited, ctx: ctx, cancel: cancel, ended: make(chan struct{})}
	}
	return &commandExecution{raftgroup.Command{Guard: c.runner.options.Guard, Name: c.task.leaseName(), Argv: declaration.Command,
		Margin: declaration.Margin.D(), Env: []string{DueVariable + "=" + due}, OnExit: exited,
		Log: func(text string) {
			log.Warn("task: command could not be started", "task", declaration.Name, "reason", text)
		}}}
}

// commandExecution runs a command under a guard.
type commandExecution struct{ command raftgroup.Command }

func (e *commandExecution) start(token lease.Token, until time.Duration) {
	e.command.Start(token, until)
}
func (e *commandExecution) extend(until time.Duration)               { e.command.Extend(until) }
func (e *commandExecution) stop(reason lease.Reason) <-chan struct{} { return e.command.Stop(reason) }

// callExecution makes a call through the daemon. stop cancels the call, but the upstream may go on processing it. Only a check of the fencing token
// protects against the effects of that processing.
type callExecution struct {
	method, url    string
	idempotencyKey string
	exited         onExit
	ctx            context.Context
	cancel         context.CancelFunc
	ended          chan struct{}
	reason         lease.Reason // why the call was stopped; read after ctx has ended
}

func (e *callExecution) start(token lease.Token, _ time.Duration) {
	go func() {
		defer close(e.ended)
		code := 0
		if err := e.call(token); err != nil {
			code = exitCodeCallFailed
		}
		var reason lease.Reason
		if e.ctx.Err() != nil {
			reason = e.reason
		}
		e.exited(code, reason)
	}()
}

func (e *callExecution) extend(time.Duration) {}

func (e *callExecution) stop(reason lease.Reason) <-chan struct{} {
	if e.ctx.Err() == nil {
		e.reason = reason
		e.cancel()
	}
	return e.ended
}

// call sends the request and reads its response.
func (e *callExecution) call(token lease.Token) error {
	request, err := http.NewRequestWithContext(e.ctx, e.method, e.url, nil)
	if err != nil {
		return err
	}
	request.Header.Set(TokenHeader, strconv.FormatUint(uint64(token), 10))
	request.Header.Set(idempotencyKeyHeader, e.idempotencyKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the task's call got status %s", response.Status)
	}
	return nil
}
