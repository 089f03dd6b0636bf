package yielding

import (
	"testing"
	"time"
)

// Checks that a pause begins once all transfers together have transferred BytesPerYield bytes, and not earlier, and that all transfers
// pause until the same time.
func TestAllRestTogether(t *testing.T) {
	var yielder Yielder
	now, pieces := time.Hour, 0
	for ; yielder.Transferred(now, 32<<10) == 0; pieces++ {
		if now += 10 * time.Microsecond; pieces > 2*BytesPerYield/(32<<10) {
			t.Fatal("no transfer pauses after twice BytesPerYield bytes")
		}
	}
	if pieces != BytesPerYield/(32<<10)-1 {
		t.Errorf("the first pause comes after %d pieces, not after BytesPerYield bytes", pieces+1)
	}
	for _, late := range []time.Duration{YieldDuration / 4, YieldDuration / 2, YieldDuration} {
		if got := yielder.Transferred(now+late, 32<<10); got != YieldDuration-late {
			t.Errorf("a transfer that reports bytes %v after the pause began pauses for %v, want the rest of the pause", late, got)
		}
	}
}
