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
	// drainPollInterval is how often the end of the clients' connections is checked once nothing new is accepted.
	drainPollInterval = 10 * time.Millisecond
	// idleInterval is the wait where nothing is due.
	idleInterval = time.Hour
)

// lifecycleDriver drives package lifecycle: it closes the connections that are to be closed, and ends once the process has nothing left to
// do. It is safe for concurrent use.
type lifecycleDriver struct {
	clock       clock.Clock
	connections *downstream.Connections

	// What requests look at, as the machine says.
	ready            atomic.Bool // clients are wanted here
	closeAfterAnswer atomic.Bool // each answer is the last of its connection
	stopping         atomic.Bool // the process is ending
	aborted          atomic.Bool // what was unanswered has been failed, and nothing more is sent

	mu           sync.Mutex
	machine      *lifecycle.Machine
	abandoned    bool          // run ends at once
	stateChanged chan struct{} // wakes run; it holds one
}

func newLifecycleDriver(c clock.Clock, grace time.Duration, connections *downstream.Connections) *lifecycleDriver {
	l := &lifecycleDriver{clock: c, connections: connections, machine: lifecycle.New(grace), stateChanged: make(chan struct{}, 1)}
	l.ready.Store(true)
	return l
}

// change applies a change of state, and publishes what requests look at.
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

// stop ends the process; successor says that another one has taken its place.
func (l *lifecycleDriver) stop(successor bool) {
	l.change(func(m *lifecycle.Machine, now time.Duration) bool {
		m.Stop(now, successor)
		return true
	})
}

// abandon ends run at once.
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

// awaitConnections waits until the last answers are written and their connections closed, for timeout at most, and closes the rest.
func (l *lifecycleDriver) awaitConnections(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); !l.connections.Drained() && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	l.connections.CloseAll()
}

// lifecycleStep is what the machine asks for at one time.
type lifecycleStep struct {
	closeIdle   bool          // close connections that have been idle for idleTimeout
	idleTimeout time.Duration // see closeIdle
	again       time.Duration // until the machine is asked again; 0: at its next change
	accepts     bool          // new connections are accepted
	ending      bool
	abandoned   bool
	abort       bool          // fail what is unanswered
	untilAbort  time.Duration // of an ending process
}

func (l *lifecycleDriver) step() lifecycleStep {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var s lifecycleStep
	s.idleTimeout, s.again, s.closeIdle = l.machine.IdleTimeout(now)
	s.accepts, s.ending, s.abandoned = l.machine.Accepts(now), l.machine.Ending(), l.abandoned
	s.untilAbort, s.abort = l.machine.Abort(now)
	return s
}

// run returns once the process is ending and all connections of clients have ended, or what is unanswered has been failed by abort.
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
			l.connections.Close() // an error says that it was closed
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

// wait is how long nothing is due.
func (s *lifecycleStep) wait(accepting bool) time.Duration {
	again := s.again
	switch {
	case !s.ending && again == 0:
		again = idleInterval
	case s.ending && !accepting:
		again = min(again, drainPollInterval)
	}
	if s.ending {
		again = min(again, s.untilAbort)
	}
	return again
}
