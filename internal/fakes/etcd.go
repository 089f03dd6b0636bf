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

// EtcdFault is a fault that affects a write.
type EtcdFault int

// The faults of a write.
const (
	EtcdFine   EtcdFault = iota
	EtcdRefuse           // the write is not applied, and the answer is an error: there is no leader
	EtcdLose             // the write is applied, and the client gets a connection error
	EtcdLate             // there is no answer; the client gives up, and the write is applied EtcdOptions.Late later
	EtcdHang             // there is no answer, and the write is not applied
)

// EtcdOptions are an Etcd's parameters.
type EtcdOptions struct {
	Fault    func() EtcdFault // returns the fault of a Put, Txn or DeleteRange; if nil, there are no faults
	Late     time.Duration    // delay until a write with the fault EtcdLate is applied
	TLS      *tls.Config      // if nil, connections are not encrypted
	User     string           // if set, calls need the token that Authenticate returns for User and Password
	Password string
	Delay    time.Duration // added to each write
}

// Etcd is a key-value store that speaks etcd's v3 API, written from its published protocol: ranges of one or more keys,
// transactions, leases that expire, and watches from a revision on. Clients see its one server as the leader of a cluster. Its
// data survives Stop. It keeps the last 100,000 events at most, until CompactHistory.
type Etcd struct {
	options EtcdOptions

	mu        sync.Mutex
	address   *Reservation // reserved from the first Start to Close
	srv       *grpc.Server
	kvs       map[string]*mvccpb.KeyValue
	leases    map[int64]*etcdLease
	revision  int64
	compacted int64
	nextLease int64
	events    []*mvccpb.Event // in the order of their revisions; older ones than revision compacted are discarded
	changed   chan struct{}   // closed when the next event is added
	writes    int
	running   sync.WaitGroup
}

type etcdLease struct {
	ttl         time.Duration
	expireTimer *time.Timer
	keys        map[string]bool
}

const (
	etcdToken     = "stand-in"
	maxEtcdEvents = 100_000
)

// NewEtcd returns a store that does not listen until Start is called.
func NewEtcd(o EtcdOptions) *Etcd {
	return &Etcd{options: o, kvs: map[string]*mvccpb.KeyValue{}, leases: map[int64]*etcdLease{}, revision: 1, nextLease: 0x1000, changed: make(chan struct{})}
}

// Start serves at a free loopback port and returns the address. A Start after Stop serves at the same address.
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
	options := []grpc.ServerOption{grpc.UnaryInterceptor(func(ctx context.Context, q any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		if _, authenticates := q.(*etcdserverpb.AuthenticateRequest); !authenticates && !e.authorized(ctx) {
			return nil, rpctypes.ErrGRPCInvalidAuthToken
		}
		return handler(ctx, q)
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
	e.running.Go(func() { _ = srv.Serve(l) }) // ends with Stop
	return e.address.Address, nil
}

// Stop closes all connections and the listener, and waits until the server has ended.
func (e *Etcd) Stop() {
	e.mu.Lock()
	srv := e.srv
	e.mu.Unlock()
	srv.Stop()
	e.running.Wait()
}

// Close stops the server for good and releases its address.
func (e *Etcd) Close() {
	e.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.leases {
		l.expireTimer.Stop()
	}
	e.address.Release()
}

// Keys returns the number of keys.
func (e *Etcd) Keys() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.kvs)
}

// Writes returns the number of writes that were applied.
func (e *Etcd) Writes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.writes
}

// Expire ends all leases whose time to live is at most ttl, as if their owners had not renewed them for that long.
func (e *Etcd) Expire(ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, l := range e.leases {
		if l.ttl <= ttl {
			e.expireLease(id)
		}
	}
}

// CompactHistory compacts the history: it discards all events, and watches can start only from the present revision on.
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

// expireLease ends a lease and deletes its keys. The caller holds mu.
func (e *Etcd) expireLease(id int64) {
	l := e.leases[id]
	if l == nil {
		return
	}
	l.expireTimer.Stop()
	delete(e.leases, id)
	if len(l.keys) > 0 {
		e.revision++
		for key := range l.keys {
			e.remove(key)
		}
	}
}
