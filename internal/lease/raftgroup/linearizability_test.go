package raftgroup

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/testing/processes"
)

const (
	linearizableSeed     = 8
	linearizableClients  = 5
	linearizableRequests = 60 // requests of each client
	// minGrants is the smallest number of grants in a history for which its check is meaningful.
	minGrants = 20
)

// historyRecorder records the requests of several clients and their outcomes. It is safe for concurrent use.
type historyRecorder struct {
	start time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

// request sends a request and records it. A request without a reply may still be applied later, so its operation is recorded with a return far in
// the future.
func (r *historyRecorder) request(t *testing.T, client *Client, id int, request lease.Request) (lease.Reply, error) {
	operation := porcupine.Operation{ClientId: id, Input: request, Call: int64(time.Since(r.start))}
	reply, err := client.Request(t.Context(), request, 0, 150*time.Millisecond)
	operation.Return, operation.Output = int64(time.Since(r.start)), outcome{reply, err == nil}
	if err != nil {
		operation.Return = int64(time.Hour)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, operation)
	return reply, err
}

// runClient acquires, renews and releases one lease. Each Acquire uses a new client name, so that an Acquire whose reply was lost is not repeated.
func (r *historyRecorder) runClient(t *testing.T, client *Client, id int) {
	rng := rand.New(rand.NewPCG(linearizableSeed, uint64(id)))
	token, holder := lease.Token(0), ""
	for n := range linearizableRequests {
		request := lease.Request{Kind: lease.Acquire, Name: "x", Client: fmt.Sprint("c", id, "-", n), Sequence: 1, SendNumber: uint64(n + 1), Duration: 300 * time.Millisecond}
		if token > 0 {
			request.Kind, request.Token, request.Client = lease.Renew, token, holder
			if rng.IntN(3) == 0 {
				request.Kind = lease.Release
			}
		}
		reply, err := r.request(t, client, id, request)
		switch {
		case err == nil && reply.Status == lease.Granted:
			token, holder = reply.Token, request.Client
		case err == nil && request.Kind != lease.Acquire:
			token = 0
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// injectFaults makes links drop and delay data, resets their connections and heals them, until stop is closed.
func (g *testGroup) injectFaults(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(9, 9))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(150)) * time.Millisecond):
		}
		link := g.links[rng.IntN(len(g.links))]
		switch rng.IntN(4) {
		case 0:
			link.Set(processes.Fault{Drop: true}, processes.Fault{})
		case 1:
			link.Set(processes.Fault{Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond}, processes.Fault{Drop: rng.IntN(2) == 0})
		case 2:
			link.Reset()
		default:
			g.heal()
		}
	}
}

// The lease table must be linearizable. Clients send requests over links that drop, delay and reset their connections; some sequential order of
// the requests on a single lease table must explain all replies.
func TestLinearizable(t *testing.T) {
	g := newTestGroup(t, linearizableSeed)
	recorder := &historyRecorder{start: time.Now()}
	var clients, faults sync.WaitGroup
	for id := range linearizableClients {
		client, err := NewClient("f", g.peers(fmt.Sprint("c", id)))
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		clients.Go(func() { recorder.runClient(t, client, id) })
	}
	stop := make(chan struct{})
	faults.Go(func() { g.injectFaults(stop) })
	clients.Wait()
	close(stop)
	faults.Wait()
	granted, unknown := 0, 0
	for _, operation := range recorder.history {
		if result := operation.Output.(outcome); !result.known {
			unknown++
		} else if result.reply.Status == lease.Granted {
			granted++
		}
	}
	t.Logf("%d requests, %d granted, %d without a reply", len(recorder.history), granted, unknown)
	if granted < minGrants {
		t.Error("fewer than minGrants requests were granted, too few for a meaningful check of the history")
	}
	if result := porcupine.CheckOperationsTimeout(leaseModel.ToModel(), recorder.history, processes.Patience); result == porcupine.Illegal {
		t.Error("the history is not linearizable: no order of the requests on one lease table explains the replies")
	} else if result != porcupine.Ok {
		t.Log("the check of the history timed out: too many requests without a reply")
	}
}
