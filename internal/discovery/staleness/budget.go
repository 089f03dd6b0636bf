package staleness

import (
	"fmt"
	"time"
)

// The budget from a change of the list to the last request that may still be sent against it, in the order in which its parts are
// spent. The platform's protocol gives toldSilent: what a watch that fell silent misses counts as told so long after it fell
// silent, and the settings' grace comes on top. A watch that is well says something every beat.
//
//	beat + slack              a watch that says nothing is doubted               2.5 s after its last word
//	spread                    a fleet whose watches fell silent together         0 to 0.5 s
//	                          does not ask in one moment
//	half of what is left      the call made then may be quiet for so long        1.5 s or more
//	the other half            the call made beside it has so long to speak       1.5 s or more
//	                                                                         sum 6 s
//
// Calls that fail at once are made again sooner, after a part of what is left.
//
// A discovery that is crowded turns calls away at once, so that no count of calls is sure to be enough. Waits between calls are therefore
// the shorter the older the list is: long while it is fresh, so that discovery's places are left to others, and the shortest, without any
// growth, once it is overdue. For the same reason the watch behind a whole list waits, and a series of reloads does not spend a call on each.
//
// Where there is no watch, whatever calls came to, a change counts as told toldSilent after discovery had it and could be reached. That
// moment is not known here, so that the waits alone have to fit, counted from a return of discovery just after a call was made:
//
//	connectLeast, or patienceMost     the call that just missed it fails, or is doubted     1 s, or 3 s with no wait after it
//	backoffMost with its jitter          until the next call                                   3.3 s
//	the first word                    discovery gives a call up that waits longer           1 s
//	                                                                                  sum 5.3 s
const (
	beat       = 2 * time.Second
	slack      = 500 * time.Millisecond // late by a busy network, or a core that others share
	silence    = beat + slack
	toldSilent = 6 * time.Second
	graceMost  = 250 * time.Millisecond // of the settings' grace, used for lists that are pushed: what an agent has counts as told
	toldMoved  = 4 * time.Second        // after a reload what the new address has to tell counts as told

	spreadEach = 2 * time.Millisecond // of a fleet's calls, by sidecar: 500 a second at most
	spreadMost = 500 * time.Millisecond

	mostCalls     = 2                       // open at once: the one that is doubted, and the one beside it
	mostPrevious  = 4                       // and so many to addresses before: a series of reloads makes a call in 2 s
	patienceLeast = 1500 * time.Millisecond // discovery gives a call up that waits for longer than 1 s, and then works for it
	patienceMost  = toldSilent / 2

	askUntold = 10 * time.Second
)

// Waits before a call is made again that ended: they double from first to most, each drawn between half and one and a half of
// that. Asked discoveries are shared by the fleet and have to be spared while they are down; an agent at hand costs nothing.
const (
	backoffFirst   = 400 * time.Millisecond  // what a watch that ends did not tell is wanted within a beat: this, and discovery's turn
	backoffEach    = 5 * time.Millisecond    // or by sidecar, where that is more: a fleet whose watches all end asks 200 times a second
	backoffMost    = 2200 * time.Millisecond // see above
	backoffPressed = 250 * time.Millisecond  // the first while a deadline is near
	leftPart       = 3                       // of what is left until a deadline, at most one part of so many is waited
	mostSidecars   = 1000                    // beyond, the most is waited all the same
	backoffLeast   = 200 * time.Millisecond

	// The wait once the list is overdue, or was never heard: some 40 calls in the time within which a change has to be heard, or one in
	// so long by sidecar, where that is more: 133 calls a second from a fleet. Refused calls cost discovery little.
	overdueLeast = 150 * time.Millisecond
	overdueEach  = 7500 * time.Microsecond

	crowdedAfter = 250 * time.Millisecond  // a call that is answered no sooner waited its turn, behind those of others
	watchLater   = 2500 * time.Millisecond // the wait between the whole list and the watch behind it, where discovery is crowded

	// Reloads closer together than this are a series: a call made at each would take a place in discovery's queue and be given up.
	reloadSeries    = 2 * time.Second
	reloadHoldLeast = 700 * time.Millisecond
	reloadHoldMost  = 1200 * time.Millisecond

	// Of the grace, in percent.
	pushedFirst    = 20
	pushedMost     = 48  // with its jitter, and a connect, within it
	pushedPatience = 60  // for the agent's first word
	pushedQuiet    = 200 // it doubles up to this
)

