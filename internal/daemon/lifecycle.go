package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/lifecycle"
	"orchiddrift/internal/server/downstream"
)

const (
	// drainPollInterval is how often the driver checks whether all clients' connections have ended, once new connections are not accepted.
	drainPollInterval = 10 * time.Millisecond
	// idleInterval is how long run waits if nothing is due.
	idleInterval = time.Hour
)

// lifecycleDriver carries out the decisions of a lifecycle.Machine: it closes connections of clients, and its method run returns once the
// process may end. It is safe for concurrent use.
type lifecycleDriver struct {
	clock       clock.Clock
	connections *downstream.Connections

	// Copies of the machine's state, which requests read without mu.
	ready            atomic.Bool // new clients should connect to this address
	closeAfterAnswer atomic.Bool // each answer is the last of its connection
	stopping         atomic.Bool // the process is ending
	aborted          atomic.Bool // the unanswered requests have failed, and nothing is sent to upstreams any more

	mu           sync.Mutex
	machine      *lifecycle.Machine
	abandoned    bool          // if true, run returns at once
	stateChanged chan struct{} // wakes run; buffers one signal
}

func newLifecycleDriver(c clock.Clock, grace time.Duration, connections *downstream.Connections) *lifecycleDriver {
	l := &lifecycleDriver{clock: c, connections: connections, machine: lifecycle.New(grace), stateChanged: make(chan struct{}, 1)}
	l.ready.Store(true)
	return l
}

// change applies a change of state, and updates the copies that requests read.
func (l *lifecycleDriver) change(apply func(*lifecycle.Machine, time.Duration) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := apply(l.machine, l.clock.Now())
	l.ready.Store(l.machine.Ready())
	l.closeAfterAnswer.Store(l.machine.CloseAfterAnswer())
	l.stopping.Store(l.machine.Ending())
	select {
	case l.stateChanged <- struct{}{}:
	default:
	}
	return ok
}

func (l *lifecycleDriver) drain() bool   { return l.change((*lifecycle.Machine).Drain) }
func (l *lifecycleDriver) undrain() bool { return l.change((*lifecycle.Machine).Undrain) }

// stop begins the end of the process. successor is true if another process serves in its place.
func (l *lifecycleDriver) stop(successor bool) {
	l.change(func(m *lifecycle.Machine, now time.Duration) bool {
		m.Stop(now, successor)
		return true
	})
}

// abandon makes run return at once.
func (l *lifecycleDriver) abandon() {
	l.change(func(*lifecycle.Machine, time.Duration) bool {
		l.abandoned = true
		return true
	})
}

func (l *lifecycleDriver) state() lifecycle.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// awaitConnections waits until the last answers have been written and their connections closed, but not longer than timeout. It then closes
// the remaining connections.
func (l *lifecycleDriver) awaitConnections(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); !l.connections.Drained() && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	l.connections.CloseAll()
}

// lifecycleStep holds the machine's decisions at one moment.
type lifecycleStep struct {
	closeIdle   bool          // close connections that have been idle for idleTimeout
	idleTimeout time.Duration // see closeIdle
	recheckIn   time.Duration // time until the next step; 0 if that waits for the machine's next change of state
	accepts     bool          // new connections are accepted
	ending      bool
	abandoned   bool
	abort       bool          // fail the unanswered requests now
	untilAbort  time.Duration // time until abort; only set if the process is ending
}

func (l *lifecycleDriver) step() lifecycleStep {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var s lifecycleStep
	s.idleTimeout, s.recheckIn, s.closeIdle = l.machine.IdleTimeout(now)
	s.accepts, s.ending, s.abandoned = l.machine.Accepts(now), l.machine.Ending(), l.abandoned
	s.untilAbort, s.abort = l.machine.Abort(now)
	return s
}

// run returns once the process is ending and all connections of clients have ended, or abort has failed the unanswered requests.
func (l *lifecycleDriver) run(abort func()) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	accepting := true
	for {
		s := l.step()
		if s.abandoned {
			return
		}
		if accepting && !s.accepts {
			accepting = false
			l.connections.Close() // returns an error if the listener has been closed before
		}
		if s.closeIdle {
			l.connections.CloseIdle(s.idleTimeout)
		}
		if s.abort {
			l.aborted.Store(true)
			abort()
			return
		}
		if !accepting && l.connections.Drained() {
			return
		}
		timer.Reset(s.wait(accepting))
		select {
		case <-timer.C:
		case <-l.stateChanged:
		}
	}
}

// wait returns the time until the next step is due.
func (s *lifecycleStep) wait(accepting bool) time.Duration {
	recheckIn := s.recheckIn
	switch {
	case !s.ending && recheckIn == 0:
		recheckIn = idleInterval
	case s.ending && !accepting:
		recheckIn = min(recheckIn, drainPollInterval)
	}
	if s.ending {
		recheckIn = min(recheckIn, s.untilAbort)
	}
	return recheckIn
}
