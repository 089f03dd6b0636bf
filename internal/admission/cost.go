package admission

import (
	"math"
	"time"

	"orchiddrift/balancer"
)

// A request's cost is how long it holds a place beyond the door, in seconds: places are what there is too little of.
// Before it has ended that is an estimate, after it the difference is settled (sfq.settle).
const (
	costUsual   = 0.02  // of a class that nothing is known of
	costLeast   = 1e-6  // no request is free
	costRange   = 8.0   // an estimate is within this factor of its class's usual cost
	costBlend   = 0.05  // weight of one sample in the averages
	hintBlend   = 0.05  // and of one hint
	honestyLow  = 0.125 // bounds of a group's factor between hints and what its requests took
	honestyHigh = 8.0
)

// class is what the door knows of one class of requests.
type class struct {
	balancer.Class
	usual float64 // mean cost, s
	apart float64 // mean distance of costs from it, s
	long  float64 // mean cost over minutes, s; 0: not known yet
	hint  float64 // mean of the hints that come with it, s; 0: none came
}

// estimate is what a request is charged at first. honesty is what the group's earlier hints were worth.
func (c *class) estimate(hint time.Duration, honesty float64) float64 {
	cost := c.usual
	if hint > 0 && c.hint > 0 {
		cost *= min(costRange, max(1/costRange, hint.Seconds()/c.hint*honesty))
	}
	return max(costLeast, cost)
}

// mostly is what most requests cost at most, as TCP's retransmission timer has it (V. Jacobson, 1988): the mean and twice
// the mean distance from it.
func (c *class) mostly() time.Duration { return seconds(c.usual + 2*c.apart) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// hinted learns from a hint as it comes.
func (c *class) hinted(hint time.Duration) {
	if hint <= 0 {
		return
	}
	if c.hint == 0 {
		c.hint = hint.Seconds()
	}
	c.hint += (hint.Seconds() - c.hint) * hintBlend
}

// took learns from a request that went to its end.
func (c *class) took(cost float64) {
	c.apart += (math.Abs(cost-c.usual) - c.apart) * costBlend
	c.usual += (cost - c.usual) * costBlend
}

// honest moves a group's factor towards what one of its hinted requests took, against what its class takes for such a
// hint. Who always says ten times too much is soon taken at a tenth.
func (c *class) honest(factor float64, hint time.Duration, took float64) float64 {
	if hint <= 0 || c.hint == 0 || c.usual <= 0 {
		return factor
	}
	seen := (took / c.usual) / (hint.Seconds() / c.hint)
	seen = min(honestyHigh, max(honestyLow, seen))
	return factor + (seen-factor)*hintBlend
}
