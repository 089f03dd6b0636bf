package yielding

import (
	"testing"
	"time"
)

// All rest until the same moment, once in so many bytes of all of them; nobody rests longer, and none where little is passed on.
func TestAllRestTogether(t *testing.T) {
	var i Interlude
	now, pieces := time.Hour, 0
	for ; i.Passed(now, 32<<10) == 0; pieces++ {
		if now += 10 * time.Microsecond; pieces > 2*Every/(32<<10) {
			t.Fatal("nobody rests")
		}
	}
	if pieces != Every/(32<<10)-1 {
		t.Errorf("a rest after %d pieces", pieces+1)
	}
	for _, late := range []time.Duration{Rest / 4, Rest / 2, Rest} {
		if got := i.Passed(now+late, 32<<10); got != Rest-late {
			t.Errorf("who comes %v later rests %v", late, got)
		}
	}
}
