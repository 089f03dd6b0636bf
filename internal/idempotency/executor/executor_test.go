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

// fakeDisk is a RecordStore in memory. Its Put fails while full is set.
type fakeDisk struct {
	mu      sync.Mutex
	full    bool
	records map[idempotency.ID]idempotency.Record
}

func (d *fakeDisk) Clock() (time.Duration, error) { return time.Hour, nil }

func (d *fakeDisk) Load(do func(time.Duration, idempotency.Record) error) error {
	for _, r := range d.records {
		if err := do(time.Hour, r); err != nil {
			return err
		}
	}
	return nil
}

func (d *fakeDisk) Put(record *idempotency.Record, expired []idempotency.ID, _ time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("no space left on device")
	}
	if record != nil {
		d.records[record.ID] = *record
	}
	for _, id := range expired {
		delete(d.records, id)
	}
	return nil
}

func (d *fakeDisk) Close() error { return nil }

func newTestExecutor(t *testing.T, records RecordStore, change func(*idempotency.Options)) *Executor {
	t.Helper()
	limits := idempotency.Default()
	limits.TenantFraction = 1
	if change != nil {
		change(&limits)
	}
	e, err := New(Options{Limits: limits, DedupWindow: func(string) time.Duration { return 6 * time.Second }, Clock: clock.New(), Log: slog.New(slog.DiscardHandler), Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// runPayment is a RunFunc that answers "paid".
func runPayment(context.Context, []idempotency.Attempt, AttemptRecorder) Outcome {
	return Outcome{Verdict: idempotency.Replay, Answer: &idempotency.Answer{Status: 200, Body: []byte("paid")}}
}

func testID(n int) idempotency.ID { return idempotency.ID{Tenant: "t", Class: "c", Key: fmt.Sprint(n)} }

// TestFullDisk checks that, while the disk is full, requests are rejected or executed without a record, depending on DiskError, and stored
// answers are replayed. Once the disk has space again, records must be written and expired records deleted.
func TestFullDisk(t *testing.T) {
	for _, onError := range []string{"refuse", ProceedOnError} {
		t.Run(onError, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testFullDisk(t, onError) }) })
	}
}

func testFullDisk(t *testing.T, onError string) {
	disk := &fakeDisk{records: map[idempotency.ID]idempotency.Record{}}
	e := newTestExecutor(t, disk, func(o *idempotency.Options) { o.DiskError, o.Retention = onError, units.Duration(time.Minute) })
	do := func(n int) idempotency.Verdict {
		return e.Do(t.Context(), testID(n), idempotency.Fingerprint{}, runPayment).Verdict
	}
	do(1)
	synctest.Wait()
	disk.full = true
	want := idempotency.Reject
	if onError == ProceedOnError {
		want = idempotency.Replay
	}
	for range 3 {
		if got := do(2); got != want {
			t.Errorf("verdict %v for a new key while the disk is full, want the verdict that DiskError requires", got)
		}
	}
	if got := do(1); got != idempotency.Replay {
		t.Errorf("verdict %v for an answered key while the disk is full, want Replay", got)
	}
	time.Sleep(2 * time.Minute)
	do(3) // expires keys 1 and 2
	synctest.Wait()
	disk.full = false
	do(4)
	synctest.Wait()
	if _, found := disk.records[testID(1)]; found || len(disk.records) == 0 {
		t.Errorf("records on the disk: %v; want at least one record, but not the record of the expired key 1", disk.records)
	}
	e.Close()
	restarted := newTestExecutor(t, disk, nil)
	if r := restarted.Do(t.Context(), testID(4), idempotency.Fingerprint{}, nil); r.Verdict != idempotency.Replay || string(r.Answer.Body) != "paid" {
		t.Errorf("result for an answered key after a restart: %+v, want Replay of its answer", r)
	}
	restarted.Close()
}

