package fakes

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
)

// EtcdFault is what happens to a write.
type EtcdFault int

// The faults of a write.
const (
	EtcdFine   EtcdFault = iota
	EtcdRefuse           // it is not done, and that is said: no leader
	EtcdLose             // it is done, and the connection tells of an error
	EtcdLate             // no answer comes, and it is done Late after
	EtcdHang             // no answer comes, and it is not done
)

// EtcdOptions are an Etcd's parameters.
type EtcdOptions struct {
	Fault    func() EtcdFault // of each Put, Txn and DeleteRange; nil: none
	Late     time.Duration
	TLS      *tls.Config // nil: plain
	User     string      // where set, calls need the token that Authenticate gives for
	Password string      // this
	Delay    time.Duration
}

// Etcd is a store of keys that speaks etcd's v3 API, written from its published protocol: ranges of one key or more, transactions,
// leases that run out, watches from a revision on. Its one server is a cluster's leader as its clients see it; what it holds
// outlasts Stop. It keeps all revisions of its life, till Forget, of 100,000 at most.
type Etcd struct {
	options EtcdOptions

	mu        sync.Mutex
	address   *Reservation // from the first Start to Close
	srv       *grpc.Server
	kvs       map[string]*mvccpb.KeyValue
	leases    map[int64]*etcdLease
	revision  int64
	compacted int64
	nextLease int64
	events    []*mvccpb.Event // by revision, from compacted on
	changed   chan struct{}   // closed at the next event
	writes    int
	running   sync.WaitGroup
}

type etcdLease struct {
	ttl  time.Duration
	ends *time.Timer
	keys map[string]bool
}

const (
	etcdToken  = "stand-in"
	etcdEvents = 100_000
)

// NewEtcd returns one that does not listen yet.
func NewEtcd(o EtcdOptions) *Etcd {
	return &Etcd{options: o, kvs: map[string]*mvccpb.KeyValue{}, leases: map[int64]*etcdLease{}, revision: 1, nextLease: 0x1000, changed: make(chan struct{})}
}

// Start listens, again where it did before, and returns where.
func (e *Etcd) Start() (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.address == nil {
		r, err := Reserve("127.0.0.1:0")
		if err != nil {
			return "", err
		}
		e.address = r
	}
	l, err := net.Listen("tcp", e.address.Address)
	if err != nil {
		return "", err
	}
	options := []grpc.ServerOption{grpc.UnaryInterceptor(func(ctx context.Context, q any, _ *grpc.UnaryServerInfo, do grpc.UnaryHandler) (any, error) {
		if _, opens := q.(*etcdserverpb.AuthenticateRequest); !opens && !e.authorized(ctx) {
			return nil, rpctypes.ErrGRPCInvalidAuthToken
		}
		return do(ctx, q)
	})}
	if e.options.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.options.TLS)))
	}
	srv := grpc.NewServer(options...)
	e.srv = srv
	etcdserverpb.RegisterKVServer(srv, etcdKV{Etcd: e})
	etcdserverpb.RegisterLeaseServer(srv, etcdLeases{Etcd: e})
	etcdserverpb.RegisterWatchServer(srv, etcdWatches{Etcd: e})
	etcdserverpb.RegisterAuthServer(srv, etcdAuth{Etcd: e})
	e.running.Go(func() { _ = srv.Serve(l) }) // Stop ends it
	return e.address.Address, nil
}

// Stop ends all connections, and listens no more.
func (e *Etcd) Stop() {
	e.mu.Lock()
	srv := e.srv
	e.mu.Unlock()
	srv.Stop()
	e.running.Wait()
}

// Close is Stop for good.
func (e *Etcd) Close() {
	e.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.leases {
		l.ends.Stop()
	}
	e.address.Release()
}

// Keys is the number of keys.
func (e *Etcd) Keys() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.kvs)
}

// Writes is the number of writes so far.
func (e *Etcd) Writes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.writes
}

// Expire ends all leases of at most ttl, as if their owners had been gone for so long.
func (e *Etcd) Expire(ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, l := range e.leases {
		if l.ttl <= ttl {
			e.expireLease(id)
		}
	}
}

// CompactHistory compacts: all revisions but the last are forgotten.
func (e *Etcd) CompactHistory() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compacted, e.events = e.revision, nil
}

func (e *Etcd) authorized(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	token := md.Get(rpctypes.TokenFieldNameGRPC)
	return e.options.User == "" || len(token) == 1 && token[0] == etcdToken
}

func (e *Etcd) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: e.revision}
}

// expireLease ends a lease with its keys. mu is held.
func (e *Etcd) expireLease(id int64) {
	l := e.leases[id]
	if l == nil {
		return
	}
	l.ends.Stop()
	delete(e.leases, id)
	if len(l.keys) > 0 {
		e.revision++
		for key := range l.keys {
			e.remove(key)
		}
	}
}
