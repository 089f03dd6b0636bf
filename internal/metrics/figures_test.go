package metrics

import (
	"strings"
	"sync"
	"testing"
)

// Guards against readings that don't add up: whatever is read while requests come and go, each that was taken has ended or is
// pending, no count falls, and none is below 0.
func TestConservationAtEveryRead(t *testing.T) {
	c := New("a", "b")
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for n := range 4 {
		clients.Go(func() {
			for i := 0; i < 20000; i++ {
				class := []string{"a", "b", "late"}[(i+n)%3] // "late" comes with a reload
				taken := c.Start(class)
				c.AttemptSent()
				taken.Finish(Outcome(i % 3))
				taken.Finish(Failed) // counts nothing
			}
		})
	}
	go func() {
		clients.Wait()
		close(stop)
	}()
	var before Reading
	for reading := true; reading; {
		select {
		case <-stop:
			reading = false
		default:
		}
		f := c.Read()
		sum := int64(0)
		for _, class := range f.Classes {
			ended := class.Ended[Completed] + class.Ended[Rejected] + class.Ended[Failed]
			if class.Pending < 0 || class.Taken != ended+class.Pending {
				t.Fatalf("%+v", class)
			}
			for _, was := range before.Classes {
				if was.Class == class.Class && (class.Taken < was.Taken || class.Ended[Failed] < was.Ended[Failed]) {
					t.Fatalf("%+v after %+v", class, was)
				}
			}
			sum += class.Pending
		}
		if f.Pending != sum || f.Sent < before.Sent {
			t.Fatalf("%+v", f)
		}
		before = f
	}
	if f := c.Read(); f.Pending != 0 || f.Sent != 80000 {
		t.Errorf("at rest: %+v", f)
	}
}

// Guards against figures under other names than the operators' page has, and classes that are missing before their first request.
func TestText(t *testing.T) {
	c := New("seat-search")
	c.Add("confirm")
	a, b := c.Start("seat-search"), c.Start("confirm")
	a.Finish(Completed)
	b.Finish(Rejected)
	c.Start("confirm")
	c.AttemptSent()
	c.ConfigReloaded(true)
	c.ConfigReloaded(false)
	f := c.Read()
	f.Members, f.Unavailable = 12, 2
	want := `downstream_requests.confirm.completed=0
downstream_requests.confirm.rejected=1
downstream_requests.confirm.failed=0
downstream_requests.seat-search.completed=1
downstream_requests.seat-search.rejected=0
downstream_requests.seat-search.failed=0
upstream_requests=1
pending=1
members=12
members_unavailable=2
config_reloads=1
config_reload_errors=1
`
	if got := f.Text(); got != want {
		t.Errorf("%s", got)
	}
	if strings.Count(New("x").Read().Text(), "\n") != 9 {
		t.Error("a class has no figures before its first request")
	}
}

// Reading costs the same after a million requests as before.
func BenchmarkRead(b *testing.B) {
	c := New("a", "b", "c", "d")
	for range 1_000_000 {
		t := c.Start("a")
		t.Finish(Completed)
	}
	for b.Loop() {
		_ = c.Read().Text()
	}
}

func BenchmarkTakeAndEnd(b *testing.B) {
	c := New("a", "b", "c", "d")
	for b.Loop() {
		t := c.Start("c")
		t.Finish(Completed)
	}
}
