package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/lifecycle"
	"orchiddrift/internal/server/downstream"
)

// lifecycleDriver drives package life: it closes the connections that are to be closed, and ends once the process has nothing left to do.
// It is safe for concurrent use.
type lifecycleDriver struct {
	clock       clock.Clock
	connections *downstream.Connections

	ready            atomic.Bool // clients are to be sent here
	closeAfterAnswer atomic.Bool // answers are the last of their connections
	stopping         atomic.Bool // the process is ending
	aborted          atomic.Bool // what was unanswered has been failed, and nothing more is sent

	mu           sync.Mutex
	machine      *lifecycle.Machine
	abandoned    bool
	stateChanged chan struct{} // holds one: the state is another
}

func newLifecycleDriver(c clock.Clock, grace time.Duration, conns *downstream.Connections) *lifecycleDriver {
	n := &lifecycleDriver{clock: c, connections: conns, machine: lifecycle.New(grace), stateChanged: make(chan struct{}, 1)}
	n.ready.Store(true)
	return n
}

// change changes the state.
func (c *lifecycleDriver) change(by func(*lifecycle.Machine, time.Duration) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := by(c.machine, c.clock.Now())
	c.ready.Store(c.machine.Ready())
	c.closeAfterAnswer.Store(c.machine.CloseAfterAnswer())
	c.stopping.Store(c.machine.Ending())
	select {
	case c.stateChanged <- struct{}{}:
	default:
	}
	return ok
}

func (c *lifecycleDriver) drain() bool   { return c.change((*lifecycle.Machine).Drain) }
func (c *lifecycleDriver) undrain() bool { return c.change((*lifecycle.Machine).Undrain) }

func (c *lifecycleDriver) stop(successor bool) {
	c.change(func(l *lifecycle.Machine, now time.Duration) bool {
		l.Stop(now, successor)
		return true
	})
}

// abandon ends run at once.
func (c *lifecycleDriver) abandon() {
	c.change(func(*lifecycle.Machine, time.Duration) bool {
		c.abandoned = true
		return true
	})
}

func (c *lifecycleDriver) state() lifecycle.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.State()
}

// awaitConnections waits until the last answers are written and their connections closed, or that long, and then closes those that are left.
func (c *lifecycleDriver) awaitConnections(most time.Duration) {
	for last := time.Now().Add(most); !c.connections.Drained() && time.Now().Before(last); {
		time.Sleep(drainPollInterval)
	}
	c.connections.CloseAll()
}

// drainPollInterval is how often the end of connections is looked for, once nothing new is accepted.
const drainPollInterval = 10 * time.Millisecond

// run returns once the process ends and all connections of clients have ended, or what they wait for has been failed by abort.
func (c *lifecycleDriver) run(abort func()) {
	wait := time.NewTimer(time.Hour)
	defer wait.Stop()
	accepting := true
	for {
		c.mu.Lock()
		now := c.clock.Now()
		rest, again, closing := c.machine.IdleTimeout(now)
		accepts, ending, abandoned := c.machine.Accepts(now), c.machine.Ending(), c.abandoned
		left, over := c.machine.Abort(now)
		c.mu.Unlock()
		if abandoned {
			return
		}
		if accepting && !accepts {
			accepting = false
			c.connections.Close() // its error says that it was closed
		}
		if closing {
			c.connections.CloseIdle(rest)
		}
		if over {
			c.aborted.Store(true)
			abort()
			return
		}
		if !accepting && c.connections.Drained() {
			return
		}
		switch {
		case !ending && again == 0:
			again = time.Hour
		case ending && !accepting:
			again = min(again, drainPollInterval)
		}
		if ending {
			again = min(again, left)
		}
		wait.Reset(again)
		select {
		case <-wait.C:
		case <-c.stateChanged:
		}
	}
}
