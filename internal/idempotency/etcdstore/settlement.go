package etcdstore

import (
	"context"
	"errors"
	"time"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/recordcodec"
)

// settleRetryInterval is the pause between two attempts to write a settlement.
const settleRetryInterval = time.Second

// settlement is a write to etcd that ends a claim. It writes the outcome of the claim, or withdraws a claim whose transaction failed but may
// have been committed.
type settlement struct {
	id             idempotency.ID
	claim          string
	record         *idempotency.Record // record to write, with wall-clock times; if nil, the claim's record is deleted
	withdrawal     bool                // the claim is withdrawn, and record is the record that the claim replaced
	mayCommitUntil time.Time           // until when the claim may still be committed; set for a withdrawal only

	lock     chan struct{} // mutex, as a channel of capacity 1, for the goroutine that writes the settlement; guards the fields below
	revision int64         // etcd revision of the claim's record, or 0 if it is unknown
	done     bool
}

// Settle ends a claim with a record, or with nil if the request was not executed. SentAt of each attempt in the record is the attempt's
// age. Settle returns at once. The record is written in the background, and the next Claim of the key waits until it is written.
func (s *Store) Settle(claim Claim, id idempotency.ID, record *idempotency.Record) {
	if claim.name == "" {
		return
	}
	p := &settlement{id: id, claim: claim.name, revision: claim.revision}
	if record != nil {
		timed := *record
		timed.Attempts = agedAttempts{record.Attempts, time.Now()}.wallTimes()
		p.record = &timed
	}
	s.addSettlement(p)
}

// addSettlement starts writing a settlement. It does nothing if the Store is closed, or if the settlement is a withdrawal and MaxPending
// settlements are pending. The record then stays in state running, and its request is not executed again.
func (s *Store) addSettlement(p *settlement) {
	p.lock = make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || p.withdrawal && len(s.pending) >= s.options.MaxPending {
		return
	}
	s.pending[p.id] = p
	s.running.Go(func() { s.settleUntilDone(p) })
}

// pendingSettlements returns the number of settlements that are not yet written.
func (s *Store) pendingSettlements() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// settleUntilDone retries writing a settlement until it is done or the Store is closed.
func (s *Store) settleUntilDone(p *settlement) {
	for {
		select {
		case s.settling <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		done, _ := s.settle(s.ctx, p) // trackAvailability has logged the error
		<-s.settling
		if done {
			return
		}
		select {
		case <-time.After(settleRetryInterval):
		case <-s.ctx.Done():
			return
		}
	}
}

// settlePending tries to write the pending settlement of a key before the key is claimed again.
func (s *Store) settlePending(ctx context.Context, id idempotency.ID) error {
	s.mu.Lock()
	p := s.pending[id]
	s.mu.Unlock()
	if p == nil {
		return nil
	}
	_, err := s.settle(ctx, p)
	return err
}

// settle tries to write a settlement once. It returns true if the settlement is written or no longer needed.
func (s *Store) settle(ctx context.Context, p *settlement) (done bool, err error) {
	select {
	case p.lock <- struct{}{}:
		defer func() { <-p.lock }()
	case <-ctx.Done():
		return false, ctx.Err()
	}
	if p.done {
		return true, nil
	}
	done, err = s.writeSettlement(ctx, p)
	if done {
		p.done = true
		s.mu.Lock()
		if s.pending[p.id] == p {
			delete(s.pending, p.id)
		}
		s.mu.Unlock()
	}
	return done, err
}

// writeSettlement replaces or deletes the record of a claim, unless another claim has replaced the record. Its results have the same
// meaning as the results of settle.
func (s *Store) writeSettlement(ctx context.Context, p *settlement) (done bool, err error) {
	revisionKnown := p.revision != 0
	for range maxTransactionAttempts {
		current, err := s.ensureSession(ctx)
		if err != nil {
			return false, err
		}
		if !revisionKnown {
			if needed, done, err := s.findClaim(ctx, current, p); !needed {
				return done, err
			}
		}
		response, err := s.commitSettlement(ctx, current, p)
		switch {
		case errors.Is(err, rpctypes.ErrLeaseNotFound): // retry with a new session
		case err != nil:
			return false, err
		case response.Succeeded:
			return true, nil
		default:
			revisionKnown = false
		}
	}
	return false, errContended
}

// findClaim reads the revision of a claim's record into p.revision. needed reports whether the settlement must be written over that
// revision. If it need not be written, done is false while the claim may still be committed, and true after that. If no record exists, a
// settlement that writes an outcome creates the record, and p.revision is 0.
func (s *Store) findClaim(ctx context.Context, current session, p *settlement) (needed, done bool, err error) {
	response, err := s.get(ctx, current, s.recordKey(p.id))
	if err != nil {
		return false, false, err
	}
	p.revision = 0
	if len(response.Kvs) == 0 {
		if p.withdrawal || p.record == nil {
			return false, p.commitImpossible(), nil
		}
		return true, false, nil
	}
	record, err := recordcodec.DecodeShared(response.Kvs[0].Value)
	if err != nil {
		return false, true, s.trackAvailability(err)
	}
	if record.Claim != p.claim { // another claim has replaced this claim, or this claim was never committed
		return false, p.commitImpossible(), nil
	}
	p.revision = response.Kvs[0].ModRevision
	return true, false, nil
}

// commitImpossible reports whether it is too late for a claim to be committed if it has not been committed yet.
func (p *settlement) commitImpossible() bool { return time.Now().After(p.mayCommitUntil) }

// commitSettlement runs the transaction of a settlement.
func (s *Store) commitSettlement(ctx context.Context, current session, p *settlement) (*clientv3.TxnResponse, error) {
	key := s.recordKey(p.id)
	write := clientv3.OpDelete(key)
	if p.record != nil {
		value := recordcodec.EncodeShared(&idempotency.SharedRecord{Record: *p.record, Owner: leaseName(current.lease), Claim: p.claim})
		write = clientv3.OpPut(key, string(value), clientv3.WithLease(current.recordLease))
	}
	conditions := []clientv3.Cmp{clientv3.Compare(clientv3.ModRevision(key), "=", p.revision)}
	return s.commit(ctx, current, conditions, write, clientv3.OpGet(key))
}
