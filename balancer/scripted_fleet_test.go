package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// scriptedFleet sends requests to a Balancer and answers its attempts as the function reply says.
type scriptedFleet struct {
	*harness
	reply        func(u string) (Result, time.Duration) // result of an attempt at u and the time until it; a negative time means no answer
	inFlight     []scriptedAttempt
	attemptsAt   map[string]int // number of attempts by upstream
	finalAnswers map[ActionKind]int
	succeeded    int
	requests     int
}

type scriptedAttempt struct {
	action Action
	number int
	sentAt time.Duration
	endsAt time.Duration
	result Result
}

func newScriptedFleet(t *testing.T, s Settings, reply func(string) (Result, time.Duration)) *scriptedFleet {
	t.Helper()
	return &scriptedFleet{
		harness:      newHarness(t, s),
		reply:        reply,
		attemptsAt:   map[string]int{},
		finalAnswers: map[ActionKind]int{},
	}
}

// execute carries out acts. attemptCounts holds the number of attempts so far by request.
func (w *scriptedFleet) execute(acts []Action, attemptCounts map[string]int) {
	for _, a := range acts {
		switch a.Kind {
		case Send:
			res, d := w.reply(a.Upstream)
			f := scriptedAttempt{action: a, number: attemptCounts[a.ID], sentAt: w.now, endsAt: w.now + d, result: res}
			if d < 0 || d > a.Timeout {
				f.endsAt, f.result = w.now+a.Timeout, Timeout
			}
			attemptCounts[a.ID]++
			w.attemptsAt[a.Upstream]++
			w.inFlight = append(w.inFlight, f)
		case Cancel:
			for i := range w.inFlight {
				if w.inFlight[i].action.ID == a.ID && w.inFlight[i].number == a.Attempt {
					w.inFlight[i].endsAt, w.inFlight[i].result = w.now, Cancelled
				}
			}
		case Reject, Fail:
			w.finalAnswers[a.Kind]++
		}
	}
}

// run runs the fleet for d with perSecond requests per second, spread evenly.
func (w *scriptedFleet) run(d time.Duration, perSecond int) {
	attemptCounts := map[string]int{}
	tick := w.balancer.settings.Tick
	due := 0.0
	for end := w.now + d; w.now < end; {
		w.now += tick
		w.execute(w.handle(TimerFired{}), attemptCounts)
		for due += float64(perSecond) * tick.Seconds(); due >= 1; due-- {
			w.requests++
			w.execute(w.handle(Request{ID: fmt.Sprint("r", w.requests), Class: w.balancer.settings.Classes[0].Name,
				Deadline: w.now + w.balancer.settings.Classes[0].Deadline}), attemptCounts)
		}
		for i := 0; i < len(w.inFlight); i++ {
			f := w.inFlight[i]
			if f.endsAt > w.now {
				continue
			}
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
			i--
			if f.result == OK {
				w.succeeded++
			}
			w.execute(w.handle(Outcome{ID: f.action.ID, Attempt: f.number, Result: f.result, Elapsed: w.now - f.sentAt,
				Final: f.result == OK}), attemptCounts)
		}
	}
}

func (w *scriptedFleet) logged(text string) bool {
	return slices.ContainsFunc(w.logs, func(l string) bool { return strings.Contains(l, text) })
}

func answerInTime(string) (Result, time.Duration) { return OK, 20 * ms }

func (w *scriptedFleet) attempts() (total int) {
	for _, n := range w.attemptsAt {
		total += n
	}
	return total
}

// newZonedFleet returns a fleet with one of 80 sidecars, in zone a, and perZone upstreams in each of the zones a, b
// and c.
func newZonedFleet(t *testing.T, perZone int, reply func(u string) (Result, time.Duration)) *scriptedFleet {
	s := testSettings()
	s.FleetSize = 80
	w := newScriptedFleet(t, s, reply)
	var list []Endpoint
	for i := range 3 * perZone {
		zone := "abc"[i%3 : i%3+1]
		list = append(list, Endpoint{Name: fmt.Sprint(zone, i), Zone: zone})
	}
	w.updateEndpoints(FullUpdate, list...)
	return w
}

func (w *scriptedFleet) attemptsInZone(zone string) (total int) {
	for u, n := range w.attemptsAt {
		if u[:1] == zone {
			total += n
		}
	}
	return total
}
