package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/lifecycle"
	"orchiddrift/internal/server/downstream"
)

// course drives package life: it closes the connections that are to be closed, and ends once the process has nothing left to do.
// It is safe for concurrent use.
type course struct {
	clock clock.Clock
	conns *downstream.Connections

	wanted   atomic.Bool // clients are to be sent here
	last     atomic.Bool // answers are the last of their connections
	stopping atomic.Bool // the process is ending
	over     atomic.Bool // what was unanswered has been failed, and nothing more is sent

	mu        sync.Mutex
	life      *lifecycle.Machine
	abandoned bool
	turned    chan struct{} // holds one: the state is another
}

func newCourse(c clock.Clock, grace time.Duration, conns *downstream.Connections) *course {
	n := &course{clock: c, conns: conns, life: lifecycle.New(grace), turned: make(chan struct{}, 1)}
	n.wanted.Store(true)
	return n
}

// turn changes the state.
func (c *course) turn(by func(*lifecycle.Machine, time.Duration) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := by(c.life, c.clock.Now())
	c.wanted.Store(c.life.Ready())
	c.last.Store(c.life.CloseAfterAnswer())
	c.stopping.Store(c.life.Ending())
	select {
	case c.turned <- struct{}{}:
	default:
	}
	return ok
}

func (c *course) drain() bool   { return c.turn((*lifecycle.Machine).Drain) }
func (c *course) undrain() bool { return c.turn((*lifecycle.Machine).Undrain) }

func (c *course) stop(successor bool) {
	c.turn(func(l *lifecycle.Machine, now time.Duration) bool {
		l.Stop(now, successor)
		return true
	})
}

// abandon ends run at once.
func (c *course) abandon() {
	c.turn(func(*lifecycle.Machine, time.Duration) bool {
		c.abandoned = true
		return true
	})
}

func (c *course) state() lifecycle.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.life.State()
}

// end waits until the last answers are written and their connections closed, or that long, and then closes those that are left.
func (c *course) end(most time.Duration) {
	for last := time.Now().Add(most); !c.conns.Drained() && time.Now().Before(last); {
		time.Sleep(look)
	}
	c.conns.CloseAll()
}

// look is how often the end of connections is looked for, once nothing new is accepted.
const look = 10 * time.Millisecond

// run returns once the process ends and all connections of clients have ended, or what they wait for has been failed by abort.
func (c *course) run(abort func()) {
	wait := time.NewTimer(time.Hour)
	defer wait.Stop()
	accepting := true
	for {
		c.mu.Lock()
		now := c.clock.Now()
		rest, again, closing := c.life.IdleTimeout(now)
		accepts, ending, abandoned := c.life.Accepts(now), c.life.Ending(), c.abandoned
		left, over := c.life.Abort(now)
		c.mu.Unlock()
		if abandoned {
			return
		}
		if accepting && !accepts {
			accepting = false
			c.conns.Close() // its error says that it was closed
		}
		if closing {
			c.conns.CloseIdle(rest)
		}
		if over {
			c.over.Store(true)
			abort()
			return
		}
		if !accepting && c.conns.Drained() {
			return
		}
		switch {
		case !ending && again == 0:
			again = time.Hour
		case ending && !accepting:
			again = min(again, look)
		}
		if ending {
			again = min(again, left)
		}
		wait.Reset(again)
		select {
		case <-wait.C:
		case <-c.turned:
		}
	}
}