func (o *Options) askWithin() time.Duration {
	if o.MaxPollAge > 0 {
		return o.MaxPollAge
	}
	return askUntold
}

func (o *Options) grace() time.Duration {
	if o.DrainGrace > 0 {
		return min(o.DrainGrace, graceMost)
	}
	return graceMost
}

func (o *Options) part(percent int) time.Duration { return o.grace() * time.Duration(percent) / 100 }

// spread is drawn once for each watch, so that a fleet's calls are spread and one sidecar's deadline is kept.
func (m *Machine) spread() time.Duration {
	most := min(time.Duration(m.o.FleetSize)*spreadEach, spreadMost)
	if m.o.Pushed || most <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(most)))
}

// patience is how long a call made at begun may say nothing before another is made beside it.
func (m *Machine) patience(begun time.Duration) time.Duration {
	if m.o.Pushed {
		return min(m.o.part(pushedPatience)<<min(m.quiet, 8), m.o.part(pushedQuiet))
	}
	if m.due <= begun { // the first one is doubted soon; then an answer that takes long is waited for
		return min(patienceLeast<<min(m.quiet, 8), patienceMost)
	}
	return max(min((m.due-begun)/2, patienceMost), patienceLeast)
}

// backoff is how long no call is made after one that ended.
func (m *Machine) backoff(now time.Duration) time.Duration {
	if m.o.Pushed {
		return m.jitter(min(m.o.part(pushedFirst)<<m.doublings(), m.o.part(pushedMost)))
	}
	left := m.due - now
	if left <= 0 || !m.informed { // waiting longer would spare discovery at the cost of those whose list is the oldest
		return m.jitter(m.o.overdueWait())
	}
	first := min(max(backoffFirst, m.o.fleet(backoffEach)), backoffMost)
	switch {
	case m.pressed:
		wait := min(first<<m.doublings(), backoffPressed<<m.doublings(), left/leftPart)
		return m.jitter(max(wait, backoffLeast))
	case m.fails > 1: // refused, with a list that is still good
		return m.jitter(min(max(left/leftPart, first), m.backoffLimit()))
	}
	return m.jitter(min(first, m.backoffLimit()))
}

// backoffLimit is the longest wait but for its jitter: with that still within what the settings allow after discovery is back.
func (m *Machine) backoffLimit() time.Duration {
	return min(backoffMost, m.o.askWithin()*3/5)
}

// doublings is how often a wait has doubled.
func (m *Machine) doublings() int {
	return min(max(m.fails-1, 0), 16)
}

// fleet is a time for each sidecar of the fleet.
func (o *Options) fleet(each time.Duration) time.Duration {
	return time.Duration(min(o.FleetSize, mostSidecars)) * each
}

// overdueWait is the wait between calls once the list is overdue. It does not grow.
func (o *Options) overdueWait() time.Duration {
	return min(max(overdueLeast, o.fleet(overdueEach)), backoffMost)
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

// Describe tells how old a list may be.
func (o Options) Describe() string {
	if o.Pushed {
		return fmt.Sprintf("pushed: a watch that breaks is opened again within %v, one that is silent doubted after %v", o.part(pushedMost)*3/2, silence)
	}
	return fmt.Sprintf("asked: a watch doubted after %v of silence, the list too old after %v of it, or %v without a watch", silence, toldSilent, o.askWithin())
}
