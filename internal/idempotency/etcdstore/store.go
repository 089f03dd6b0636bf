// Package etcdstore lets the processes of a service share their keys: a request is claimed in an etcd, by its published v3 API, before
// its first byte goes out, and its end is put there for repeats that come to another process. What a record means is
// decided by repeats.Meeting; docs/design/repeats.md goes through it.
//
// A claim is a transaction that creates the key's record, or replaces the very one that was met, if the claimant's session lives. A
// record that says running is never taken over, whatever became of its owner, so that a process that stood still needs no fence.
package etcdstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/recordcodec"
	"orchiddrift/internal/tlscredentials"
)

// Options are a Store's parameters.
type Options struct {
	Declaration               // checked
	Service     string        // keys of different services are apart
	Retention   time.Duration // how long a record stands after it was written, at least
	MaxPending  int           // ends that can't be told, at most: beyond, a claim that may stand is left to stand
	Log         *slog.Logger
}

// Claim is what became of a request: Run, with the claim that Settle ends; or another verdict, and there is none.
type Claim struct {
	idempotency.Decision
	name     string
	revision int64 // of its record; 0: not known
}

// Store is a connection to the shared store. It is safe for concurrent use.
type Store struct {
	o       Options
	prefix  string
	keys    *tlscredentials.Store // nil: no TLS
	ctx     context.Context
	cancel  context.CancelFunc
	flight  singleflight.Group
	writing chan struct{} // of ends told again, a few at a time
	running sync.WaitGroup

	mu      sync.Mutex
	client  *clientv3.Client
	session clientv3.LeaseID
	process string // the first session's name
	slot    clientv3.LeaseID
	slotAt  time.Time
	serial  uint64
	pending map[idempotency.ID]*unsettled
	down    bool
}

// unsettled is an end that is yet to be told, or a claim that may stand though its request was turned down.
type unsettled struct {
	busy     chan struct{} // held by who tells it
	done     bool
	id       idempotency.ID
	claim    string
	revision int64
	record   *idempotency.Record // nil: there is to be none. Sends' times are the wall's
	given    bool                // it is a claim that was given up and may stand: what stood before, record, is put back
	until    time.Time           // it may come to stand till then
}

const (
	lookAgain   = time.Second            // while another runs, beside the store's own word
	pause       = 100 * time.Millisecond // after a watch that was cut
	tellAgain   = time.Second
	lateCommits = 10 * time.Second // a server goes on so long with a transaction that its client has given up, at most
	together    = 64
	slots       = 8 // parts of Keep that share a lease
)

// New returns a Store. It connects by and by: while it can't, Claim fails.
func New(o Options) (*Store, error) {
	s := &Store{o: o, prefix: o.Prefix + o.Service + "/", pending: map[idempotency.ID]*unsettled{}, writing: make(chan struct{}, together)}
	if o.TLS.Enabled() {
		store, err := tlscredentials.Open(tlscredentials.Files{Certificate: o.TLS.Certificate, Key: o.TLS.Key, CA: o.TLS.CA}, o.TLS.WarnBefore.D(), o.Log)
		if err != nil {
			return nil, err
		}
		s.keys = store
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.keys != nil {
		s.running.Go(func() { s.keys.Run(s.ctx) })
	}
	s.running.Go(func() { _, _ = s.ready(s.ctx) }) // the first request need not wait for it; an error is met again there
	return s, nil
}

func (s *Store) connect() (*clientv3.Client, error) {
	password, err := s.o.password()
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: s.o.Timeout.D()}
	dial := dialer.DialContext
	if s.keys != nil {
		secure := tlscredentials.NewClient(s.keys, s.o.TLS)
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t, err := secure.HandshakeALPN(ctx, conn, endpoints.Instance{Address: address}, "h2")
			if err != nil {
				conn.Close()
				return nil, err
			}
			return t, nil
		}
	}
	endpoints := make([]string, len(s.o.Servers))
	for i, server := range s.o.Servers {
		endpoints[i] = "http://" + server
	}
	return clientv3.New(clientv3.Config{Endpoints: endpoints, Username: s.o.User, Password: password, DialTimeout: s.o.Timeout.D(),
		DialKeepAliveTime: s.o.Session.D(), DialKeepAliveTimeout: s.o.Timeout.D(), Context: s.ctx, Logger: zap.NewNop(),
		DialOptions: []grpc.DialOption{grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		})}})
}

// now is a connection with its leases.
type standing struct {
	client        *clientv3.Client
	session, slot clientv3.LeaseID
	process       string
}

func (s *Store) standing() (standing, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return standing{s.client, s.session, s.slot, s.process}, s.session != 0 && s.slot != 0 && time.Since(s.slotAt) < s.o.Retention/slots
}

