package lease

import (
	"testing"
	"time"
)

// testLimits are low, so that tests can reach them.
var testLimits = Limits{MaxNames: 2, MaxWaiters: 2, MaxNameBytes: 20, MinDuration: time.Second, MaxDuration: time.Minute}

const (
	testName     = "x" // the lease of a request that has no name
	testDuration = 10 * time.Second
	testDrift    = 0.1
)

// harness is a Table with its leader's Expirations and a simulated clock.
type harness struct {
	t           *testing.T
	now         time.Duration
	table       *Table
	expirations *Expirations
	sendNumber  uint64
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, table: NewTable(testLimits)}
	h.expirations = NewExpirations(0, h.table, testDrift)
	return h
}

// apply handles a request in the way in which the leader's driver does, and returns the reply.
func (h *harness) apply(request Request) Reply {
	h.sendNumber++
	request.SendNumber = h.sendNumber
	if request.Name == "" {
		request.Name = testName
	}
	if request.Duration == 0 {
		request.Duration = testDuration
	}
	if request.Kind == Renew {
		return h.expirations.Renew(h.now, request)
	}
	if reply, ok := h.expirations.AnswerRepeated(h.now, request); ok {
		return reply
	}
	reply, granted := h.table.Apply(request)
	return h.expirations.Applied(h.now, request, reply, granted)
}

// advance moves the clock forward and applies the expiries that the leader then proposes.
func (h *harness) advance(d time.Duration) {
	h.now += d
	for _, request := range h.expirations.Expired(h.now) {
		reply, granted := h.table.Apply(request)
		h.expirations.Applied(h.now, request, reply, granted)
	}
}

// want applies a request and checks the status of the reply. It then checks that the client holder holds the lease testName with token or, if holder
// is empty, that the lease is free.
func (h *harness) want(request Request, status Status, holder string, token Token) {
	h.t.Helper()
	reply := h.apply(request)
	if reply.Status != status || status == Granted && (reply.Holder != holder || reply.Token != token) {
		h.t.Errorf("reply to %+v: %+v, want status %d, holder %s, token %d", request, reply, status, holder, token)
	}
	entry := h.table.Entry(testName)
	if holder == "" && entry != nil || holder != "" && (entry == nil || entry.Holder != holder || entry.Token != token) {
		h.t.Errorf("after %+v the entry is %+v, want holder %s, token %d", request, entry, holder, token)
	}
}

// acquire returns a request to hold the lease or wait for it.
func acquire(client string, sequence uint64) Request {
	return Request{Kind: Acquire, Client: client, Sequence: sequence, Wait: true}
}
