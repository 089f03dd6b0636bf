package eureka

import (
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/units"
)

// notificationDeadline is the time within which a change must be noticed once the registry has it and can be reached.
const notificationDeadline = 6 * time.Second

// TestPollsAfterOutageMeetDeadline guards against default options with which a change is noticed too late after an outage. A poll that
// began just before the end of the outage, two more failed polls, and a successful poll must fit into the notification deadline.
func TestPollsAfterOutageMeetDeadline(t *testing.T) {
	interval, timeout, maxBackoff := defaultOf(t, "Poll"), defaultOf(t, "Timeout"), defaultOf(t, "Backoff")
	p := pollState{failures: 100}
	sum := timeout // timeout of the poll that began just before the end of the outage
	for range 3 {
		sum += p.wait(interval, maxBackoff, 1)
		p.failures++
	}
	if sum += timeout; sum > notificationDeadline {
		t.Errorf("the third poll after the end of the outage is answered after %v, later than the notification deadline", sum)
	}
}

// defaultOf returns the default of a field of Declaration that is a duration.
func defaultOf(t *testing.T, name string) time.Duration {
	t.Helper()
	field, ok := reflect.TypeFor[Declaration]().FieldByName(name)
	if !ok {
		t.Fatalf("Declaration has no field %s", name)
	}
	var d units.Duration
	if err := d.UnmarshalText([]byte(field.Tag.Get("default"))); err != nil {
		t.Fatal(err)
	}
	return d.D()
}
