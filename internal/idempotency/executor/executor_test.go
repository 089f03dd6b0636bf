package executor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// disk is a Journal that can be full.
type disk struct {
	mu   sync.Mutex
	full bool
	kept map[idempotency.ID]idempotency.Record
}

func (d *disk) Load(do func(time.Duration, idempotency.Record) error) error {
	for _, r := range d.kept {
		if err := do(time.Hour, r); err != nil {
			return err
		}
	}
	return nil
}

func (d *disk) Put(r *idempotency.Record, gone []idempotency.ID, _ time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("no space left on device")
	}
	if r != nil {
		d.kept[r.ID] = *r
	}
	for _, id := range gone {
		delete(d.kept, id)
	}
	return nil
}

func (d *disk) Close() error { return nil }

func keeper(t *testing.T, j RecordStore, change func(*idempotency.Options)) *Executor {
	t.Helper()
	o := idempotency.Default()
	o.TenantFraction = 1
	if change != nil {
		change(&o)
	}
	k, err := New(Options{Limits: o, DedupWindow: func(string) time.Duration { return 6 * time.Second }, Clock: clock.New(), Log: slog.New(slog.DiscardHandler), Records: j})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func paid(context.Context, []idempotency.Attempt, AttemptRecorder) Outcome {
	return Outcome{Verdict: idempotency.Replay, Answer: &idempotency.Answer{Status: 200, Body: []byte("paid")}}
}

func id(n int) idempotency.ID { return idempotency.ID{Tenant: "t", Class: "c", Key: fmt.Sprint(n)} }

// While the disk is full keyed requests are refused and nothing is sent, or go on, as the file says; what was kept is known, and once
// there is room again all is as before, with what was forgotten meanwhile taken off the disk.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, on := range []string{"refuse", ProceedOnError} {
			d := &disk{kept: map[idempotency.ID]idempotency.Record{}}
			k := keeper(t, d, func(o *idempotency.Options) { o.DiskError, o.Retention = on, units.Duration(time.Minute) })
			do := func(n int) idempotency.Verdict {
				return k.Do(t.Context(), id(n), idempotency.Fingerprint{}, paid).Verdict
			}
			do(1)
			synctest.Wait()
			d.full = true
			want := idempotency.Reject
			if on == ProceedOnError {
				want = idempotency.Replay
			}
			for range 3 {
				if got := do(2); got != want {
					t.Errorf("%s: %v", on, got)
				}
			}
			if got := do(1); got != idempotency.Replay {
				t.Errorf("%s: what was kept: %v", on, got)
			}
			time.Sleep(2 * time.Minute)
			do(3) // the first ones are forgotten with this
			synctest.Wait()
			d.full = false
			do(4)
			synctest.Wait()
			if _, is := d.kept[id(1)]; is || len(d.kept) == 0 {
				t.Errorf("%s: on the disk are %v", on, d.kept)
			}
			k.Close()
			again := keeper(t, d, nil)
			if r := again.Do(t.Context(), id(4), idempotency.Fingerprint{}, nil); r.Verdict != idempotency.Replay || string(r.Answer.Body) != "paid" {
				t.Errorf("%s: after a restart: %+v", on, r)
			}
			again.Close()
		}
	})
}

// Each of many that wait gets the one end, or leaves by itself: at its deadline with a failure, else without an answer; nothing is
// left of them, and after Close nothing is begun.
func TestWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := keeper(t, nil, nil)
		end := make(chan Outcome)
		results := make(chan Result, 20)
		ask := func(ctx context.Context) {
			go func() {
				results <- k.Do(ctx, id(1), idempotency.Fingerprint{}, func(context.Context, []idempotency.Attempt, AttemptRecorder) Outcome { return <-end })
			}()
			synctest.Wait()
		}
		ask(t.Context())
		late, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ask(late)
		leaves, leave := context.WithCancel(t.Context())
		ask(leaves)
		for range 3 {
			ask(t.Context())
		}
		leave()
		if r := <-results; !r.ClientLeft {
			t.Errorf("who left: %+v", r)
		}
		if r := <-results; r.Verdict != idempotency.Fail || r.ClientLeft {
			t.Errorf("at its deadline: %+v", r)
		}
		end <- Outcome{Verdict: idempotency.Reject, RetryAfter: time.Second}
		for range 4 {
			if r := <-results; r.Verdict != idempotency.Reject || r.RetryAfter != time.Second {
				t.Errorf("%+v", r)
			}
		}
		if keys, bytes, running := k.Stats(); keys+bytes+running != 0 {
			t.Errorf("%d keys of %d bytes are left, %d run", keys, bytes, running)
		}
		k.Close()
		if r := k.Do(t.Context(), id(2), idempotency.Fingerprint{}, nil); r.Verdict != idempotency.Reject {
			t.Errorf("after its end: %+v", r)
		}
	})
}

// 100,000 distinct keys a minute: what is held follows keep, within the bounds, and none is refused while there is room.
func TestManyKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := keeper(t, nil, func(o *idempotency.Options) { o.Retention = units.Duration(5 * time.Second) })
		defer k.Close()
		most, refused := 0, 0
		for n := range 200_000 {
			time.Sleep(600 * time.Microsecond)
			if k.Do(t.Context(), id(n), idempotency.Fingerprint{}, paid).Verdict != idempotency.Replay {
				refused++
			}
			if n%1000 == 0 {
				keys, bytes, _ := k.Stats()
				most = max(most, keys)
				if bytes > 16<<20 {
					t.Fatalf("%d bytes", bytes)
				}
			}
		}
		if refused > 0 || most > 8400 || most < 8000 { // 5 s of 1,667 a second
			t.Errorf("%d refused, %d keys at most", refused, most)
		}
	})
}
