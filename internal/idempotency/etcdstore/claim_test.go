package etcdstore

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// openStore returns the Store of one process. The Store is closed when the test ends.
func openStore(t *testing.T, address string, change func(*Options)) *Store {
	t.Helper()
	o := Options{Declaration: Declaration{Servers: []string{address}, Prefix: "p/", Timeout: units.Duration(300 * time.Millisecond),
		Session: units.Duration(3 * time.Second)}, Service: "pay", Retention: time.Minute, MaxPending: 100, Log: slog.New(slog.DiscardHandler)}
	if change != nil {
		change(&o)
	}
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func testID(key any) idempotency.ID {
	return idempotency.ID{Tenant: "t", Class: "c", Key: fmt.Sprint(key)}
}

func testRequest(key any) idempotency.SharedRequest {
	return idempotency.SharedRequest{ID: testID(key), Fingerprint: idempotency.Fingerprint{1}, DedupWindow: 6 * time.Second}
}

// mustClaim calls Claim for a request and fails the test unless the verdict is want.
func mustClaim(t *testing.T, s *Store, request idempotency.SharedRequest, want idempotency.Verdict) Claim {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	c, err := s.Claim(ctx, request, func() {})
	if err != nil || c.Verdict != want {
		t.Fatalf("Claim of %v returned %+v and error %v, want the verdict that the test expects and no error", request.ID, c, err)
	}
	return c
}

func answeredRecord(request idempotency.SharedRequest, body string) *idempotency.Record {
	return &idempotency.Record{ID: request.ID, Fingerprint: request.Fingerprint, Outcome: idempotency.Answered, Answer: &idempotency.Answer{Status: 200, Body: []byte(body)}}
}

func uncertainRecord(request idempotency.SharedRequest, attempts ...idempotency.Attempt) *idempotency.Record {
	return &idempotency.Record{ID: request.ID, Fingerprint: request.Fingerprint, Outcome: idempotency.MayHaveRun, Attempts: attempts}
}

// TestClaimOfAnotherProcess checks that a process waits for a request that another process runs, and that it makes the right decision in
// each case: the request was answered, was not executed, or may have been executed, or the other process ended. A different request with
// the same key must be a conflict at the second process.
func TestClaimOfAnotherProcess(t *testing.T) {
	etcd, address := base.Etcd(t, fakes.EtcdOptions{})
	first := openStore(t, address, nil)
	second := openStore(t, address, func(o *Options) { o.MaxClockSkew = units.Duration(time.Second) })
	attempt := idempotency.Attempt{Zone: "z", Cell: 2, SentAt: 2 * time.Second}
	settle := func(record func(idempotency.SharedRequest) *idempotency.Record) func(Claim, idempotency.SharedRequest) {
		return func(c Claim, request idempotency.SharedRequest) { first.Settle(c, request.ID, record(request)) }
	}
	for _, c := range []struct {
		name  string
		end   func(Claim, idempotency.SharedRequest)
		want  idempotency.Verdict // verdict of the second process's claim
		again idempotency.Verdict // verdict of the first process's next claim; Wait means that the second process runs the request
	}{
		{"answered", settle(func(r idempotency.SharedRequest) *idempotency.Record { return answeredRecord(r, "paid") }), idempotency.Replay, idempotency.Replay},
		{"not executed", settle(func(idempotency.SharedRequest) *idempotency.Record { return nil }), idempotency.Execute, idempotency.Wait},
		{"too large", settle(func(r idempotency.SharedRequest) *idempotency.Record {
			return &idempotency.Record{ID: r.ID, Fingerprint: r.Fingerprint, Outcome: idempotency.Answered}
		}), idempotency.AnswerNotStored, idempotency.AnswerNotStored},
		{"may have run", settle(func(r idempotency.SharedRequest) *idempotency.Record { return uncertainRecord(r, attempt) }), idempotency.Execute, idempotency.Wait},
		{"may have run anywhere", settle(func(r idempotency.SharedRequest) *idempotency.Record {
			record := uncertainRecord(r, attempt)
			record.AttemptsUnknown = true
			return record
		}), idempotency.Fail, idempotency.Fail},
		{"may have run long ago", settle(func(r idempotency.SharedRequest) *idempotency.Record {
			return uncertainRecord(r, attempt, idempotency.Attempt{SentAt: 5100 * time.Millisecond})
		}), idempotency.Fail, idempotency.Fail},
		{"process ended", func(Claim, idempotency.SharedRequest) { etcd.Expire(3 * time.Second) }, idempotency.Fail, idempotency.Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := testRequest(c.name)
			claim := mustClaim(t, first, request, idempotency.Execute)
			other := request
			other.Fingerprint = idempotency.Fingerprint{2}
			mustClaim(t, second, other, idempotency.Conflict)
			got := claimWhileRunning(t, second, request, c.want, func() { c.end(claim, request) })
			if c.name == "may have run" {
				checkSkewedAttempt(t, got)
			}
			if c.want == idempotency.Replay && string(got.Answer.Body) != "paid" {
				t.Errorf("replayed answer: %+v, want the body paid", got.Answer)
			}
			if c.again == idempotency.Wait {
				second.Settle(got, request.ID, answeredRecord(request, "late"))
				c.again = idempotency.Replay
			}
			mustClaim(t, first, request, c.again)
		})
	}
}

