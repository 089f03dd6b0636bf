package admission

import "time"

const (
	reservableFraction  = 0.5  // share of the service rate for clients that come back; the rest is for first requests
	reservationHorizon  = 0.75 // share of the maximum Retry-After within which times are reserved
	maxFlowReservations = 256  // maximum number of reservations of one flow

	earlyTolerance = 10 * time.Millisecond // how much earlier than its reserved time a client may come
	minGrace       = 250 * time.Millisecond
	maxGrace       = 2 * time.Second
	graceFraction  = 0.25 // how much later than its reserved time a client may come, as a share of its Retry-After

	smallReservationSlice = 8 // number of reservations; slices of up to this capacity are never shrunk
	maxReservationSlack   = 4 // ratio of capacity to length above which a larger slice is shrunk
)

// reservation is a time at which a rejected request of a flow may come back.
type reservation struct {
	at, until   time.Duration
	cost        float64 // estimated cost of the request, s
	fingerprint uint64  // fingerprint of the rejected request
}

// addReservation inserts a reservation in order of time.
func (f *flow) addReservation(r reservation) {
	i := len(f.reservations)
	for i > 0 && f.reservations[i-1].at > r.at {
		i--
	}
	f.reservations = append(f.reservations, reservation{})
	copy(f.reservations[i+1:], f.reservations[i:])
	f.reservations[i] = r
	f.reservedCost += r.cost
}

// dropReservation removes the i-th reservation.
func (f *flow) dropReservation(i int) {
	f.reservedCost -= f.reservations[i].cost
	f.reservations = append(f.reservations[:i], f.reservations[i+1:]...)
	if len(f.reservations) == 0 {
		f.reservedCost = 0 // discards the rounding errors of the sum
	}
	if c := cap(f.reservations); c > smallReservationSlice && c > maxReservationSlack*len(f.reservations) { // keeps memory in proportion to the reservations
		f.reservations = append(make([]reservation, 0, 2*len(f.reservations)), f.reservations...)
	}
}

// redeemReservation uses up the earliest reservation of a flow that is valid now and was made for a request of the same
// fingerprint, and reports whether there was one. A request with another fingerprint cannot use up the reservation.
func (q *Queue) redeemReservation(f *flow, fingerprint uint64) bool {
	for i := range f.reservations {
		r := f.reservations[i]
		if q.now < r.at-earlyTolerance {
			break
		}
		if q.now <= r.until && r.fingerprint == fingerprint {
			f.dropReservation(i)
			q.reservations--
			q.updateExpiry(f)
			return true
		}
	}
	return false
}

// reserve returns the time after which the client of a rejected request should come back, and whether that time is
// reserved. Reserved times lie within reservationHorizon of the maximum Retry-After. Times that are not reserved are spread
// at random over the rest of the maximum.
func (q *Queue) reserve(e *entry) (retryAfter time.Duration, reserved bool) {
	f := e.flow
	longest := q.options.maxRetryAfter()
	horizon := time.Duration(reservationHorizon * float64(longest))
	if rate := q.serviceRate(f); rate > 0 && len(f.reservations) < maxFlowReservations && q.reservations < q.options.MaxReservations {
		cost := max(minCost, e.class.meanCost)
		// A flow's reservations get reservableFraction of the flow's rate. All reservations together get the same fraction
		// of the total rate.
		wait := min((q.costAhead(f)+(f.reservedCost+cost)/reservableFraction)/rate, longest.Seconds())
		earliest := q.now + max(earlyTolerance, seconds(wait))
		stepCapacity := q.limiter.limit / q.costUnderLoad() * reservableFraction * q.calendar.step.Seconds()
		if at, ok := q.calendar.reserve(q.now, earliest, q.now+horizon, stepCapacity); ok {
			retryAfter = at - q.now
			grace := min(maxGrace, max(minGrace, time.Duration(graceFraction*float64(retryAfter))))
			f.addReservation(reservation{at: at, until: at + grace, cost: cost, fingerprint: e.fingerprint})
			q.reservations++
			q.updateExpiry(f)
			return retryAfter, true
		}
	}
	return horizon + time.Duration(q.rng.Int64N(int64(longest-horizon)+1)), false
}

// updateExpiry sets a flow's position in reservationExpiries by the end of its first reservation. A later reservation
// may end slightly earlier, and expires together with the first one.
func (q *Queue) updateExpiry(f *flow) {
	if len(f.reservations) == 0 {
		q.reservationExpiries.Remove(f)
		return
	}
	f.nextExpiry = f.reservations[0].until
	q.reservationExpiries.Set(f, float64(f.nextExpiry), 0)
}

// expireReservations removes the reservations that were not redeemed in time.
func (q *Queue) expireReservations() {
	for q.reservationExpiries.Len() > 0 && q.reservationExpiries.First().nextExpiry < q.now {
		f := q.reservationExpiries.First()
		for i := 0; i < len(f.reservations); {
			if f.reservations[i].until < q.now {
				f.dropReservation(i)
				q.reservations--
			} else {
				i++
			}
		}
		q.updateExpiry(f)
		q.forgetFlow(f)
	}
}
