package raftgroup

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/testing/processes"
)

type (
	// outcome is the reply to a client's request, if the client got one.
	outcome struct {
		reply lease.Reply
		known bool // the client got a reply
	}
	// leaseState is the state of leaseModel: the holder of the lease, and the token of the current or last grant.
	leaseState struct {
		holder string
		token  lease.Token
	}
)

// leaseModel specifies how the lease table behaves for one lease: the token rises with each grant, only the holder can renew and release, and a
// grant may expire at any time.
var leaseModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, output any) (next []any) {
		request, result := input.(lease.Request), output.(outcome)
		states := []leaseState{state.(leaseState)}
		if states[0].holder != "" { // the grant may have expired before this step
			states = append(states, leaseState{token: states[0].token})
		}
		for _, s := range states {
			if result.known {
				next = append(next, s.afterReply(request, result.reply)...)
			} else {
				next = append(next, s.afterNoReply(request)...)
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// isHeldBy reports whether the request comes from the holder and has the token of its grant.
func (s leaseState) isHeldBy(request lease.Request) bool {
	return s.holder == request.Client && s.token == request.Token
}

// afterNoReply returns the states that may follow a request without a reply. Such a request may or may not have been applied.
func (s leaseState) afterNoReply(request lease.Request) (next []any) {
	next = append(next, s)
	switch {
	case request.Kind == lease.Acquire && s.holder == "":
		next = append(next, leaseState{request.Client, s.token + 1})
	case request.Kind == lease.Release && s.isHeldBy(request):
		next = append(next, leaseState{token: s.token})
	}
	return next
}

// afterReply returns the state that follows a request with its reply, or no state if the model does not allow the reply.
func (s leaseState) afterReply(request lease.Request, reply lease.Reply) (next []any) {
	switch status := reply.Status; {
	case request.Kind == lease.Acquire && status == lease.Granted && s.holder == "" && reply.Token > s.token:
		next = append(next, leaseState{request.Client, reply.Token})
	case request.Kind == lease.Acquire && status == lease.HeldByOther && s.holder != "" && s.holder != request.Client,
		request.Kind == lease.Renew && status == lease.Granted && s.isHeldBy(request),
		request.Kind != lease.Acquire && status == lease.NotHeld && !s.isHeldBy(request):
		next = append(next, s)
	case request.Kind == lease.Release && status == lease.Done && s.isHeldBy(request):
		next = append(next, leaseState{token: s.token})
	}
	return next
}

// leaseModel must accept the replies that one lease table can give, and reject all others. A model that accepts everything would make
// TestLinearizable pass with any history.
func TestModelOfTheRecordBites(t *testing.T) {
	acquire := func(client string) lease.Request { return lease.Request{Kind: lease.Acquire, Client: client} }
	renew := func(client string, token lease.Token) lease.Request {
		return lease.Request{Kind: lease.Renew, Client: client, Token: token}
	}
	granted := func(token lease.Token) outcome {
		return outcome{lease.Reply{Status: lease.Granted, Token: token}, true}
	}
	status := func(status lease.Status) outcome { return outcome{lease.Reply{Status: status}, true} }
	for name, c := range map[string]struct {
		operations []any // requests, each followed by its outcome; no two overlap
		want       porcupine.CheckResult
	}{
		"a grant that expired":           {[]any{acquire("a"), granted(1), acquire("b"), granted(2)}, porcupine.Ok},
		"a lost reply":                   {[]any{acquire("a"), outcome{}, acquire("b"), status(lease.HeldByOther)}, porcupine.Ok},
		"two holders":                    {[]any{acquire("a"), granted(1), acquire("b"), granted(2), renew("a", 1), granted(1)}, porcupine.Illegal},
		"a token that does not rise":     {[]any{acquire("a"), granted(2), acquire("b"), granted(2)}, porcupine.Illegal},
		"renewed by another client":      {[]any{acquire("a"), granted(1), renew("nobody", 1), granted(1)}, porcupine.Illegal},
		"held by nobody":                 {[]any{acquire("a"), status(lease.HeldByOther)}, porcupine.Illegal},
		"renewed after it was lost once": {[]any{acquire("a"), granted(1), renew("a", 1), status(lease.NotHeld), renew("a", 1), granted(1)}, porcupine.Illegal},
	} {
		var history []porcupine.Operation
		for i := 0; i < len(c.operations); i += 2 {
			history = append(history, porcupine.Operation{Input: c.operations[i], Output: c.operations[i+1], Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if got := porcupine.CheckOperationsTimeout(leaseModel.ToModel(), history, processes.Patience); got != c.want {
			t.Errorf("history %q: the linearizability check returned %s, which is not the expected result", name, got)
		}
	}
}
