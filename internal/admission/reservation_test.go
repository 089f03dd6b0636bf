package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// returningClient is a client that comes back after its request was rejected.
type returningClient struct {
	at    time.Duration
	group string
	early bool // it comes back before its reserved time
}

// returnHarness is a harness whose rejected clients come back. It counts how their requests end.
type returnHarness struct {
	*harness
	groups               map[Ticket]string
	onTime, servedOnTime int
	early, redeemedEarly int
}

func (h *returnHarness) arriveOne(t *testing.T, group string) (_ Ticket, redeemed bool) {
	t.Helper()
	mustSucceed(t, h.wake())
	before := h.queue.Stats().Reservations // wake has removed the expired ones
	ticket, err := h.arrive(Arrival{Group: group, Deadline: h.now + time.Second})
	mustSucceed(t, err)
	h.groups[ticket] = group
	return ticket, h.queue.Stats().Reservations < before
}

func (h *returnHarness) comeBack(t *testing.T, client returningClient) {
	t.Helper()
	ticket, redeemed := h.arriveOne(t, client.group)
	if client.early {
		h.early++
		if redeemed {
			h.redeemedEarly++
		}
		return
	}
	h.onTime++
	if _, rejected := h.retryAfter[ticket]; !rejected {
		h.servedOnTime++
	}
}

// returningClients returns the clients whose requests were rejected, in the order in which they come back. A quarter of
// them come back early.
func (h *returnHarness) returningClients(rng *rand.Rand) (clients []returningClient) {
	for _, ticket := range slices.Sorted(maps.Keys(h.retryAfter)) {
		retryAfter := h.retryAfter[ticket]
		early := rng.IntN(4) == 0
		if retryAfter < 50*time.Millisecond {
			early = false // half of a shorter Retry-After may be within earlyTolerance
		}
		client := returningClient{at: h.now + retryAfter, group: h.groups[ticket], early: early}
		if early {
			client.at = h.now + retryAfter/2
		}
		clients = append(clients, client)
	}
	slices.SortFunc(clients, func(a, b returningClient) int { return int(a.at - b.at) })
	return clients
}

// Rejected clients must come back spread over time, with no more of them at once than can be served. Those that come at
// their reserved time must mostly be served, even during a flood. Coming early must not redeem a reservation.
func TestReservations(t *testing.T) {
	const limit, clients = 4, 400
	const cost = 20 * time.Millisecond
	o := fixedLimitOptions(limit, 20)
	o.MaxRetryAfter = 20 * time.Second
	h := &returnHarness{harness: newHarness(o), groups: map[Ticket]string{}}
	for i := range clients {
		h.arriveOne(t, fmt.Sprint(i))
	}
	returning := h.returningClients(rand.New(rand.NewPCG(3, 3)))
	byInterval := map[time.Duration]int{}
	for _, client := range returning {
		if !client.early {
			byInterval[client.at/(100*time.Millisecond)]++
		}
	}
	for interval, n := range byInterval { // a limit of 4 at 20 ms serves 20 in 100 ms, half of which may be reserved
		if n > 14 {
			t.Errorf("%d clients are to come back in interval %v of 100 ms, want at most 14", n, interval)
		}
	}
	ends := map[Ticket]time.Duration{}
	started, floods := 0, 0
	for len(returning) > 0 || h.queue.Stats().InFlight > 0 {
		h.now += time.Millisecond
		for ; started < len(h.admitted); started++ {
			ends[h.admitted[started]] = h.now + cost
		}
		for ticket, at := range ends {
			if at <= h.now {
				delete(ends, ticket)
				mustSucceed(t, h.complete(ticket, Completed))
			}
		}
		if floods++; floods < 15_000 {
			h.arriveOne(t, "flood")
		}
		for len(returning) > 0 && returning[0].at <= h.now {
			h.comeBack(t, returning[0])
			returning = returning[1:]
		}
		mustSucceed(t, h.wake())
	}
	if served := float64(h.servedOnTime) / float64(h.onTime); served < 0.95 {
		t.Errorf("of %d clients that came at their reserved time, %d were served, want at least 95 percent", h.onTime, h.servedOnTime)
	}
	if h.early < 20 || h.redeemedEarly > 0 {
		t.Errorf("%d clients came early, want at least 20, and %d of them redeemed their reservation, want none", h.early, h.redeemedEarly)
	}
}
