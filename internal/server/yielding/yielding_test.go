package yielding

import (
	"testing"
	"time"
)

// Checks that all transfers pause until the same time, once per BytesPerYield bytes of all transfers together, that no transfer pauses
// longer, and that none pauses before that many bytes.
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
