// Package engine carries calls from their arrival to exactly one final answer. It drives package balancer for the
// protocol adapters (the HTTP daemon and the gRPC balancer) and knows no transport: an adapter hands Engine.Do a Call
// and a Transport that can carry out one attempt.
//
// The balancer makes every decision: where an attempt goes, whether there is another one, and when a call is rejected
// or failed. The engine owns the calls in flight, their attempts' contexts and timers, and the balancer's one timer.
//
// # Goroutines
//
// The balancer is a state machine guarded by Engine.mu. Whoever brings an event runs it: the goroutine in Do for a
// request, the goroutine that carried out an attempt for its outcome, a timer's goroutine for TimerFired.
//
// The goroutine in Do also carries out the call's attempts, one after another, so that a call that needs one attempt
// needs no other goroutine. An attempt gets a goroutine of its own when the caller's is busy (a hedged request), and
// always when Settings.CancellationAllowed is false: the caller could not be interrupted for an answer that arrives
// elsewhere. docs/design/engine.md compares this with a goroutine that owns the balancer.
//
// # Locks
//
// Engine.mu is taken before Engine.updatesMu; Update holds updatesMu alone, and releases it before it takes mu.
// Engine.lock and Engine.unlock are the only way to mu: lock first handles the endpoint updates that have been queued,
// and unlock writes the balancer's log lines after it has released mu, so that a slow log delays only its own caller.
//
// Transport.RoundTrip and Options.WaitForUpdates are called without a lock. Options.Subscribe is called with mu held.
//
// # Blocking
//
// Do blocks until the call has its final answer, and, where its own goroutine carries out an attempt, until that
// attempt has ended. Close blocks until all attempts on goroutines of their own have ended. Every other method waits
// for mu only, under which nothing blocks.
//
// # Ordering
//
// An endpoint update is handled before any decision that begins after Update was called: the update may forbid what a
// call would be sent to. An attempt's outcome reaches the balancer before its caller goes on.
//
// # How a call ends
//
// A call ends with the first of: an attempt that succeeded or whose streamed answer has begun (Served), the balancer's
// Reject or Fail, Abort or Close (Failed), and its caller's disconnection (ClientGone). A failed attempt by itself ends
// nothing: its outcome goes to the balancer, which retries the call or fails it. An attempt that succeeds after its
// caller was thought to have left is still the answer, if Do has not returned.
//
// # Proof that nothing was sent
//
// balancer.NotSent claims that no byte of an attempt can have reached its upstream, so that any call may be sent again.
// The engine claims it in one place, for an attempt that it never handed to the Transport (Engine.closeCall). All other
// claims are the Transport's.
//
// # Panics
//
// A panic in the balancer ends the process: its state is unknown then, and a call might be answered or run twice. A
// panic in a Transport counts as balancer.Reset: the attempt may have run.
package engine
