package yielding

import (
	"testing"
	"time"
)

// All rest until the same moment, once in so many bytes of all of them; nobody rests longer, and none where little is passed on.
func TestAllRestTogether(t *testing.T) {
	var i Yielder
	now, pieces := time.Hour, 0
	for ; i.Transferred(now, 32<<10) == 0; pieces++ {
		if now += 10 * time.Microsecond; pieces > 2*BytesPerYield/(32<<10) {
			t.Fatal("nobody rests")
		}
	}
	if pieces != BytesPerYield/(32<<10)-1 {
		t.Errorf("a rest after %d pieces", pieces+1)
	}
	for _, late := range []time.Duration{YieldDuration / 4, YieldDuration / 2, YieldDuration} {
		if got := i.Transferred(now+late, 32<<10); got != YieldDuration-late {
			t.Errorf("who comes %v later rests %v", late, got)
		}
	}
}
