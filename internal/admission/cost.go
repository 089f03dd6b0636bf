package admission

import (
	"math"
	"time"

	"orchiddrift/balancer"
)

// A request's cost is the time that it is in flight, in seconds. It is estimated before the request is dispatched, and
// the difference is charged after it has ended (sfqScheduler.correctCost).
const (
	initialCost     = 0.02  // mean cost of a class before its first completed request, s
	minCost         = 1e-6  // least cost of a request, since no request is free, s
	maxHintFactor   = 8.0   // an estimate is at most this factor above or below its class's mean
	costSmoothing   = 0.05  // weight of one request in the means
	hintSmoothing   = 0.05  // weight of one hint in the mean hint and in a group's hint accuracy
	minHintAccuracy = 0.125 // bounds of one observed accuracy
	maxHintAccuracy = 8.0
	boundDeviations = 2 // number of mean deviations above the mean that costBound adds
)

// classStats is a class of requests with the observed statistics of their costs, in seconds.
type classStats struct {
	balancer.Class
	meanCost      float64
	meanDeviation float64 // mean absolute deviation from meanCost
	longTermCost  float64 // mean over minutes, updated by the limiter; 0 if unknown
	meanHint      float64 // mean of the hints that requests carried; 0 before the first hint
}

// estimateCost returns the estimated cost of a request, in seconds: its class's mean, scaled by its hint over the mean
// hint and by the accuracy of its group's earlier hints.
func (c *classStats) estimateCost(hint time.Duration, accuracy float64) float64 {
	cost := c.meanCost
	if hint > 0 && c.meanHint > 0 {
		cost *= min(maxHintFactor, max(1/maxHintFactor, hint.Seconds()/c.meanHint*accuracy))
	}
	return max(minCost, cost)
}

// costBound returns a cost that most requests stay below: the mean plus a multiple of the mean deviation, as in TCP's
// retransmission timer (V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988).
func (c *classStats) costBound() time.Duration {
	return seconds(c.meanCost + boundDeviations*c.meanDeviation)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// observeHint updates the mean hint when a request arrives.
func (c *classStats) observeHint(hint time.Duration) {
	if hint <= 0 {
		return
	}
	if c.meanHint == 0 {
		c.meanHint = hint.Seconds()
	}
	c.meanHint += (hint.Seconds() - c.meanHint) * hintSmoothing
}

// observeCost updates the mean and deviation when a request has completed.
func (c *classStats) observeCost(cost float64) {
	c.meanDeviation += (math.Abs(cost-c.meanCost) - c.meanDeviation) * costSmoothing
	c.meanCost += (cost - c.meanCost) * costSmoothing
}

// updateHintAccuracy moves a group's hint accuracy towards that of a completed request: its cost over its class's mean,
// divided by its hint over the mean hint. If a group always overstates its costs, its hints soon count for less, down
// to minHintAccuracy of what they state.
func (c *classStats) updateHintAccuracy(accuracy float64, hint time.Duration, cost float64) float64 {
	if hint <= 0 || c.meanHint == 0 || c.meanCost <= 0 {
		return accuracy
	}
	observed := (cost / c.meanCost) / (hint.Seconds() / c.meanHint)
	observed = min(maxHintAccuracy, max(minHintAccuracy, observed))
	return accuracy + (observed-accuracy)*hintSmoothing
}
