package raftgroup

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/lease"
)

// Limits on the memory of a member and on the size of its messages.
const (
	maxPendingRequests  = 4096                // client requests queued for the loop, and as many queued for a read index
	maxReceivedMessages = 4096                // raft messages of other members queued for the loop
	maxMessageBytes     = 1 << 20             // size of a raft message
	maxGRPCMessageBytes = 2 * maxMessageBytes // size of a raft message in base64, with its header
	maxAppendBytes      = maxMessageBytes / 4 // size of the entries in one append message
	maxInflightAppends  = 64                  // append messages to one member that it has not acknowledged
	maxUncommittedBytes = 16 << 20            // size of the proposals that are not committed yet
)

// minKeepaliveInterval is the shortest interval between the keepalive pings of a client that a member accepts.
const minKeepaliveInterval = time.Second

// electionTicks is the number of ticks for which a leader may be silent before it is replaced. A call between members times out after as many ticks.
const electionTicks = 10

// Peer is a member of the group as the configuration file lists it.
type Peer struct {
	Name    string
	Address string // IP address and port
}

// DeclaredPeers returns the members that the configuration file lists.
func DeclaredPeers(d *lease.Declaration) (peers []Peer) {
	for _, m := range d.Members {
		peers = append(peers, Peer(m))
	}
	return peers
}

// Options are a Member's parameters.
type Options struct {
	Fleet  string // name of the fleet; calls and files of another fleet are rejected
	Name   string // name of this member, one of Peers
	Peers  []Peer // all members, including this one
	File   string // path of this member's storage file
	Limits lease.Limits
	Drift  float64              // largest relative error of a process's clock rate
	Tick   time.Duration        // raft heartbeat interval
	Log    *slog.Logger         // if nil, nothing is logged
	Now    func() time.Duration // clock; if nil, BootTime
}

// Member is a member of the raft group that replicates the lease table. Its methods are safe for concurrent use. Only the goroutine of Run uses
// the fields of the loop.
type Member struct {
	options       Options
	storage       *storage
	server        *grpc.Server
	conns         map[string]*grpc.ClientConn // by address
	ended         chan struct{}               // closed when Run's loop has ended
	bootstrapping atomic.Bool                 // bootstrap waits for other members, and the loop has not started
	rejections    rejectionLog

	// Events for the loop.
	messages     chan *pb.Message
	requests     chan *pendingRequest
	infoRequests chan chan Info
	joinRequests chan joinRequest
	sendOutcomes chan sendOutcome

	// Raft state of the loop.
	node         *raft.RawNode
	members      map[uint64]string // names by raft id
	confState    *pb.ConfState
	confChanged  bool // the members have changed since the last snapshot; a new member rejects a snapshot that does not list it
	appliedIndex uint64
	leaderID     uint64
	senders      map[uint64]chan *pb.Message // queues of messages to the other members, by raft id

	// Lease state of the loop.
	table       *lease.Table
	expirations *lease.Expirations         // nil if this member does not lead, or has not applied an entry of its own raft term yet
	leaderTerm  uint64                     // the raft term in which this member leads; 0 if it does not lead
	proposals   map[uint64]*pendingRequest // requests that were proposed, by proposal ID
	delayed     map[string]*pendingRequest // requests of waiters whose reply is delayed, by delayedKey
	reads       readQueue
}

// New opens a member's file, and waits while another process has it open. The member takes part in the group once Run is called.
func New(ctx context.Context, options Options) (*Member, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Now == nil {
		options.Now = BootTime
	}
	if !isDeclared(options.Peers, options.Name) {
		return nil, fmt.Errorf("%q %w", options.Name, ErrNotAMember)
	}
	storage, err := openFile(ctx, &options)
	if err != nil {
		return nil, err
	}
	m := &Member{options: options, storage: storage, conns: map[string]*grpc.ClientConn{}, ended: make(chan struct{}),
		messages: make(chan *pb.Message, maxReceivedMessages), requests: make(chan *pendingRequest, maxPendingRequests),
		infoRequests: make(chan chan Info), joinRequests: make(chan joinRequest), sendOutcomes: make(chan sendOutcome),
		members: map[uint64]string{}, senders: map[uint64]chan *pb.Message{},
		table: lease.NewTable(options.Limits), proposals: map[uint64]*pendingRequest{}, delayed: map[string]*pendingRequest{}}
	for _, peer := range options.Peers {
		conn, err := dial(peer.Address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("creating the connection to member %s: %w", peer.Name, err), m.closeConns(), storage.close())
		}
		m.conns[peer.Address] = conn
	}
	m.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxGRPCMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}))
	m.server.RegisterService(&serviceDesc, m)
	return m, nil
}

// openFile opens the storage file of options, and logs a warning while another process holds it.
func openFile(ctx context.Context, options *Options) (s *storage, err error) {
	wait := boltfile.LockWait{OnWaiting: func(since time.Duration) {
		options.Log.Warn("fleet: another process holds the group's file: waiting for it", "file", options.File, "since", since.Round(time.Millisecond).String())
	}}
	err = recoverStorageFault(func() error {
		var err error
		s, err = openStorage(ctx, options.File, options.Fleet, wait)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("opening the group's file %s: %w", options.File, err)
	}
	return s, nil
}

// isDeclared reports whether peers lists a member of that name.
func isDeclared(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
}

// Run takes part in the group until ctx ends or the storage fails. It serves the group's calls on the listener and closes it. The end of ctx is
// not an error.
func (m *Member) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = m.server.Serve(listener) // returns after Stop
	}()
	err := recoverStorageFault(func() error {
		if err := m.bootstrap(ctx); err != nil {
			return err
		}
		return m.loop(ctx)
	})
	if ctx.Err() != nil {
		err = nil
	}
	close(m.ended)
	m.server.Stop()
	<-served
	_ = m.closeConns() // an error does not matter, since nothing is sent any more
	return errors.Join(err, recoverStorageFault(m.storage.close))
}

func (m *Member) closeConns() (err error) {
	for _, conn := range m.conns {
		err = errors.Join(err, conn.Close())
	}
	return err
}

// Info returns the member's report of itself, the group and the lease table.
func (m *Member) Info(ctx context.Context) (Info, error) {
	if m.bootstrapping.Load() { // the loop does not run yet, while other members call Info to form a group with this one
		return Info{ID: m.storage.id, Name: m.options.Name}, nil
	}
	answer := make(chan Info, 1)
	select {
	case m.infoRequests <- answer:
		return <-answer, nil
	case <-ctx.Done():
		return Info{}, ctx.Err()
	case <-m.ended:
		return Info{}, ErrNoLeader
	}
}

// info builds the answer to Info. It runs in the loop.
func (m *Member) info() Info {
	info := Info{ID: m.storage.id, Name: m.options.Name, Bootstrapped: true, IsLeader: m.isLeading(), Leader: m.members[m.leaderID],
		Members: m.memberNames(), LastToken: m.table.LastToken(), Leases: m.table.List(), Notes: m.table.Notes()}
	if m.isLeading() {
		now := m.options.Now()
		for _, entry := range info.Leases {
			info.RemainingMs = append(info.RemainingMs, m.expirations.Remaining(now, entry.Name).Milliseconds())
		}
	}
	return info
}
