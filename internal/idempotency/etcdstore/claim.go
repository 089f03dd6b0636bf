package etcdstore

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/recordcodec"
)

const (
	// recordPollInterval is how long a request waits at most for a watch event of another process's record before it reads the record again.
	recordPollInterval = time.Second
	// watchBackoff is the pause after a watch that was canceled by the server.
	watchBackoff = 100 * time.Millisecond
)

// Claim is the decision on a request. If its verdict is Execute, the request is claimed, and Store.Settle must follow.
type Claim struct {
	idempotency.Decision
	name     string
	revision int64 // of the claim's record; 0: not known
}

// Claim claims a request, or returns what else becomes of it. While another process runs it, Claim waits until the deadline of ctx, where
// the verdict is Fail. It fills in request.Process and request.MaxClockSkew.
//
// Claim calls confirmKey once the key is known to belong to this very request and not to another one of the same key, since it may wait
// for long after that. An error means that etcd is not available and the request must not be executed on its behalf.
func (s *Store) Claim(ctx context.Context, request idempotency.SharedRequest, confirmKey func()) (Claim, error) {
	if err := s.settlePending(ctx, request.ID); err != nil {
		return Claim{}, err
	}
	request.MaxClockSkew = s.options.MaxClockSkew.D()
	own := agedAttempts{request.EarlierAttempts, time.Now()}
	c := claimer{store: s, request: request, key: s.recordKey(request.ID), confirmKey: confirmKey, own: own, earlier: own}
	for range maxTransactionAttempts {
		claim, done, err := c.try(ctx)
		if done || err != nil {
			return claim, err
		}
	}
	return Claim{}, errContended
}

// claimer is the state of one call of Store.Claim.
type claimer struct {
	store      *Store
	request    idempotency.SharedRequest
	key        string // in etcd
	confirmKey func()
	own        agedAttempts // known to this process

	// What the next transaction does: it writes a record with these earlier attempts if the present record has this revision.
	earlier  agedAttempts
	revision int64               // 0: there must be no record
	replaced *idempotency.Record // the record of that revision; nil: none
}

// expectNoRecord makes the next transaction create the record.
func (c *claimer) expectNoRecord() { c.earlier, c.revision, c.replaced = c.own, 0, nil }

// try runs one transaction. It returns true if the claim is decided on, and false if it has to be tried again.
func (c *claimer) try(ctx context.Context) (Claim, bool, error) {
	s := c.store
	at, err := s.ensureSession(ctx)
	if err != nil {
		return Claim{}, false, err
	}
	c.request.Process = at.process
	name := s.nextClaimName(at.process)
	response, err := c.commit(ctx, at, name)
	switch {
	case errors.Is(err, rpctypes.ErrLeaseNotFound):
		return Claim{}, false, nil
	case err != nil: // it may have been committed, or may still be
		s.addSettlement(&settlement{
			id:             c.request.ID,
			claim:          name,
			record:         c.replaced,
			withdrawal:     true,
			mayCommitUntil: time.Now().Add(lateCommitTimeout),
		})
		return Claim{}, false, err
	case response.Succeeded:
		return c.claimed(name, response.Header.Revision), true, nil
	}
	records := response.Responses[0].GetResponseRange().Kvs
	if len(records) == 0 {
		if c.revision == 0 { // there is no record, so it is the session that has ended
			s.dropSession(at.lease)
		}
		c.expectNoRecord()
		return Claim{}, false, nil
	}
	return c.resolve(ctx, at, name, records[0], response.Header.Revision)
}

// commit runs the transaction of a claim. Where its conditions do not hold it returns the present record.
func (c *claimer) commit(ctx context.Context, at session, name string) (*clientv3.TxnResponse, error) {
	owner := leaseName(at.lease)
	value := recordcodec.EncodeShared(&idempotency.SharedRecord{
		Owner: owner,
		Claim: name,
		Record: idempotency.Record{
			ID:          c.request.ID,
			Fingerprint: c.request.Fingerprint,
			Running:     true,
			Attempts:    c.earlier.wallTimes(),
		},
	})
	conditions := []clientv3.Cmp{
		clientv3.Compare(clientv3.ModRevision(c.key), "=", c.revision),
		clientv3.Compare(clientv3.CreateRevision(c.store.ownerKey(owner)), ">", 0),
	}
	return c.store.commit(ctx, at, conditions, clientv3.OpPut(c.key, string(value), clientv3.WithLease(at.recordLease)), clientv3.OpGet(c.key))
}

