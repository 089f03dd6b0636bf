package etcdstore

import (
	"context"
	"net"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tlscredentials"
)

// session is a connection to etcd with its leases.
type session struct {
	client      *clientv3.Client // nil until the client has been created
	lease       clientv3.LeaseID // lease of the owner key, which is kept alive; 0 if there is none
	recordLease clientv3.LeaseID // lease that is attached to newly written records; 0 if there is none
	process     string           // the process's name, which is the name of its first session
}

// All records that a process writes within a period of Retention/recordLeaseSlots share one lease, so that few leases are needed. The lease
// expires no earlier than Retention after the end of that period.
const (
	recordLeaseSlots = 8
	// lateCommitTimeout is the longest time after which a server may still commit a transaction that its client has given up. A record's
	// lease lasts longer by this time, and a failed claim is withdrawn if it is committed within this time.
	lateCommitTimeout = 10 * time.Second
)

// currentSession returns the session, and false if ensureSession must complete it first.
func (s *Store) currentSession() (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.session
	complete := current.lease != 0 && current.recordLease != 0
	return current, complete && time.Since(s.recordLeaseSince) < s.options.Retention/recordLeaseSlots
}

// ensureSession returns a complete session. It connects and grants leases if needed. Concurrent calls share one attempt.
func (s *Store) ensureSession(ctx context.Context) (session, error) {
	if current, ok := s.currentSession(); ok {
		return current, nil
	}
	done := s.connecting.DoChan("session", func() (any, error) { return s.completeSession() })
	select {
	case result := <-done:
		if result.Err != nil {
			return session{}, result.Err
		}
		return result.Val.(session), nil
	case <-ctx.Done():
		return session{}, ctx.Err()
	}
}

// completeSession connects, and grants the leases that are missing or due for rotation. It takes at most Declaration.Timeout.
func (s *Store) completeSession() (session, error) {
	current, ok := s.currentSession()
	if ok {
		return current, nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout.D())
	defer cancel()
	if current.client == nil {
		client, err := s.connect()
		if err != nil {
			return current, err
		}
		current.client = client
	}
	if current.lease == 0 {
		if err := s.grantSessionLease(ctx, current.client); err != nil {
			return current, s.trackAvailability(err)
		}
	}
	err := s.grantRecordLease(ctx, current.client)
	current, _ = s.currentSession()
	return current, s.trackAvailability(err)
}

// connect creates the client, which connects to etcd in the background and reconnects by itself.
func (s *Store) connect() (*clientv3.Client, error) {
	client, err := s.newClient()
	if err != nil {
		return nil, s.trackAvailability(err)
	}
	s.mu.Lock()
	closed := s.ctx.Err()
	if closed == nil {
		s.session.client = client
	}
	s.mu.Unlock()
	if closed != nil { // Store.Close has not seen this client and does not close it
		client.Close()
		return nil, closed
	}
	return client, nil
}

func (s *Store) newClient() (*clientv3.Client, error) {
	password, err := s.options.password()
	if err != nil {
		return nil, err
	}
	servers := make([]string, len(s.options.Servers))
	for i, server := range s.options.Servers {
		servers[i] = "http://" + server // the dialer does TLS
	}
	timeout := s.options.Timeout.D()
	return clientv3.New(clientv3.Config{
		Endpoints:            servers,
		Username:             s.options.User,
		Password:             password,
		DialTimeout:          timeout,
		DialKeepAliveTime:    s.options.Session.D(),
		DialKeepAliveTimeout: timeout,
		Context:              s.ctx,
		Logger:               zap.NewNop(),
		DialOptions:          []grpc.DialOption{grpc.WithContextDialer(s.dialer())},
	})
}

// dialer returns the function that opens connections to etcd, with TLS if it is declared.
func (s *Store) dialer() func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: s.options.Timeout.D()}
	if s.credentials == nil {
		return func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	tlsClient := tlscredentials.NewClient(s.credentials, s.options.TLS)
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		encrypted, err := tlsClient.HandshakeALPN(ctx, conn, endpoints.Instance{Address: address}, "h2")
		if err != nil {
			conn.Close()
			return nil, err
		}
		return encrypted, nil
	}
}

// grantSessionLease starts a session, which consists of a lease that is kept alive and the owner key that is attached to the lease.
func (s *Store) grantSessionLease(ctx context.Context, client *clientv3.Client) error {
	grant, err := client.Grant(ctx, int64(s.options.Session.D()/time.Second))
	if err != nil {
		return err
	}
	if _, err := client.Put(ctx, s.ownerKey(leaseName(grant.ID)), s.options.Service, clientv3.WithLease(grant.ID)); err != nil {
		return err
	}
	keepAlives, err := client.KeepAlive(s.ctx, grant.ID)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.session.lease = grant.ID
	if s.session.process == "" {
		s.session.process = leaseName(grant.ID)
	}
	s.mu.Unlock()
	s.start(func() {
		for range keepAlives { // the channel is closed once the client considers the lease expired
		}
		s.dropSession(grant.ID)
	})
	return nil
}

// grantRecordLease grants the lease for the records that are written from now on. The lease expires no earlier than Retention after the
// last of these records is written.
func (s *Store) grantRecordLease(ctx context.Context, client *clientv3.Client) error {
	granted := time.Now()
	ttl := int64((s.options.Retention+s.options.Retention/recordLeaseSlots)/time.Second) + int64(lateCommitTimeout/time.Second)
	grant, err := client.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session.recordLease, s.recordLeaseSince = grant.ID, granted
	return nil
}

// dropSession discards a session whose lease has expired, if it is still the current session. The next ensureSession starts a new session.
func (s *Store) dropSession(lease clientv3.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session.lease == lease {
		s.session.lease, s.session.recordLease = 0, 0
	}
}
