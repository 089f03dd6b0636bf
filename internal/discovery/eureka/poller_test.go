package eureka

import (
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/units"
)

// toldWithin is by when a change counts as told that the registry had and could tell.
const toldWithin = 6 * time.Second

// Guards against a drain that is heard of too late behind an outage of the registry: by default a poll that just missed its return, two more
// that a crowded registry turns away, and the one that is answered fit into the time within which a change counts as told.
func TestPollsBehindAnOutageAreInTime(t *testing.T) {
	poll, timeout, most := defaultOf(t, "Poll"), defaultOf(t, "Timeout"), defaultOf(t, "Backoff")
	p := poller{failures: 100}
	sum := timeout // of the poll that just missed it
	for range 3 {
		sum += p.wait(poll, most, 1)
		p.failures++
	}
	if sum += timeout; sum > toldWithin {
		t.Errorf("the third poll behind the registry's return is answered after %v", sum)
	}
}

func defaultOf(t *testing.T, name string) time.Duration {
	t.Helper()
	field, ok := reflect.TypeFor[Declaration]().FieldByName(name)
	if !ok {
		t.Fatalf("no %s", name)
	}
	var d units.Duration
	if err := d.UnmarshalText([]byte(field.Tag.Get("default"))); err != nil {
		t.Fatal(err)
	}
	return d.D()
}