// claimed returns the claim that a transaction of that revision has made.
func (c *claimer) claimed(name string, revision int64) Claim {
	decision := idempotency.Decision{Verdict: idempotency.Execute, EarlierAttempts: c.earlier.ages()}
	return Claim{Decision: decision, name: name, revision: revision}
}

// resolve decides on a request whose key has a record, as of that revision of etcd. Its results are those of try.
func (c *claimer) resolve(ctx context.Context, at session, name string, kv *mvccpb.KeyValue, revision int64) (Claim, bool, error) {
	s := c.store
	record, err := recordcodec.DecodeShared(kv.Value)
	if err != nil {
		return Claim{}, false, s.trackAvailability(err)
	}
	if record.Claim == name { // the client library sent the transaction twice
		return c.claimed(name, kv.ModRevision), true, nil
	}
	owner := s.ownerKey(record.Owner)
	ownerAlive := false
	if record.Running {
		response, err := s.get(ctx, at, owner)
		if err != nil {
			return Claim{}, false, err
		}
		ownerAlive = len(response.Kvs) > 0
	}
	c.request.EarlierAttempts = c.own.ages()
	now := time.Now()
	decision := c.request.Resolve(&record, ownerAlive, sinceEpoch(now))
	switch decision.Verdict {
	case idempotency.Execute:
		c.earlier, c.revision, c.replaced = agedAttempts{decision.EarlierAttempts, now}, kv.ModRevision, &record.Record
		return Claim{}, false, nil
	case idempotency.Wait:
		c.confirmKey()
		if !s.waitForChange(ctx, at, c.key, owner, revision+1) {
			return Claim{Decision: idempotency.Decision{Verdict: idempotency.Fail}}, true, nil
		}
		c.expectNoRecord()
		return Claim{}, false, nil
	default:
		return Claim{Decision: decision}, true, nil
	}
}

// nextClaimName returns a name that no other claim has.
func (s *Store) nextClaimName(process string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims++
	return idempotency.ClaimName(process, strconv.FormatUint(s.claims, 36))
}

// waitForChange returns true when a record may have changed since that revision, or its owner's session may have ended; false if ctx or the
// Store has ended.
func (s *Store) waitForChange(ctx context.Context, at session, recordKey, ownerKey string, revision int64) bool {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	poll := time.NewTimer(recordPollInterval)
	defer poll.Stop()
	var response clientv3.WatchResponse
	select {
	case response = <-at.client.Watch(ctx, recordKey, clientv3.WithRev(revision)):
	case response = <-at.client.Watch(ctx, ownerKey, clientv3.WithRev(revision), clientv3.WithFilterPut()):
	case <-poll.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
	if len(response.Events) == 0 { // the watch was canceled
		select {
		case <-time.After(watchBackoff):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil && s.ctx.Err() == nil
}

// Lookup returns the stored outcome of a request that this process must not execute, or Fail if there is none.
func (s *Store) Lookup(ctx context.Context, request idempotency.SharedRequest) (idempotency.Decision, error) {
	fail := idempotency.Decision{Verdict: idempotency.Fail}
	at, err := s.ensureSession(ctx)
	if err != nil {
		return fail, err
	}
	response, err := s.get(ctx, at, s.recordKey(request.ID))
	if err != nil || len(response.Kvs) == 0 {
		return fail, err
	}
	record, err := recordcodec.DecodeShared(response.Kvs[0].Value)
	if err != nil || record.Running || record.Outcome != idempotency.Answered {
		return fail, err
	}
	return request.Resolve(&record, false, 0), nil
}