// ready is the connection, made or mended where it has to be; who comes meanwhile waits for the same try.
func (s *Store) ready(ctx context.Context) (standing, error) {
	if at, ok := s.standing(); ok {
		return at, nil
	}
	done := s.flight.DoChan("ready", func() (any, error) { return s.open() })
	select {
	case r := <-done:
		if r.Err != nil {
			return standing{}, r.Err
		}
		return r.Val.(standing), nil
	case <-ctx.Done():
		return standing{}, ctx.Err()
	}
}

func (s *Store) open() (standing, error) {
	at, ok := s.standing()
	if ok {
		return at, nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.o.Timeout.D())
	defer cancel()
	if at.client == nil {
		client, err := s.connect()
		if err != nil {
			return at, s.heard(err)
		}
		s.mu.Lock()
		if s.ctx.Err() == nil {
			s.client, at.client = client, client
		}
		s.mu.Unlock()
		if at.client == nil {
			client.Close()
			return at, s.ctx.Err()
		}
	}
	if at.session == 0 {
		grant, err := at.client.Grant(ctx, int64(s.o.Session.D()/time.Second))
		if err == nil {
			_, err = at.client.Put(ctx, s.ownerKey(name(grant.ID)), s.o.Service, clientv3.WithLease(grant.ID))
		}
		var beats <-chan *clientv3.LeaseKeepAliveResponse
		if err == nil {
			beats, err = at.client.KeepAlive(s.ctx, grant.ID)
		}
		if err != nil {
			return at, s.heard(err)
		}
		s.mu.Lock()
		s.session = grant.ID
		if s.process == "" {
			s.process = name(grant.ID)
		}
		s.mu.Unlock()
		s.apart(func() {
			for range beats { // it is closed once the session has ended, for all that is known here
			}
			s.lost(grant.ID)
		})
	}
	// A record's lease is one of few: all that is written in a part of Keep has the same, which outlasts the last of them by Keep.
	begun := time.Now()
	grant, err := at.client.Grant(ctx, int64((s.o.Retention+s.o.Retention/slots)/time.Second)+int64(lateCommits/time.Second))
	if err != nil {
		return at, s.heard(err)
	}
	s.mu.Lock()
	s.slot, s.slotAt = grant.ID, begun
	s.mu.Unlock()
	at, _ = s.standing()
	return at, s.heard(nil)
}

// apart runs do until Close, if that was not called yet.
func (s *Store) apart(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() == nil {
		s.running.Go(do)
	}
}

// heard logs that the store can't be asked, and can again.
func (s *Store) heard(err error) error {
	if s.ctx.Err() != nil {
		return err
	}
	s.mu.Lock()
	was := s.down
	s.down = err != nil
	s.mu.Unlock()
	if err != nil && !was {
		s.o.Log.Error("repeats: the shared store can't be asked", "reason", err)
	} else if err == nil && was {
		s.o.Log.Info("repeats: the shared store can be asked again")
	}
	return err
}

// lost has another session, and other leases, made.
func (s *Store) lost(session clientv3.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == session {
		s.session, s.slot = 0, 0
	}
}

func name(id clientv3.LeaseID) string { return strconv.FormatInt(int64(id), 16) }

func (s *Store) ownerKey(session string) string { return s.prefix + "owner/" + session }

func (s *Store) key(id idempotency.ID) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\x00%s%d\x00%s%s", len(id.Tenant), id.Tenant, len(id.Class), id.Class, id.Key) // a hash takes everything
	return s.prefix + "key/" + hex.EncodeToString(h.Sum(nil))
}

// commit is a transaction, within Timeout.
func (s *Store) commit(ctx context.Context, at standing, when []clientv3.Cmp, then, otherwise clientv3.Op) (*clientv3.TxnResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timeout.D())
	defer cancel()
	r, err := at.client.Txn(ctx).If(when...).Then(then).Else(otherwise).Commit()
	if errors.Is(err, rpctypes.ErrLeaseNotFound) {
		s.lost(at.session)
		return nil, err
	}
	return r, s.heard(err)
}

func (s *Store) get(ctx context.Context, at standing, key string) (*clientv3.GetResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timeout.D())
	defer cancel()
	r, err := at.client.Get(ctx, key)
	return r, s.heard(err)
}

// errContended says that the store did not stand still.
var errContended = errors.New("the record changed again and again")

// mostTries bounds one request's claims.
const mostTries = 32

