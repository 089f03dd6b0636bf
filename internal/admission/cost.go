package admission

import (
	"math"
	"time"

	"orchiddrift/balancer"
)

// A request's cost is how long it holds a place beyond the door, in seconds: places are what there is too little of.
// Before it has ended that is an estimate, after it the difference is settled (sfq.correctCost).
const (
	initialCost     = 0.02  // of a class that nothing is known of
	minCost         = 1e-6  // no request is free
	maxHintFactor   = 8.0   // an estimate is within this factor of its class's usual cost
	costSmoothing   = 0.05  // weight of one sample in the averages
	hintSmoothing   = 0.05  // and of one hint
	minHintAccuracy = 0.125 // bounds of a group's factor between hints and what its requests took
	maxHintAccuracy = 8.0
)

// classStats is what the door knows of one class of requests.
type classStats struct {
	balancer.Class
	meanCost      float64 // mean cost, s
	meanDeviation float64 // mean distance of costs from it, s
	longTermCost  float64 // mean cost over minutes, s; 0: not known yet
	meanHint      float64 // mean of the hints that come with it, s; 0: none came
}

// estimateCost is what a request is charged at first. honesty is what the group's earlier hints were worth.
func (c *classStats) estimateCost(hint time.Duration, honesty float64) float64 {
	cost := c.meanCost
	if hint > 0 && c.meanHint > 0 {
		cost *= min(maxHintFactor, max(1/maxHintFactor, hint.Seconds()/c.meanHint*honesty))
	}
	return max(minCost, cost)
}

// costBound is what most requests cost at most, as TCP's retransmission timer has it (V. Jacobson, 1988): the mean and twice
// the mean distance from it.
func (c *classStats) costBound() time.Duration { return seconds(c.meanCost + 2*c.meanDeviation) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// observeHint learns from a hint as it comes.
func (c *classStats) observeHint(hint time.Duration) {
	if hint <= 0 {
		return
	}
	if c.meanHint == 0 {
		c.meanHint = hint.Seconds()
	}
	c.meanHint += (hint.Seconds() - c.meanHint) * hintSmoothing
}

// observeCost learns from a request that went to its end.
func (c *classStats) observeCost(cost float64) {
	c.meanDeviation += (math.Abs(cost-c.meanCost) - c.meanDeviation) * costSmoothing
	c.meanCost += (cost - c.meanCost) * costSmoothing
}

// updateHintAccuracy moves a group's factor towards what one of its hinted requests took, against what its class takes for such a
// hint. Who always says ten times too much is soon taken at a tenth.
func (c *classStats) updateHintAccuracy(factor float64, hint time.Duration, took float64) float64 {
	if hint <= 0 || c.meanHint == 0 || c.meanCost <= 0 {
		return factor
	}
	seen := (took / c.meanCost) / (hint.Seconds() / c.meanHint)
	seen = min(maxHintAccuracy, max(minHintAccuracy, seen))
	return factor + (seen-factor)*hintSmoothing
}
