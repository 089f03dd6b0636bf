package eureka

import (
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/units"
)

// notificationDeadline is by when a change counts as notified that the registry had and could be reached for.
const notificationDeadline = 6 * time.Second

// With the default options a poll that just missed the registry's return, two more that it rejects, and the one that it answers fit into
// the notification deadline.
func TestPollsAfterOutageMeetDeadline(t *testing.T) {
	interval, timeout, maxBackoff := defaultOf(t, "Poll"), defaultOf(t, "Timeout"), defaultOf(t, "Backoff")
	p := pollState{failures: 100}
	sum := timeout // of the poll that just missed it
	for range 3 {
		sum += p.wait(interval, maxBackoff, 1)
		p.failures++
	}
	if sum += timeout; sum > notificationDeadline {
		t.Errorf("the third poll behind the registry's return is answered after %v", sum)
	}
}

// defaultOf returns the default of a duration of Declaration.
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
