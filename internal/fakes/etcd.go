package fakes

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"sort"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
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
	o EtcdOptions

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
	return &Etcd{o: o, kvs: map[string]*mvccpb.KeyValue{}, leases: map[int64]*etcdLease{}, revision: 1, nextLease: 0x1000, changed: make(chan struct{})}
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
		if _, opens := q.(*etcdserverpb.AuthenticateRequest); !opens && !e.may(ctx) {
			return nil, rpctypes.ErrGRPCInvalidAuthToken
		}
		return do(ctx, q)
	})}
	if e.o.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.o.TLS)))
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

// Keys is how many it holds, and Writes how many there were.
func (e *Etcd) Keys() int   { e.mu.Lock(); defer e.mu.Unlock(); return len(e.kvs) }
func (e *Etcd) Writes() int { e.mu.Lock(); defer e.mu.Unlock(); return e.writes }

// Expire ends all leases of at most ttl, as if their owners had been gone for so long.
func (e *Etcd) Expire(ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, l := range e.leases {
		if l.ttl <= ttl {
			e.end(id)
		}
	}
}

// Forget compacts: all revisions but the last are forgotten.
func (e *Etcd) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compacted, e.events = e.revision, nil
}

func (e *Etcd) may(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	token := md.Get(rpctypes.TokenFieldNameGRPC)
	return e.o.User == "" || len(token) == 1 && token[0] == etcdToken
}

func (e *Etcd) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: e.revision}
}

// end ends a lease with its keys. mu is held.
func (e *Etcd) end(id int64) {
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

// remove takes a key out, at the present revision.
func (e *Etcd) remove(key string) {
	if kv := e.kvs[key]; kv != nil {
		delete(e.kvs, key)
		if l := e.leases[kv.Lease]; l != nil {
			delete(l.keys, key)
		}
		e.tell(&mvccpb.Event{Type: mvccpb.Event_DELETE, Kv: &mvccpb.KeyValue{Key: []byte(key), ModRevision: e.revision}})
	}
}

func (e *Etcd) tell(event *mvccpb.Event) {
	if len(e.events) == etcdEvents {
		e.compacted = e.events[etcdEvents/2].Kv.ModRevision
		e.events = append([]*mvccpb.Event(nil), e.events[etcdEvents/2:]...)
	}
	e.events = append(e.events, event)
	close(e.changed)
	e.changed = make(chan struct{})
}

func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	return key >= string(from) && (bytes.Equal(end, []byte{0}) || key < string(end))
}

func (e *Etcd) read(q *etcdserverpb.RangeRequest) *etcdserverpb.RangeResponse {
	r := &etcdserverpb.RangeResponse{Header: e.header()}
	if len(q.RangeEnd) == 0 {
		if kv := e.kvs[string(q.Key)]; kv != nil {
			r.Kvs = append(r.Kvs, kv)
		}
	} else {
		for key, kv := range e.kvs {
			if inRange(key, q.Key, q.RangeEnd) {
				r.Kvs = append(r.Kvs, kv)
			}
		}
	}
	r.Count = int64(len(r.Kvs))
	return r
}

func (e *Etcd) put(q *etcdserverpb.PutRequest) {
	kv := &mvccpb.KeyValue{Key: q.Key, Value: q.Value, Lease: q.Lease, ModRevision: e.revision, CreateRevision: e.revision, Version: 1}
	if was := e.kvs[string(q.Key)]; was != nil {
		kv.CreateRevision, kv.Version = was.CreateRevision, was.Version+1
		if l := e.leases[was.Lease]; l != nil {
			delete(l.keys, string(q.Key))
		}
	}
	if l := e.leases[q.Lease]; l != nil {
		l.keys[string(q.Key)] = true
	}
	e.kvs[string(q.Key)] = kv
	e.tell(&mvccpb.Event{Type: mvccpb.Event_PUT, Kv: kv})
}

func (e *Etcd) drop(q *etcdserverpb.DeleteRangeRequest) *etcdserverpb.DeleteRangeResponse {
	r := &etcdserverpb.DeleteRangeResponse{}
	for key := range e.kvs {
		if inRange(key, q.Key, q.RangeEnd) {
			e.remove(key)
			r.Deleted++
		}
	}
	r.Header = e.header()
	return r
}