// claimWhileRunning claims a request that another process runs. It checks that the claim waits, calls end, and returns the claim.
func claimWhileRunning(t *testing.T, s *Store, request idempotency.SharedRequest, want idempotency.Verdict, end func()) Claim {
	t.Helper()
	claims := make(chan Claim, 1)
	go func() { claims <- mustClaim(t, s, request, want) }()
	select {
	case got := <-claims:
		t.Fatalf("Claim did not wait while another process ran the request: %+v", got)
	case <-time.After(30 * time.Millisecond): // a claim that does not wait usually takes less time
	}
	end()
	return <-claims
}

// checkSkewedAttempt checks that a claim has one earlier attempt, whose age is its age of 2 s at the settlement plus the clock skew of 1 s.
func checkSkewedAttempt(t *testing.T, claim Claim) {
	t.Helper()
	got := claim.EarlierAttempts
	if len(got) != 1 || got[0].Zone != "z" || got[0].Cell != 2 || got[0].SentAt < 3*time.Second || got[0].SentAt > 4*time.Second {
		t.Errorf("earlier attempts of the claim: %+v, want one attempt with an age from 3 s to 4 s, clock skew included", got)
	}
}

// TestUnknownClockSkew checks that, without a bound on the clock skew, a request of uncertain outcome is executed again only by the process
// that sent its attempts, and that a waiting claim fails at its deadline.
func TestUnknownClockSkew(t *testing.T) {
	_, address := base.Etcd(t, fakes.EtcdOptions{})
	first, second := openStore(t, address, nil), openStore(t, address, nil)
	request := testRequest(1)
	first.Settle(mustClaim(t, first, request, idempotency.Execute), request.ID, uncertainRecord(request, idempotency.Attempt{Zone: "z"}))
	mustClaim(t, second, request, idempotency.Fail)
	request.EarlierAttempts = []idempotency.Attempt{{Zone: "z", SentAt: time.Second}}
	c := mustClaim(t, first, request, idempotency.Execute)
	if len(c.EarlierAttempts) != 1 || c.EarlierAttempts[0].SentAt < time.Second {
		t.Errorf("earlier attempts of the claim: %+v, want one attempt that is at least 1 s old", c.EarlierAttempts)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if c, err := second.Claim(ctx, request, func() {}); err != nil || c.Verdict != idempotency.Fail {
		t.Errorf("Claim that waited until its deadline returned %+v, error %v; want Fail", c, err)
	}
}
