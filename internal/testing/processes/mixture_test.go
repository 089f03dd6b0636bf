package processes

import (
	"fmt"
	"testing"
	"time"

	"orchiddrift/internal/loadgen/hostile"
)

// mixtureTime is how long the mixture of hostile clients is played.
const mixtureTime = 12 * time.Second

// mixturesAtOnce is how many mixtures are played beside each other, each with a process of its own, which has one core.
const mixturesAtOnce = 2

// tailFactor is how many times their time without hostile clients the slowest of usual clients may take beside them.
const tailFactor = 3

// A process passed its memory limit, and usual clients were cut off, while clients of several kinds at once, more than there are places for,
// left and came again.
func TestMixtureOfHostileClients(t *testing.T) {
	playing := make(chan struct{}, mixturesAtOnce)
	for _, memoryMB := range []int{32, 48, 64, 192} {
		t.Run(fmt.Sprintf("%d MB", memoryMB), func(t *testing.T) {
			t.Parallel()
			playing <- struct{}{}
			defer func() { <-playing }()
			result := playHostile(t, hostile.Mixture(1), memoryMB, mixtureTime)
			if result.Ended || result.ResidentMB > float64(memoryMB) {
				t.Errorf("%v: want at most %d MiB", result, memoryMB)
			}
			if result.Lost > 0 || result.Served == 0 {
				t.Errorf("%v: want an answer to each request of usual clients", result)
			}
		})
	}
}

// Usual clients waited for seconds beside the mixture of hostile ones.
func TestUsualClientsBesideTheMixture(t *testing.T) {
	for _, memoryMB := range []int{32, 192} {
		t.Run(fmt.Sprintf("%d MB", memoryMB), func(t *testing.T) {
			usual := playHostile(t, hostile.Usual(), memoryMB, floodTime)
			result := playHostile(t, hostile.Mixture(2), memoryMB, crowdTime)
			if limit := tailFactor * usual.P99; result.P99 > limit {
				t.Errorf("the slowest of usual clients take %v, want at most %d times the %v without hostile clients", result.P99, tailFactor, usual.P99)
			}
		})
	}
}
