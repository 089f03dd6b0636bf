package fakes

import (
	"bytes"
	"cmp"
	"context"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// inRange reports whether a key is in a range of an etcd request. The parameter start is the first key of the range,
// and end is the first key after it. An empty end selects only the key start, and an end of one zero byte selects all
// keys from start on.
func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	return key >= string(start) && (bytes.Equal(end, []byte{0}) || key < string(end))
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
	if previous := e.kvs[string(q.Key)]; previous != nil {
		kv.CreateRevision, kv.Version = previous.CreateRevision, previous.Version+1
		if l := e.leases[previous.Lease]; l != nil {
			delete(l.keys, string(q.Key))
		}
	}
	if l := e.leases[q.Lease]; l != nil {
		l.keys[string(q.Key)] = true
	}
	e.kvs[string(q.Key)] = kv
	e.appendEvent(&mvccpb.Event{Type: mvccpb.Event_PUT, Kv: kv})
}

func (e *Etcd) deleteRange(q *etcdserverpb.DeleteRangeRequest) *etcdserverpb.DeleteRangeResponse {
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

func (e *Etcd) compare(c *etcdserverpb.Compare) bool {
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

// write applies a write after Delay, or applies the scripted fault to it. It fails if one of the leases does not
// exist.
func (e *Etcd) write(ctx context.Context, leases []int64, change func()) error {
	if e.options.Delay > 0 {
		time.Sleep(e.options.Delay)
	}
	fault := EtcdFine
	if e.options.Fault != nil {
		fault = e.options.Fault()
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
		change()
		return nil
	}
	switch fault {
	case EtcdRefuse:
		return rpctypes.ErrGRPCNoLeader
	case EtcdLose:
		_ = apply() // the client is not told whether it succeeded
		return status.Error(codes.Unavailable, "the connection is lost")
	case EtcdLate, EtcdHang:
		<-ctx.Done()
		if fault == EtcdLate {
			time.AfterFunc(e.options.Late, func() { _ = apply() })
		}
		return ctx.Err()
	}
	return apply()
}

// remove deletes a key at the present revision. The caller holds mu.
func (e *Etcd) remove(key string) {
	if kv := e.kvs[key]; kv != nil {
		delete(e.kvs, key)
		if l := e.leases[kv.Lease]; l != nil {
			delete(l.keys, key)
		}
		e.appendEvent(&mvccpb.Event{Type: mvccpb.Event_DELETE, Kv: &mvccpb.KeyValue{Key: []byte(key), ModRevision: e.revision}})
	}
}

// appendEvent adds an event and wakes the watches. At the limit it discards the older half of the events. The caller
// holds mu.
func (e *Etcd) appendEvent(event *mvccpb.Event) {
	if len(e.events) == maxEtcdEvents {
		e.compacted = e.events[maxEtcdEvents/2].Kv.ModRevision
		e.events = append([]*mvccpb.Event(nil), e.events[maxEtcdEvents/2:]...)
	}
	e.events = append(e.events, event)
	close(e.changed)
	e.changed = make(chan struct{})
}
