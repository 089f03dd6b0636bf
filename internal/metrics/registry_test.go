package metrics

import (
	"strings"
	"sync"
	"testing"
)

// TestConservationAtEveryRead checks, while requests start and finish, that in each reading every started request is either finished or
// pending, and that no count is negative or decreases.
func TestConservationAtEveryRead(t *testing.T) {
	r := New("a", "b")
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for n := range 4 {
		clients.Go(func() {
			for i := 0; i < 20000; i++ {
				class := []string{"a", "b", "added"}[(i+n)%3] // "added" was not given to New
				request := r.Start(class)
				r.AttemptSent()
				request.Finish(Outcome(i % 3))
				request.Finish(Failed) // has no effect
			}
		})
	}
	go func() {
		clients.Wait()
		close(stop)
	}()
	var before Reading
	for running := true; running; {
		select {
		case <-stop:
			running = false
		default:
		}
		reading := r.Read()
		checkConservation(t, before, reading)
		before = reading
	}
	if reading := r.Read(); reading.Pending != 0 || reading.AttemptsSent != 80000 {
		t.Errorf("after all requests have finished: %+v, want 0 pending and 80000 attempts sent", reading)
	}
}

// checkConservation checks that the finished and pending requests of each class in a reading add up to its started requests, and that no
// count is below its value in an earlier reading, which is the parameter before.
func checkConservation(t *testing.T, before, reading Reading) {
	t.Helper()
	pending := int64(0)
	for _, class := range reading.Classes {
		finished := class.Finished[Completed] + class.Finished[Rejected] + class.Finished[Failed]
		if class.Pending < 0 || class.Started != finished+class.Pending {
			t.Fatalf("the finished and pending requests of a class do not add up to its started ones: %+v", class)
		}
		for _, previous := range before.Classes {
			if previous.Class == class.Class && (class.Started < previous.Started || class.Finished[Failed] < previous.Finished[Failed]) {
				t.Fatalf("the counts of a class decreased: %+v after %+v", class, previous)
			}
		}
		pending += class.Pending
	}
	if reading.Pending != pending || reading.AttemptsSent < before.AttemptsSent {
		t.Fatalf("the pending requests of the classes do not add up, or the attempts decreased: %+v", reading)
	}
}

// TestText checks the text of a reading, which has all metrics of each class even before the first request of the class.
func TestText(t *testing.T) {
	r := New("seat-search")
	r.Add("confirm")
	search, confirm := r.Start("seat-search"), r.Start("confirm")
	search.Finish(Completed)
	confirm.Finish(Rejected)
	r.Start("confirm")
	r.AttemptSent()
	r.ConfigReloaded(true)
	r.ConfigReloaded(false)
	reading := r.Read()
	reading.Members, reading.Unavailable = 12, 2
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
	if got := reading.Text(); got != want {
		t.Errorf("text of the reading is not the expected one:\n%s", got)
	}
	if strings.Count(New("x").Read().Text(), "\n") != 9 {
		t.Error("a class does not have all metrics before its first request")
	}
}

// BenchmarkRead measures Read after a million requests. Its duration does not depend on the number of requests.
func BenchmarkRead(b *testing.B) {
	r := New("a", "b", "c", "d")
	for range 1_000_000 {
		request := r.Start("a")
		request.Finish(Completed)
	}
	for b.Loop() {
		_ = r.Read().Text()
	}
}

func BenchmarkStartAndFinish(b *testing.B) {
	r := New("a", "b", "c", "d")
	for b.Loop() {
		request := r.Start("c")
		request.Finish(Completed)
	}
}