// TestWaitingClients checks that all clients that wait for one execution get its outcome, that a client gets Fail at its deadline, or
// ClientLeft when its context is canceled, that no state remains afterwards, and that nothing is executed after Close.
func TestWaitingClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, nil, nil)
		outcome := make(chan Outcome)
		results := make(chan Result, 20)
		request := func(ctx context.Context) {
			go func() {
				results <- e.Do(ctx, testID(1), idempotency.Fingerprint{}, func(context.Context, []idempotency.Attempt, AttemptRecorder) Outcome { return <-outcome })
			}()
			synctest.Wait()
		}
		request(t.Context())
		withDeadline, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		request(withDeadline)
		canceled, leave := context.WithCancel(t.Context())
		request(canceled)
		for range 3 {
			request(t.Context())
		}
		leave()
		if r := <-results; !r.ClientLeft {
			t.Errorf("result for a client whose context was canceled: %+v, want ClientLeft", r)
		}
		if r := <-results; r.Verdict != idempotency.Fail || r.ClientLeft {
			t.Errorf("result for a client at its deadline: %+v, want Fail", r)
		}
		outcome <- Outcome{Verdict: idempotency.Reject, RetryAfter: time.Second}
		for range 4 {
			if r := <-results; r.Verdict != idempotency.Reject || r.RetryAfter != time.Second {
				t.Errorf("result for a client that waited for the outcome: %+v, want Reject with RetryAfter 1s", r)
			}
		}
		if keys, bytes, running := e.Stats(); keys+bytes+running != 0 {
			t.Errorf("%d keys of %d bytes remain and %d requests run after all clients got their results; want none", keys, bytes, running)
		}
		e.Close()
		if r := e.Do(t.Context(), testID(2), idempotency.Fingerprint{}, nil); r.Verdict != idempotency.Reject {
			t.Errorf("result for a request after Close: %+v, want Reject", r)
		}
	})
}

// TestManyKeys sends 100,000 distinct keys a minute. It checks that the number of known keys follows the retention and stays within the
// limits, and that no request is rejected while there is capacity.
func TestManyKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(t, nil, func(o *idempotency.Options) { o.Retention = units.Duration(5 * time.Second) })
		defer e.Close()
		maxKeys, rejected := 0, 0
		for n := range 200_000 {
			time.Sleep(600 * time.Microsecond)
			if e.Do(t.Context(), testID(n), idempotency.Fingerprint{}, runPayment).Verdict != idempotency.Replay {
				rejected++
			}
			if n%1000 == 0 {
				keys, bytes, _ := e.Stats()
				maxKeys = max(maxKeys, keys)
				if bytes > 16<<20 {
					t.Fatalf("keys take %d bytes, over the limit of 16 MiB", bytes)
				}
			}
		}
		if rejected > 0 || maxKeys > 8400 || maxKeys < 8000 { // 5 s at 1,667 keys a second
			t.Errorf("%d requests rejected, want 0; %d keys known at the same time, want 8000 to 8400", rejected, maxKeys)
		}
	})
}

// laterDisk is a fakeDisk whose clock has gone on far.
type laterDisk struct{ *fakeDisk }

const laterClock = 1 << 60 * time.Nanosecond

func (laterDisk) Clock() (time.Duration, error) { return laterClock, nil }

// A file whose keys had all expired lost its clock: the next process began at the clock's start, its records looked older than the file's
// clock, and the process behind that forgot keys of a second ago.
func TestClockGoesOnWithoutRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &fakeDisk{records: map[idempotency.ID]idempotency.Record{}}
		e := newTestExecutor(t, laterDisk{disk}, nil)
		e.Do(t.Context(), testID(1), idempotency.Fingerprint{}, runPayment)
		e.Close()
		if at := disk.records[testID(1)].UpdatedAt; at < laterClock {
			t.Errorf("the record was written at %v on the durable clock, want at least the %v at which the process before had ended", at, laterClock)
		}
	})
}
