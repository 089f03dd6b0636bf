// Package engine processes calls, each of which gets exactly one final answer. It drives package balancer for the
// protocol adapters (the HTTP daemon and the gRPC balancer) and does not depend on a transport: an adapter passes
// Engine.Do a Call and a Transport, which carries out single attempts.
//
// The balancer makes every decision: where an attempt goes, whether there is another one, and when a call is rejected
// or failed. The engine owns the calls in flight, their attempts' contexts and timers, and the balancer's one timer.
//
// # Goroutines
//
// The balancer is a state machine guarded by Engine.mu. It runs on the goroutine on which an event occurs: the one that
// called Do for a request, the one that carried out an attempt for the attempt's outcome, a timer's for TimerFired.
//
// The goroutine that called Do also carries out the call's attempts, one after another, so that a call with one attempt
// needs no other goroutine. An attempt gets a goroutine of its own when the caller's goroutine is busy (a hedged
// request), and always when Settings.CancellationAllowed is false: the caller's goroutine could not be interrupted when
// an attempt on another goroutine succeeds. docs/design/engine.md compares this with a goroutine that owns the
// balancer.
//
// # Locks
//
// Engine.mu is taken before Engine.updatesMu; Update holds updatesMu alone, and releases it before it takes mu.
// Only Engine.lock and Engine.unlock access mu: lock first handles the queued endpoint updates, and unlock writes the
// balancer's log lines after it has released mu, so that a slow log delays only the goroutine that writes to it.
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
// An endpoint update is handled before any decision that begins after Update was called: the update may exclude the
// endpoint that a call would be sent to. The balancer handles an attempt's outcome before Do returns that attempt's
// answer.
//
// # How a call ends
//
// A call ends with the first of: an attempt that succeeded or whose streamed answer has begun (Served), the balancer's
// Reject or Fail, Abort or Close (Failed), and its caller's disconnection (ClientGone). A failed attempt alone does not
// end its call: the balancer gets the outcome and retries the call or fails it. An attempt that succeeds after the
// caller's context has ended still provides the answer, if Do has not returned.
//
// # Proof that nothing was sent
//
// balancer.NotSent states that no byte of an attempt can have reached its upstream, so that any call may be sent again.
// The engine itself reports NotSent in one place, for an attempt that it never passed to the Transport
// (Engine.closeCall). Every other NotSent comes from the Transport.
//
// # Panics
//
// A panic in the balancer ends the process: the balancer's state is unknown then, and a call might be answered or
// executed twice. A panic in a Transport counts as balancer.Reset: the upstream may have executed the request.
package engine
