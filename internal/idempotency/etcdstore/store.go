package etcdstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"golang.org/x/sync/singleflight"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/tlscredentials"
)

// Options are a Store's parameters.
type Options struct {
	Declaration               // must have passed Check
	Service     string        // name of the service; services do not share keys
	Retention   time.Duration // minimum time for which a record is stored after it was written
	MaxPending  int           // maximum number of pending settlements; beyond it, failed claims are not withdrawn and stay running
	Log         *slog.Logger
}

const (
	// maxTransactionAttempts is the maximum number of transactions for one claim or settlement.
	maxTransactionAttempts = 32
	// maxConcurrentSettlements is the maximum number of settlements that are written to etcd at the same time in the background.
	maxConcurrentSettlements = 64
	// closePollInterval is how often Close checks whether settlements are still pending.
	closePollInterval = time.Millisecond
)

// errContended is the error after maxTransactionAttempts transactions that failed because the record had changed since it was read.
var errContended = errors.New("the record in etcd changed before every transaction")

// Store is a connection to the shared store. It is safe for concurrent use.
type Store struct {
	options     Options
	prefix      string
	credentials *tlscredentials.Store // nil if TLS is not used
	ctx         context.Context       // canceled by Abort or Close
	cancel      context.CancelFunc
	connecting  singleflight.Group
	settling    chan struct{} // semaphore of maxConcurrentSettlements
	running     sync.WaitGroup

	mu               sync.Mutex // also serializes cancel with the start of goroutines
	session          session
	recordLeaseSince time.Time
	claims           uint64 // number of claims made by this process
	pending          map[idempotency.ID]*settlement
	unavailable      bool // the last request to etcd failed
}

// New returns a Store, which connects to etcd in the background. A Claim before that waits for the connection, and fails if connecting fails.
func New(options Options) (*Store, error) {
	s := &Store{
		options:  options,
		prefix:   options.Prefix + options.Service + "/",
		pending:  map[idempotency.ID]*settlement{},
		settling: make(chan struct{}, maxConcurrentSettlements),
	}
	if options.TLS.Enabled() {
		files := tlscredentials.Files{Certificate: options.TLS.Certificate, Key: options.TLS.Key, CA: options.TLS.CA}
		credentials, err := tlscredentials.Open(files, options.TLS.WarnBefore.D(), options.Log)
		if err != nil {
			return nil, err
		}
		s.credentials = credentials
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.credentials != nil {
		s.running.Go(func() { s.credentials.Run(s.ctx) })
	}
	// Connecting in the background saves the first request from waiting. If connecting fails, the first request connects again.
	s.running.Go(func() { _, _ = s.ensureSession(s.ctx) })
	return s, nil
}

// ownerKey returns the etcd key that exists while a session lives.
func (s *Store) ownerKey(session string) string { return s.prefix + "owner/" + session }

// recordKey returns the etcd key of an idempotency key's record.
func (s *Store) recordKey(id idempotency.ID) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\x00%s%d\x00%s%s", len(id.Tenant), id.Tenant, len(id.Class), id.Class, id.Key) // writes to a hash never fail
	return s.prefix + "key/" + hex.EncodeToString(h.Sum(nil))
}

// leaseName returns the name of the session that has the given lease.
func leaseName(id clientv3.LeaseID) string { return strconv.FormatInt(int64(id), 16) }

// get reads a key. It takes at most Declaration.Timeout.
func (s *Store) get(ctx context.Context, current session, key string) (*clientv3.GetResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout.D())
	defer cancel()
	response, err := current.client.Get(ctx, key)
	return response, s.trackAvailability(err)
}

// commit runs a transaction. It takes at most Declaration.Timeout. If it returns rpctypes.ErrLeaseNotFound, the next ensureSession starts a
// new session.
func (s *Store) commit(ctx context.Context, current session, conditions []clientv3.Cmp, then, otherwise clientv3.Op) (*clientv3.TxnResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout.D())
	defer cancel()
	response, err := current.client.Txn(ctx).If(conditions...).Then(then).Else(otherwise).Commit()
	if errors.Is(err, rpctypes.ErrLeaseNotFound) {
		s.dropSession(current.lease)
		return nil, err
	}
	return response, s.trackAvailability(err)
}

// trackAvailability logs that etcd has become unavailable or available again, as shown by the result of a request. It returns err.
func (s *Store) trackAvailability(err error) error {
	if s.ctx.Err() != nil {
		return err
	}
	s.mu.Lock()
	wasUnavailable := s.unavailable
	s.unavailable = err != nil
	s.mu.Unlock()
	if err != nil && !wasUnavailable {
		s.options.Log.Error("repeats: the shared store is unavailable", "reason", err)
	} else if err == nil && wasUnavailable {
		s.options.Log.Info("repeats: the shared store is available again")
	}
	return err
}

// start runs do in a goroutine that Close waits for, unless the Store is closed.
func (s *Store) start(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() == nil {
		s.running.Go(do)
	}
}

// Abort makes Claim and all retries return. It is called before the process exits without a graceful shutdown.
func (s *Store) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
}

// Close waits until pending settlements are written, for at most Declaration.Timeout, and ends the session, so that other processes need
// not wait for the session's lease to expire. Other processes then treat requests whose records are still running as possibly executed.
func (s *Store) Close() {
	deadline := time.Now().Add(s.options.Timeout.D())
	for s.pendingSettlements() > 0 && time.Now().Before(deadline) && s.ctx.Err() == nil {
		time.Sleep(closePollInterval)
	}
	current, _ := s.currentSession()
	if current.client != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), s.options.Timeout.D())
		defer cancel()
		if current.lease != 0 && s.ctx.Err() == nil {
			_, _ = current.client.Revoke(ctx, current.lease) // if this fails, the lease expires by itself
		}
	}
	s.Abort()
	if current, _ = s.currentSession(); current.client != nil {
		current.client.Close()
	}
	s.running.Wait()
}