func (e *Etcd) holds(c *etcdserverpb.Compare) bool {
	kv := e.kvs[string(c.Key)]
	if kv == nil {
		kv = &mvccpb.KeyValue{}
	}
	order := 0
	switch c.Target {
	case etcdserverpb.Compare_VERSION:
		order = cmp.Compare(kv.Version, c.GetVersion())
	case etcdserverpb.Compare_CREATE:
		order = cmp.Compare(kv.CreateRevision, c.GetCreateRevision())
	case etcdserverpb.Compare_MOD:
		order = cmp.Compare(kv.ModRevision, c.GetModRevision())
	case etcdserverpb.Compare_VALUE:
		order = bytes.Compare(kv.Value, c.GetValue())
	case etcdserverpb.Compare_LEASE:
		order = cmp.Compare(kv.Lease, c.GetLease())
	}
	switch c.Result {
	case etcdserverpb.Compare_EQUAL:
		return order == 0
	case etcdserverpb.Compare_GREATER:
		return order > 0
	case etcdserverpb.Compare_LESS:
		return order < 0
	}
	return order != 0
}

// write makes a change, or has its fault.
func (e *Etcd) write(ctx context.Context, leases []int64, do func()) error {
	if e.o.Delay > 0 {
		time.Sleep(e.o.Delay)
	}
	fault := EtcdFine
	if e.o.Fault != nil {
		fault = e.o.Fault()
	}
	apply := func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, id := range leases {
			if id != 0 && e.leases[id] == nil {
				return rpctypes.ErrGRPCLeaseNotFound
			}
		}
		e.writes++
		do()
		return nil
	}
	switch fault {
	case EtcdRefuse:
		return rpctypes.ErrGRPCNoLeader
	case EtcdLose:
		_ = apply() // nobody hears of it
		return status.Error(codes.Unavailable, "the connection is lost")
	case EtcdLate, EtcdHang:
		<-ctx.Done()
		if fault == EtcdLate {
			time.AfterFunc(e.o.Late, func() { _ = apply() })
		}
		return ctx.Err()
	}
	return apply()
}

type etcdKV struct {
	*Etcd
	etcdserverpb.UnimplementedKVServer
}

func (e etcdKV) Range(_ context.Context, q *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.read(q), nil
}

func (e etcdKV) Put(ctx context.Context, q *etcdserverpb.PutRequest) (r *etcdserverpb.PutResponse, err error) {
	err = e.write(ctx, []int64{q.Lease}, func() {
		e.revision++
		e.put(q)
		r = &etcdserverpb.PutResponse{Header: e.header()}
	})
	return r, err
}

func (e etcdKV) DeleteRange(ctx context.Context, q *etcdserverpb.DeleteRangeRequest) (r *etcdserverpb.DeleteRangeResponse, err error) {
	err = e.write(ctx, nil, func() {
		e.revision++
		r = e.drop(q)
	})
	return r, err
}

// Txn does one branch. Its writes have one revision; a transaction in a transaction is not known here.
func (e etcdKV) Txn(ctx context.Context, q *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	r := &etcdserverpb.TxnResponse{Succeeded: true}
	var leases []int64
	for _, op := range q.Success {
		if p := op.GetRequestPut(); p != nil {
			leases = append(leases, p.Lease)
		}
	}
	err := e.write(ctx, leases, func() {
		for _, c := range q.Compare {
			r.Succeeded = r.Succeeded && e.holds(c)
		}
		ops := q.Failure
		if r.Succeeded {
			ops = q.Success
		}
		for _, op := range ops {
			if op.GetRequestRange() == nil {
				e.revision++
				break
			}
		}
		for _, op := range ops {
			of := &etcdserverpb.ResponseOp{}
			switch {
			case op.GetRequestRange() != nil:
				of.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: e.read(op.GetRequestRange())}
			case op.GetRequestPut() != nil:
				e.put(op.GetRequestPut())
				of.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: &etcdserverpb.PutResponse{Header: e.header()}}
			case op.GetRequestDeleteRange() != nil:
				of.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: e.drop(op.GetRequestDeleteRange())}
			}
			r.Responses = append(r.Responses, of)
		}
		r.Header = e.header()
	})
	return r, err
}

type etcdLeases struct {
	*Etcd
	etcdserverpb.UnimplementedLeaseServer
}

func (e etcdLeases) LeaseGrant(_ context.Context, q *etcdserverpb.LeaseGrantRequest) (*etcdserverpb.LeaseGrantResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := q.ID
	if id == 0 {
		e.nextLease++
		id = e.nextLease
	}
	ttl := time.Duration(max(1, q.TTL)) * time.Second
	e.leases[id] = &etcdLease{ttl: ttl, keys: map[string]bool{}, ends: time.AfterFunc(ttl, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Etcd.end(id)
	})}
	return &etcdserverpb.LeaseGrantResponse{Header: e.header(), ID: id, TTL: int64(ttl / time.Second)}, nil
}

