package etcdstore

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/testutil/base"
)

// TestStoreUnavailable checks that no request is claimed while etcd is unavailable, that settlements are written when etcd is available
// again, and that a failed claim does not block its key forever, even if the claim's transaction is committed late.
func TestStoreUnavailable(t *testing.T) {
	var fault atomic.Int32
	etcd, address := base.Etcd(t, fakes.EtcdOptions{Fault: func() fakes.EtcdFault { return fakes.EtcdFault(fault.Load()) }, Late: 200 * time.Millisecond})
	first, second := openStore(t, address, nil), openStore(t, address, nil)
	answered := testRequest("answered")
	answeredClaim := mustClaim(t, first, answered, idempotency.Execute)
	mustClaim(t, second, testRequest("session"), idempotency.Execute) // starts the second process's session
	notExecuted := testRequest("not executed")
	notExecutedClaim := mustClaim(t, first, notExecuted, idempotency.Execute)
	faults := []fakes.EtcdFault{fakes.EtcdRefuse, fakes.EtcdLose, fakes.EtcdLate, fakes.EtcdHang}
	for i, f := range faults {
		fault.Store(int32(f))
		if c, err := first.Claim(t.Context(), testRequest(i), func() {}); err == nil {
			t.Errorf("Claim succeeded despite etcd fault %d: %+v", f, c)
		}
	}
	first.Settle(answeredClaim, answered.ID, answeredRecord(answered, "paid"))
	first.Settle(notExecutedClaim, notExecuted.ID, nil)
	etcd.Stop()
	fault.Store(0)
	if _, err := first.Claim(t.Context(), testRequest(9), func() {}); err == nil {
		t.Error("Claim succeeded while etcd was stopped")
	}
	if _, err := etcd.Start(); err != nil {
		t.Fatal(err)
	}
	base.Eventually(t, "a request that was not executed can be executed", func() bool {
		c, err := first.Claim(t.Context(), notExecuted, func() {})
		if err == nil && c.Verdict != idempotency.Execute {
			t.Fatalf("request was claimed before its settlement was written: %+v", c)
		}
		return err == nil
	})
	base.Eventually(t, "the answer is replayed by the other process", func() bool {
		c, err := second.Claim(t.Context(), answered, func() {})
		return err == nil && c.Verdict == idempotency.Replay && string(c.Answer.Body) == "paid"
	})
	for i := range faults {
		base.Eventually(t, "the failed claim is withdrawn", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			c, err := second.Claim(ctx, testRequest(i), func() {})
			return err == nil && c.Verdict == idempotency.Execute
		})
	}
}

// TestConnections checks that connections are encrypted and authenticated, that no request is claimed if encryption or authentication fails,
// and that a new session with new leases is started after the leases were lost.
func TestConnections(t *testing.T) {
	ca, otherCA := base.CA(t, "etcd"), base.CA(t, "other")
	etcd, address := base.Etcd(t, fakes.EtcdOptions{User: "pay", Password: "secret", TLS: base.ServerTLS(t, base.Issue(t, ca, "127.0.0.1"))})
	openWith := func(ca *fakes.CA, password string) *Store {
		return openStore(t, address, func(o *Options) {
			o.User, o.PasswordFile = "pay", base.File(t, "password", []byte(password+"\n"))
			o.TLS.CA = base.File(t, "ca.pem", ca.PEM)
		})
	}
	s := openWith(ca, "secret")
	mustClaim(t, s, testRequest(0), idempotency.Execute)
	for name, s := range map[string]*Store{"another authority": openWith(otherCA, "secret"), "another password": openWith(ca, "guess")} {
		if c, err := s.Claim(t.Context(), testRequest(name), func() {}); err == nil {
			t.Errorf("Claim succeeded with %s: %+v", name, c)
		}
	}
	for i := range 3 {
		etcd.Expire(time.Hour) // expires all leases, including the leases of records
		mustClaim(t, s, testRequest(i), idempotency.Execute)
	}
}