// Claim claims a request, or tells what else becomes of it; it waits while another process runs it, till ctx's deadline, which is Fail.
// m's process and skew are the Store's to fill in. same is called once the key is known to be this very request's, and no other's:
// what waits may wait for long. An error says that the store could not be asked, and that nothing may be
// sent on its word.
func (s *Store) Claim(ctx context.Context, m idempotency.SharedRequest, same func()) (Claim, error) {
	if err := s.flush(ctx, m.ID); err != nil {
		return Claim{}, err
	}
	key := s.key(m.ID)
	m.MaxClockSkew = s.o.MaxClockSkew.D()
	own := ages{m.EarlierAttempts, time.Now()}
	prior := own
	var c Claim
	over := int64(0) // the revision of the record that is to be replaced; 0: there is none
	var was *idempotency.Record
	for range mostTries {
		at, err := s.ready(ctx)
		if err != nil {
			return c, err
		}
		m.Process = at.process
		s.mu.Lock()
		s.serial++
		c.name = idempotency.ClaimName(at.process, strconv.FormatUint(s.serial, 36))
		s.mu.Unlock()
		owner := s.ownerKey(name(at.session))
		value := recordcodec.EncodeShared(&idempotency.SharedRecord{Owner: name(at.session), Claim: c.name,
			Record: idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Running: true, Attempts: prior.wall()}})
		r, err := s.commit(ctx, at, []clientv3.Cmp{clientv3.Compare(clientv3.ModRevision(key), "=", over),
			clientv3.Compare(clientv3.CreateRevision(owner), ">", 0)}, clientv3.OpPut(key, string(value), clientv3.WithLease(at.slot)), clientv3.OpGet(key))
		switch {
		case errors.Is(err, rpctypes.ErrLeaseNotFound):
			continue
		case err != nil: // it may stand, or come to
			s.add(&unsettled{id: m.ID, claim: c.name, record: was, given: true, until: time.Now().Add(lateCommits)})
			return c, err
		case r.Succeeded:
			c.revision, c.EarlierAttempts = r.Header.Revision, prior.now()
			return c, nil
		}
		kvs := r.Responses[0].GetResponseRange().Kvs
		if len(kvs) == 0 {
			if over == 0 { // there is no record, so it is the session that has ended
				s.lost(at.session)
			}
			prior, over, was = own, 0, nil
			continue
		}
		rec, err := recordcodec.DecodeShared(kvs[0].Value)
		if err != nil {
			return c, s.heard(err)
		}
		if rec.Claim == c.name { // the library sent it twice
			c.revision, c.EarlierAttempts = kvs[0].ModRevision, prior.now()
			return c, nil
		}
		lives := false
		if rec.Running {
			r, err := s.get(ctx, at, s.ownerKey(rec.Owner))
			if err != nil {
				return c, err
			}
			lives = len(r.Kvs) > 0
		}
		m.EarlierAttempts = own.now()
		met := time.Now()
		d := m.Resolve(&rec, lives, sinceEpoch(met))
		switch d.Verdict {
		case idempotency.Execute:
			prior, over, was = ages{d.EarlierAttempts, met}, kvs[0].ModRevision, &rec.Record
		case idempotency.Wait:
			same()
			if !s.wait(ctx, at, key, s.ownerKey(rec.Owner), r.Header.Revision+1) {
				return Claim{Decision: idempotency.Decision{Verdict: idempotency.Fail}}, nil
			}
			prior, over, was = own, 0, nil
		default:
			return Claim{Decision: d}, nil
		}
	}
	return c, errContended
}

// Lookup tells of a kept answer, or Fail: for what this process would not send in any case.
func (s *Store) Lookup(ctx context.Context, m idempotency.SharedRequest) (idempotency.Decision, error) {
	fail := idempotency.Decision{Verdict: idempotency.Fail}
	at, err := s.ready(ctx)
	if err != nil {
		return fail, err
	}
	r, err := s.get(ctx, at, s.key(m.ID))
	if err != nil || len(r.Kvs) == 0 {
		return fail, err
	}
	rec, err := recordcodec.DecodeShared(r.Kvs[0].Value)
	if err != nil || rec.Running || rec.Outcome != idempotency.Answered {
		return fail, err
	}
	return m.Resolve(&rec, false, 0), nil
}