func (e etcdLeases) LeaseRevoke(_ context.Context, q *etcdserverpb.LeaseRevokeRequest) (*etcdserverpb.LeaseRevokeResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leases[q.ID] == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	e.end(q.ID)
	return &etcdserverpb.LeaseRevokeResponse{Header: e.header()}, nil
}

func (e etcdLeases) LeaseKeepAlive(stream etcdserverpb.Lease_LeaseKeepAliveServer) error {
	for {
		q, err := stream.Recv()
		if err != nil {
			return err
		}
		e.mu.Lock()
		r := &etcdserverpb.LeaseKeepAliveResponse{Header: e.header(), ID: q.ID} // TTL 0: there is none
		if l := e.leases[q.ID]; l != nil && l.ends.Reset(l.ttl) {
			r.TTL = int64(l.ttl / time.Second)
		}
		e.mu.Unlock()
		if err := stream.Send(r); err != nil {
			return err
		}
	}
}

type etcdWatches struct {
	*Etcd
	etcdserverpb.UnimplementedWatchServer
}

type etcdWatch struct {
	q    *etcdserverpb.WatchCreateRequest
	next int64 // revision
}

// Watch serves a stream's watches one after another, whenever there are events.
func (e etcdWatches) Watch(stream etcdserverpb.Watch_WatchServer) error {
	asked := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer close(asked)
		for {
			q, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case asked <- q:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	watches := map[int64]*etcdWatch{}
	last := int64(-1)
	for {
		e.mu.Lock()
		changed := e.changed
		var out []*etcdserverpb.WatchResponse
		for id, w := range watches {
			if w.next > 0 && w.next < e.compacted {
				out = append(out, &etcdserverpb.WatchResponse{Header: e.header(), WatchId: id, Canceled: true, CompactRevision: e.compacted})
				delete(watches, id)
				continue
			}
			r := &etcdserverpb.WatchResponse{Header: e.header(), WatchId: id}
			first := sort.Search(len(e.events), func(i int) bool { return e.events[i].Kv.ModRevision >= w.next })
			for _, event := range e.events[first:] {
				if inRange(string(event.Kv.Key), w.q.Key, w.q.RangeEnd) && w.wants(event) {
					r.Events = append(r.Events, event)
				}
			}
			w.next = e.revision + 1
			if len(r.Events) > 0 {
				out = append(out, r)
			}
		}
		header := e.header()
		e.mu.Unlock()
		for _, r := range out {
			if err := stream.Send(r); err != nil {
				return err
			}
		}
		select {
		case q, ok := <-asked:
			if !ok {
				return nil
			}
			r := &etcdserverpb.WatchResponse{Header: header}
			if c := q.GetCreateRequest(); c != nil {
				last++
				watches[last] = &etcdWatch{q: c, next: cmp.Or(c.StartRevision, header.Revision+1)}
				r.WatchId, r.Created = last, true
			} else if c := q.GetCancelRequest(); c != nil {
				delete(watches, c.WatchId)
				r.WatchId, r.Canceled = c.WatchId, true
			}
			if err := stream.Send(r); err != nil {
				return err
			}
		case <-changed:
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (w *etcdWatch) wants(event *mvccpb.Event) bool {
	for _, f := range w.q.Filters {
		if f == etcdserverpb.WatchCreateRequest_NOPUT && event.Type == mvccpb.Event_PUT ||
			f == etcdserverpb.WatchCreateRequest_NODELETE && event.Type == mvccpb.Event_DELETE {
			return false
		}
	}
	return true
}

type etcdAuth struct {
	*Etcd
	etcdserverpb.UnimplementedAuthServer
}

func (e etcdAuth) Authenticate(_ context.Context, q *etcdserverpb.AuthenticateRequest) (*etcdserverpb.AuthenticateResponse, error) {
	if e.o.User == "" {
		return nil, rpctypes.ErrGRPCAuthNotEnabled
	}
	if q.Name != e.o.User || q.Password != e.o.Password {
		return nil, rpctypes.ErrGRPCAuthFailed
	}
	return &etcdserverpb.AuthenticateResponse{Header: e.header(), Token: etcdToken}, nil
}
