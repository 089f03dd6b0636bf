package fakes

import (
	"cmp"
	"context"
	"sort"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

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
		r = e.deleteRange(q)
	})
	return r, err
}

// Txn applies the branch that the comparisons select. All its writes get one revision. Nested transactions are not supported.
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
			r.Succeeded = r.Succeeded && e.compare(c)
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
			response := &etcdserverpb.ResponseOp{}
			switch {
			case op.GetRequestRange() != nil:
				response.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: e.read(op.GetRequestRange())}
			case op.GetRequestPut() != nil:
				e.put(op.GetRequestPut())
				response.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: &etcdserverpb.PutResponse{Header: e.header()}}
			case op.GetRequestDeleteRange() != nil:
				response.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: e.deleteRange(op.GetRequestDeleteRange())}
			}
			r.Responses = append(r.Responses, response)
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
	e.leases[id] = &etcdLease{ttl: ttl, keys: map[string]bool{}, expireTimer: time.AfterFunc(ttl, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Etcd.expireLease(id)
	})}
	return &etcdserverpb.LeaseGrantResponse{Header: e.header(), ID: id, TTL: int64(ttl / time.Second)}, nil
}

func (e etcdLeases) LeaseRevoke(_ context.Context, q *etcdserverpb.LeaseRevokeRequest) (*etcdserverpb.LeaseRevokeResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leases[q.ID] == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	e.expireLease(q.ID)
	return &etcdserverpb.LeaseRevokeResponse{Header: e.header()}, nil
}

func (e etcdLeases) LeaseKeepAlive(stream etcdserverpb.Lease_LeaseKeepAliveServer) error {
	for {
		q, err := stream.Recv()
		if err != nil {
			return err
		}
		e.mu.Lock()
		r := &etcdserverpb.LeaseKeepAliveResponse{Header: e.header(), ID: q.ID} // a TTL of 0 tells the client that the lease does not exist
		if l := e.leases[q.ID]; l != nil && l.expireTimer.Reset(l.ttl) {
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
	next int64 // first revision whose events have not been sent yet
}

// Watch serves all watches of a stream in one goroutine: it sends their pending events and handles the client's requests in turn.
func (e etcdWatches) Watch(stream etcdserverpb.Watch_WatchServer) error {
	requests := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer close(requests)
		for {
			q, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- q:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	watches := map[int64]*etcdWatch{}
	lastID := int64(-1)
	for {
		e.mu.Lock()
		changed := e.changed
		out := e.pendingResponses(watches)
		header := e.header()
		e.mu.Unlock()
		for _, r := range out {
			if err := stream.Send(r); err != nil {
				return err
			}
		}
		select {
		case q, ok := <-requests:
			if !ok {
				return nil
			}
			r := &etcdserverpb.WatchResponse{Header: header}
			if c := q.GetCreateRequest(); c != nil {
				lastID++
				watches[lastID] = &etcdWatch{q: c, next: cmp.Or(c.StartRevision, header.Revision+1)}
				r.WatchId, r.Created = lastID, true
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

// pendingResponses returns the events that the watches have not received yet. It cancels and deletes watches that start at a
// compacted revision. The caller holds mu.
func (e *Etcd) pendingResponses(watches map[int64]*etcdWatch) []*etcdserverpb.WatchResponse {
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
			if inRange(string(event.Kv.Key), w.q.Key, w.q.RangeEnd) && w.matches(event) {
				r.Events = append(r.Events, event)
			}
		}
		w.next = e.revision + 1
		if len(r.Events) > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (w *etcdWatch) matches(event *mvccpb.Event) bool {
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
	if e.options.User == "" {
		return nil, rpctypes.ErrGRPCAuthNotEnabled
	}
	if q.Name != e.options.User || q.Password != e.options.Password {
		return nil, rpctypes.ErrGRPCAuthFailed
	}
	return &etcdserverpb.AuthenticateResponse{Header: e.header(), Token: etcdToken}, nil
}