// wait returns when a key may have another record, or its owner's session none; false: ctx has ended.
func (s *Store) wait(ctx context.Context, at standing, key, owner string, from int64) bool {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	again := time.NewTimer(lookAgain)
	defer again.Stop()
	var r clientv3.WatchResponse
	select {
	case r = <-at.client.Watch(ctx, key, clientv3.WithRev(from)):
	case r = <-at.client.Watch(ctx, owner, clientv3.WithRev(from), clientv3.WithFilterPut()):
	case <-again.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
	if len(r.Events) == 0 { // cut
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil && s.ctx.Err() == nil
}

// sinceEpoch is a wall clock's time as records have it.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// ages are sends whose Sent is how long ago each was at a moment.
type ages struct {
	sends []idempotency.Attempt
	at    time.Time
}

// now is them now, and wall with a wall clock's times.
func (a ages) now() []idempotency.Attempt {
	of := slices.Clone(a.sends)
	for i := range of {
		of[i].SentAt += time.Since(a.at)
	}
	return of
}

func (a ages) wall() []idempotency.Attempt {
	of := a.now()
	wall := sinceEpoch(time.Now())
	for i := range of {
		of[i].SentAt = wall - of[i].SentAt
	}
	return of
}

// Settle tells the end of a claim: a record, whose sends' times are ages, or nil if its request never ran. It returns at once; a store
// that can't be told is told again, and the next Claim of the key waits for that.
func (s *Store) Settle(c Claim, id idempotency.ID, r *idempotency.Record) {
	if c.name == "" {
		return
	}
	u := &unsettled{id: id, claim: c.name, revision: c.revision, record: r}
	if r != nil {
		own := *r
		own.Attempts = ages{r.Attempts, time.Now()}.wall()
		u.record = &own
	}
	s.add(u)
}

func (s *Store) add(u *unsettled) {
	u.busy = make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || u.given && len(s.pending) >= s.o.MaxPending {
		return // it stands as running, and is not sent again
	}
	s.pending[u.id] = u
	s.running.Go(func() { s.tell(u) })
}

// tell tells an end until it is told.
func (s *Store) tell(u *unsettled) {
	for {
		select {
		case s.writing <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		over, _ := s.settle(s.ctx, u) // its error has been logged
		<-s.writing
		if over {
			return
		}
		select {
		case <-time.After(tellAgain):
		case <-s.ctx.Done():
			return
		}
	}
}

// flush tells what there is of a key to be told, before it is claimed anew.
func (s *Store) flush(ctx context.Context, id idempotency.ID) error {
	s.mu.Lock()
	u := s.pending[id]
	s.mu.Unlock()
	if u == nil {
		return nil
	}
	_, err := s.settle(ctx, u)
	return err
}

// settle tries to tell an end once. Over: nothing is left to do.
func (s *Store) settle(ctx context.Context, u *unsettled) (over bool, err error) {
	select {
	case u.busy <- struct{}{}:
		defer func() { <-u.busy }()
	case <-ctx.Done():
		return false, ctx.Err()
	}
	if u.done {
		return true, nil
	}
	over, err = s.put(ctx, u)
	if over {
		u.done = true
		s.mu.Lock()
		if s.pending[u.id] == u {
			delete(s.pending, u.id)
		}
		s.mu.Unlock()
	}
	return over, err
}

func (s *Store) put(ctx context.Context, u *unsettled) (over bool, err error) {
	key := s.key(u.id)
	known := u.revision != 0
	for range mostTries {
		at, err := s.ready(ctx)
		if err != nil {
			return false, err
		}
		if !known {
			r, err := s.get(ctx, at, key)
			if err != nil {
				return false, err
			}
			u.revision = 0
			if len(r.Kvs) == 0 && (u.given || u.record == nil) {
				return time.Now().After(u.until), nil
			}
			if len(r.Kvs) > 0 {
				rec, err := recordcodec.DecodeShared(r.Kvs[0].Value)
				if err != nil {
					return true, s.heard(err)
				}
				if rec.Claim != u.claim {
					return time.Now().After(u.until), nil // another has claimed it since, or this was never to stand
				}
				u.revision = r.Kvs[0].ModRevision
			}
		}
		do := clientv3.OpDelete(key)
		if u.record != nil {
			do = clientv3.OpPut(key, string(recordcodec.EncodeShared(&idempotency.SharedRecord{Record: *u.record, Owner: name(at.session), Claim: u.claim})),
				clientv3.WithLease(at.slot))
		}
		r, err := s.commit(ctx, at, []clientv3.Cmp{clientv3.Compare(clientv3.ModRevision(key), "=", u.revision)}, do, clientv3.OpGet(key))
		switch {
		case errors.Is(err, rpctypes.ErrLeaseNotFound):
		case err != nil:
			return false, err
		case r.Succeeded:
			return true, nil
		default:
			known = false
		}
	}
	return false, errContended
}

// pendingSettlements is how many ends are yet to be told.
func (s *Store) pendingSettlements() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// Abort ends what waits in Claim: the process is about to be killed.
func (s *Store) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
}

// Close tells what is left to be told, for as long as one answer may take, and ends the session: what it still runs for the store is
// not waited for elsewhere.
func (s *Store) Close() {
	until := time.Now().Add(s.o.Timeout.D())
	for s.pendingSettlements() > 0 && time.Now().Before(until) && s.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	at, _ := s.standing()
	if at.client != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), s.o.Timeout.D())
		defer cancel()
		if at.session != 0 && s.ctx.Err() == nil {
			_, _ = at.client.Revoke(ctx, at.session) // it runs out by itself
		}
	}
	s.Abort()
	if at, _ = s.standing(); at.client != nil {
		at.client.Close()
	}
	s.running.Wait()
}
