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
	// recordPollInterval is the longest time for which a claim waits for a watch event of another process's record. After that it reads the
	// record again.
	recordPollInterval = time.Second
	// watchBackoff is the pause before the record is read again after the server canceled a watch.
	watchBackoff = 100 * time.Millisecond
)

// Claim is the decision on a request. If its verdict is Execute, the request is claimed, and the caller must call Store.Settle.
type Claim struct {
	idempotency.Decision
	name     string
	revision int64 // etcd revision of the claim's record, or 0 if it is unknown
}

// Claim claims a request, or returns another verdict on it. While another process runs the request, Claim waits. If ctx ends before the
// other process finishes, Claim returns the verdict Fail. Claim sets request.Process and request.MaxClockSkew itself.
//
// Before it waits, Claim calls confirmKey, since the key is then known to belong to this request and not to a different request with the
// same key. An error means that the request is not claimed, in most cases because etcd is unavailable.
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
	key        string // etcd key of the record
	confirmKey func()
	own        agedAttempts // earlier attempts known to this process

	// The next transaction writes a record with the attempts in earlier if the present record has the given revision.
	earlier  agedAttempts
	revision int64               // 0 if no record may exist
	replaced *idempotency.Record // the record of that revision, or nil
}

// expectNoRecord makes the next transaction create the record, on the condition that no record exists.
func (c *claimer) expectNoRecord() { c.earlier, c.revision, c.replaced = c.own, 0, nil }

// try runs one transaction. It returns true if the claim is decided, and false if another transaction is needed.
func (c *claimer) try(ctx context.Context) (Claim, bool, error) {
	s := c.store
	current, err := s.ensureSession(ctx)
	if err != nil {
		return Claim{}, false, err
	}
	c.request.Process = current.process
	name := s.nextClaimName(current.process)
	response, err := c.commit(ctx, current, name)
	switch {
	case errors.Is(err, rpctypes.ErrLeaseNotFound):
		return Claim{}, false, nil
	case err != nil: // the transaction may have been committed, or may be committed later
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
		if c.revision == 0 { // the transaction expected no record, so it failed because the session has ended
			s.dropSession(current.lease)
		}
		c.expectNoRecord()
		return Claim{}, false, nil
	}
	return c.resolve(ctx, current, name, records[0], response.Header.Revision)
}

// commit runs the transaction of a claim. If its conditions do not hold, the response contains the present record.
func (c *claimer) commit(ctx context.Context, current session, name string) (*clientv3.TxnResponse, error) {
	owner := leaseName(current.lease)
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
	return c.store.commit(ctx, current, conditions, clientv3.OpPut(c.key, string(value), clientv3.WithLease(current.recordLease)), clientv3.OpGet(c.key))
}

// claimed returns the claim that was committed at revision.
func (c *claimer) claimed(name string, revision int64) Claim {
	decision := idempotency.Decision{Verdict: idempotency.Execute, EarlierAttempts: c.earlier.ages()}
	return Claim{Decision: decision, name: name, revision: revision}
}

// resolve decides on a request whose key has the record kv, which was read at the given revision of etcd. Its results have the same meaning
// as the results of try.
func (c *claimer) resolve(ctx context.Context, current session, name string, kv *mvccpb.KeyValue, revision int64) (Claim, bool, error) {
	s := c.store
	record, err := recordcodec.DecodeShared(kv.Value)
	if err != nil {
		return Claim{}, false, s.trackAvailability(err)
	}
	if record.Claim == name { // the etcd client sent the transaction twice
		return c.claimed(name, kv.ModRevision), true, nil
	}
	owner := s.ownerKey(record.Owner)
	ownerAlive := false
	if record.Running {
		response, err := s.get(ctx, current, owner)
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
		if !s.waitForChange(ctx, current, c.key, owner, revision+1) {
			return Claim{Decision: idempotency.Decision{Verdict: idempotency.Fail}}, true, nil
		}
		c.expectNoRecord()
		return Claim{}, false, nil
	default:
		return Claim{Decision: decision}, true, nil
	}
}

// nextClaimName returns a unique name for a claim.
func (s *Store) nextClaimName(process string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims++
	return idempotency.ClaimName(process, strconv.FormatUint(s.claims, 36))
}

// waitForChange returns true when a record may have changed at the given revision or later, or when its owner's session may have ended. It
// returns false if ctx ends or the Store is closed before.
func (s *Store) waitForChange(ctx context.Context, current session, recordKey, ownerKey string, revision int64) bool {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	poll := time.NewTimer(recordPollInterval)
	defer poll.Stop()
	var response clientv3.WatchResponse
	select {
	case response = <-current.client.Watch(ctx, recordKey, clientv3.WithRev(revision)):
	case response = <-current.client.Watch(ctx, ownerKey, clientv3.WithRev(revision), clientv3.WithFilterPut()):
	case <-poll.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
	if len(response.Events) == 0 { // the server canceled the watch
		select {
		case <-time.After(watchBackoff):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil && s.ctx.Err() == nil
}

// Lookup looks for the stored answer to a request that this process must not execute. It returns the decision that follows from the answer,
// or Fail if no answer is stored.
func (s *Store) Lookup(ctx context.Context, request idempotency.SharedRequest) (idempotency.Decision, error) {
	fail := idempotency.Decision{Verdict: idempotency.Fail}
	current, err := s.ensureSession(ctx)
	if err != nil {
		return fail, err
	}
	response, err := s.get(ctx, current, s.recordKey(request.ID))
	if err != nil || len(response.Kvs) == 0 {
		return fail, err
	}
	record, err := recordcodec.DecodeShared(response.Kvs[0].Value)
	if err != nil || record.Running || record.Outcome != idempotency.Answered {
		return fail, err
	}
	return request.Resolve(&record, false, 0), nil
}
