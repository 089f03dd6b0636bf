package raftgroup

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/lease"
)

// Peer is a member of the group, as the operator's file names it.
type Peer struct {
	Name    string
	Address string
}

// Options are a Member's parameters.
type Options struct {
	Fleet  string // what is of another fleet is turned away
	Name   string // one of Peers
	Peers  []Peer
	File   string // its disk
	Limits lease.Limits
	Drift  float64
	Tick   time.Duration // a heartbeat; a leader that is silent for electionTicks of them is replaced
	Log    *slog.Logger
	Now    func() time.Duration // Boottime, but for tests
}

const (
	electionTicks = 10
	snapshotEvery = 2000    // entries
	mostAsks      = 4096    // in hand at once
	mostMessages  = 4096    // from other members, that wait
	mostMessage   = 1 << 20 // bytes of a message between members
)

// Member is one of the group's. It is safe for concurrent use; all that it knows is its loop's.
type Member struct {
	o     Options
	disk  *storage
	node  *raft.RawNode
	stop  context.CancelFunc
	ended chan struct{}

	forming atomic.Bool
	err     error // why it takes no part any more; after ended

	steps chan *pb.Message
	asks  chan *pendingRequest
	infos chan chan Info
	joins chan joining
	sent  chan sent
	grpc  *grpc.Server
	conns map[string]*grpc.ClientConn // by address; made before the loop begins

	table   *lease.Table
	terms   *lease.Expirations // nil: it does not lead, or not yet for sure
	peers   map[uint64]string
	conf    *pb.ConfState
	applied uint64
	changed bool   // the group, since the last snapshot: a newcomer takes none in which it does not stand
	term    uint64 // raft's, that it leads in; 0: it does not
	leader  uint64

	last    uint64                      // proposal
	pending map[uint64]*pendingRequest  // proposed
	reads   []*pendingRequest           // to be answered once the group has confirmed who leads
	reading []*pendingRequest           // those that are being confirmed
	readAt  uint64                      // the index that was confirmed; 0: not yet
	parked  map[string]*pendingRequest  // waiters, by name and client
	sending map[uint64]chan *pb.Message // by member

	turned struct {
		sync.Mutex
		at time.Time
	}
}

type pendingRequest struct {
	request   lease.Request
	holdUntil time.Duration // it may be held back
	answer    chan requestAnswer
}

func (a *pendingRequest) reply(r lease.Reply) {
	select {
	case a.answer <- requestAnswer{Reply: r}:
	default: // it has one
	}
}

type joining struct {
	id   uint64
	name string
	done chan error
}

// proposal is an entry of the log.
type proposal struct {
	Proposer   uint64        `json:"node"` // that proposed it
	ID         uint64        `json:"id"`
	LeaderTerm uint64        `json:"epoch,omitempty"` // a leader's own word: it counts only in the raft term in which it was said
	Request    lease.Request `json:"ask"`
}

// recordSnapshot is the record on the disk.
type recordSnapshot struct {
	Version   int               `json:"version"`
	LastToken lease.Token       `json:"last"`
	Entries   []lease.Entry     `json:"entries"`
	Notes     map[string]string `json:"notes,omitempty"`
	Members   map[uint64]string `json:"peers"`
}

// New opens a member's disk; while another process holds it, it waits. Run has it take part.
func New(ctx context.Context, o Options) (*Member, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = BootTime
	}
	if !slices.ContainsFunc(o.Peers, func(p Peer) bool { return p.Name == o.Name }) {
		return nil, fmt.Errorf("%q is not one of the group's members", o.Name)
	}
	var d *storage
	held := boltfile.LockWait{OnWaiting: func(since time.Duration) {
		o.Log.Warn("fleet: another process holds the group's file: waiting for it", "file", o.File, "since", since.Round(time.Millisecond).String())
	}}
	if err := recoverStorageFault(func() (err error) { d, err = openStorage(ctx, o.File, o.Fleet, held); return err }); err != nil {
		return nil, fmt.Errorf("the group's file %s: %w", o.File, err)
	}
	m := &Member{o: o, disk: d, ended: make(chan struct{}), steps: make(chan *pb.Message, mostMessages), asks: make(chan *pendingRequest, mostAsks),
		infos: make(chan chan Info), joins: make(chan joining), sent: make(chan sent), conns: map[string]*grpc.ClientConn{}, table: lease.NewTable(o.Limits),
		peers: map[uint64]string{}, pending: map[uint64]*pendingRequest{}, parked: map[string]*pendingRequest{}, sending: map[uint64]chan *pb.Message{}}
	for _, p := range o.Peers {
		conn, err := dial(p.Address)
		if err != nil {
			return nil, errors.Join(err, d.close())
		}
		m.conns[p.Address] = conn
	}
	m.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(2*mostMessage), grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))
	m.grpc.RegisterService(&serviceDesc, m)
	return m, nil
}

// dial makes a connection to a member, which comes up as it is used, and is given up where it is silent.
func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: reconnectBackoff}))
}

// Run takes part until ctx ends or the disk breaks, serving what comes to the listener, which it closes.
func (m *Member) Run(ctx context.Context, l net.Listener) error {
	ctx, m.stop = context.WithCancel(ctx)
	defer m.stop()
	serving := make(chan struct{})
	go func() {
		defer close(serving)
		_ = m.grpc.Serve(l) // it ends with Stop
	}()
	err := recoverStorageFault(func() error {
		if err := m.form(ctx); err != nil {
			return err
		}
		return m.loop(ctx)
	})
	if ctx.Err() != nil {
		err = nil
	}
	m.err = err
	close(m.ended)
	m.grpc.Stop()
	<-serving
	for _, c := range m.conns {
		c.Close()
	}
	return errors.Join(err, recoverStorageFault(m.disk.close))
}

// recoverStorageFault has a disk whose pages are not what they should be end this part alone: bbolt panics on some, and a page that the file has lost is a
// fault of memory.
func recoverStorageFault(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("it is torn, or the program is wrong: %v", p)
		}
	}()
	return do()
}

// turnAway is fromOther, logged once a minute.
func (m *Member) turnAway(h callHeader) error {
	err := m.fromOther(h)
	if err != nil {
		m.turned.Lock()
		defer m.turned.Unlock()
		if time.Since(m.turned.at) >= time.Minute {
			m.turned.at = time.Now()
			m.o.Log.Warn("fleet: a call is turned away", "from", h.Name, "reason", err)
		}
	}
	return err
}

func (m *Member) hello() callHeader {
	return callHeader{Version: protocolVersion, Fleet: m.o.Fleet, From: m.disk.id, Name: m.o.Name}
}

// form makes this process a member. One whose disk stands in a group goes on in it. One whose disk is empty begins a group only with all
// others empty too: else it has lost its disk, or come later, and asks the group to take it in as somebody new, in place of the one of its name
// that can't vote any more.
func (m *Member) form(ctx context.Context) error {
	if m.disk.bootstrapped {
		return nil
	}
	m.forming.Store(true) // others ask too, while this one waits for them
	defer m.forming.Store(false)
	tick := time.NewTicker(m.o.Tick)
	defer tick.Stop()
	for {
		all, formed := map[uint64]string{m.disk.id: m.o.Name}, false
		for _, p := range m.o.Peers {
			if p.Name == m.o.Name {
				continue
			}
			one, cancel := context.WithTimeout(ctx, electionTicks*m.o.Tick)
			i, err := call[Info](one, m.conns[p.Address], "Info", m.hello())
			cancel()
			if err != nil {
				continue
			}
			if _, mine := i.Members[m.disk.id]; mine { // it was counted as the group began, or is being taken in: it waits to be told all
				m.peers = i.Members // to answer them
				return nil
			}
			if i.Bootstrapped {
				formed = true
				if i.IsLeader {
					one, cancel := context.WithTimeout(ctx, electionTicks*m.o.Tick)
					_, err := call[empty](one, m.conns[p.Address], "Join", joinCall{m.hello()}) // that it is, Info says
					cancel()
					m.o.Log.Info("fleet: asks to be taken in", "by", p.Name, "answer", err)
				}
			}
			all[i.ID] = p.Name
		}
		if !formed && len(all) == len(m.o.Peers) {
			ids := slices.Sorted(maps.Keys(all))
			data, err := json.Marshal(recordSnapshot{Version: protocolVersion, Members: all})
			if err != nil {
				return err
			}
			m.o.Log.Info("fleet: a group begins", "members", len(ids))
			return m.disk.bootstrap(&pb.ConfState{Voters: ids}, data)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// loop is all that a member does, one thing after the other.
func (m *Member) loop(ctx context.Context) error {
	snap, err := m.disk.memory.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snap) { // it is told
		m.conf = &pb.ConfState{}
	} else if err := m.restore(snap); err != nil {
		return err
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: m.disk.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.disk.memory, Applied: m.applied,
		MaxSizePerMsg: mostMessage / 4, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: discardLogger{}})
	if err != nil {
		return err
	}
	tick := time.NewTicker(m.o.Tick)
	defer tick.Stop()
	defer m.unlead()
	for {
		for m.node.HasReady() {
			if err := m.ready(ctx); err != nil {
				return err
			}
		}
		m.read()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			m.node.Tick()
			m.due()
		case msg := <-m.steps:
			_ = m.node.Step(msg) // what is not for it is dropped
		case a := <-m.asks:
			m.take(a)
		case answer := <-m.infos:
			answer <- m.info()
		case s := <-m.sent:
			m.told(s)
		case j := <-m.joins:
			j.done <- m.takeIn(j)
		}
	}
}

// ready carries out what raft wants, in its order: what is written stands before anything is sent.
func (m *Member) ready(ctx context.Context) error {
	rd := m.node.Ready()
	if err := m.disk.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return fmt.Errorf("the group's disk: %w", err)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := m.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, msg := range rd.Messages {
		m.send(ctx, msg)
	}
	if rd.SoftState != nil {
		m.leader = rd.SoftState.Lead
		if rd.SoftState.RaftState != raft.StateLeader {
			m.unlead()
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := m.apply(e); err != nil {
			return err
		}
	}
	for _, s := range rd.ReadStates {
		if len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == m.last {
			m.readAt = s.Index
		}
	}
	m.node.Advance(rd)
	if first, err := m.disk.memory.FirstIndex(); err == nil && (m.changed || m.applied > first+snapshotEvery) {
		m.changed = false
		data, err := json.Marshal(recordSnapshot{Version: protocolVersion, LastToken: m.table.LastToken(), Entries: m.table.List(), Notes: m.table.Notes(), Members: m.peers})
		if err != nil {
			return err
		}
		return m.disk.saveSnapshot(m.applied, m.conf, data)
	}
	return nil
}

func (m *Member) restore(snap *pb.Snapshot) error {
	var s recordSnapshot
	if err := json.Unmarshal(snap.GetData(), &s); err != nil {
		return fmt.Errorf("the group's snapshot: %w", err)
	}
	if s.Version != protocolVersion {
		return fmt.Errorf("the group's snapshot is of version %d, and not %d", s.Version, protocolVersion)
	}
	m.table = lease.NewTable(m.o.Limits)
	m.table.Restore(s.LastToken, s.Entries)
	m.table.RestoreNotes(s.Notes)
	m.peers, m.conf, m.applied = s.Members, snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	return nil
}

// apply applies one entry.
func (m *Member) apply(e *pb.Entry) error {
	m.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChangeV2:
		var cc pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return err
		}
		m.conf, m.changed = m.node.ApplyConfChange(&cc), true
		for _, c := range cc.Changes {
			if c.GetType() == pb.ConfChangeRemoveNode {
				delete(m.peers, c.GetNodeId())
				continue
			}
			m.peers[c.GetNodeId()] = string(cc.Context)
		}
		return nil
	case pb.EntryNormal:
	default:
		return nil
	}
	m.lead(e.GetTerm())
	if len(e.GetData()) == 0 {
		return nil
	}
	var c proposal
	if err := json.Unmarshal(e.GetData(), &c); err != nil {
		return fmt.Errorf("entry %d of the group's log: %w", e.GetIndex(), err)
	}
	mine := m.pending[c.ID]
	if c.Proposer == m.disk.id {
		delete(m.pending, c.ID)
	} else {
		mine = nil
	}
	if c.LeaderTerm != 0 && c.LeaderTerm != e.GetTerm() { // its leader led no longer: the new one counts anew
		return nil
	}
	r, granted := m.table.Apply(c.Request)
	if m.terms == nil { // who does not lead answers nothing
		return nil
	}
	r = m.terms.Applied(m.o.Now(), c.Request, r, granted)
	if granted != nil {
		m.unpark(granted)
	}
	if mine == nil {
		return nil
	}
	if r.Status == lease.Waiting && mine.holdUntil > m.o.Now() {
		m.park(mine, r)
		return nil
	}
	mine.reply(r)
	return nil
}

func parkedKey(name, client string) string { return name + "\x00" + client }

// park holds an answer back. One ask of a client waits at a time: an earlier one is answered.
func (m *Member) park(a *pendingRequest, r lease.Reply) {
	k := parkedKey(a.request.Name, a.request.Client)
	if old := m.parked[k]; old != nil {
		r.SendNumber = old.request.SendNumber
		old.reply(r)
	}
	m.parked[k] = a
}

// unpark tells a waiter at once that it holds the lease. Its term counts from its ask, which came before.
func (m *Member) unpark(e *lease.Entry) {
	k := parkedKey(e.Name, e.Holder)
	if p := m.parked[k]; p != nil && p.request.Sequence == e.Sequence {
		delete(m.parked, k)
		p.reply(lease.Reply{Status: lease.Granted, Client: p.request.Client, Name: e.Name, Sequence: p.request.Sequence, SendNumber: p.request.SendNumber, Token: e.Token, Duration: e.Duration, Holder: e.Holder})
	}
}

// lead begins to lead as the first entry of the own raft term is applied: all that was confirmed before has been applied by then.
func (m *Member) lead(term uint64) {
	s := m.node.BasicStatus()
	if m.terms != nil || s.RaftState != raft.StateLeader || s.HardState.GetTerm() != term {
		return
	}
	m.term, m.terms = term, lease.NewExpirations(m.o.Now(), m.table, m.o.Drift)
	m.o.Log.Info("fleet: leads", "term", term)
}

// unlead ends that. Whoever waits asks again, another member.
func (m *Member) unlead() {
	if m.terms != nil {
		m.o.Log.Info("fleet: leads no longer", "term", m.term)
	}
	m.term, m.terms, m.readAt = 0, nil, 0
	for _, all := range [][]*pendingRequest{m.reads, m.reading, slices.Collect(maps.Values(m.pending)), slices.Collect(maps.Values(m.parked))} {
		for _, a := range all {
			m.notNow(a)
		}
	}
	m.reads, m.reading = nil, nil
	clear(m.pending)
	clear(m.parked)
}

func (m *Member) notNow(a *pendingRequest) {
	select {
	case a.answer <- requestAnswer{Leader: m.peers[m.leader]}:
	default:
	}
}

// take takes an ask.
func (m *Member) take(a *pendingRequest) {
	switch {
	case m.terms == nil:
		m.notNow(a)
	case len(m.reads) >= mostAsks:
		m.notNow(a)
	case a.request.Kind == lease.Acquire || a.request.Kind == lease.Renew:
		m.reads = append(m.reads, a)
	case a.request.Kind == lease.Expire: // the leader's alone
		a.reply(lease.Reply{Status: lease.NotHeld, Client: a.request.Client, Name: a.request.Name, Sequence: a.request.Sequence, SendNumber: a.request.SendNumber})
	default:
		m.propose(a, 0)
	}
}

// read has the group confirm who leads, for all asks that came before, and answers those for which it has.
func (m *Member) read() {
	if m.terms == nil {
		return
	}
	if m.readAt > 0 && m.applied >= m.readAt {
		m.readAt = 0
		now := m.o.Now()
		for _, a := range m.reading {
			if a.request.Kind == lease.Renew {
				a.reply(m.terms.Renew(now, a.request))
				continue
			}
			r, ok := m.terms.AnswerRepeated(now, a.request)
			switch {
			case !ok:
				m.propose(a, 0)
			case r.Status == lease.Waiting && a.holdUntil > now:
				m.park(a, r)
			default:
				a.reply(r)
			}
		}
		m.reading = nil
	}
	if len(m.reading) == 0 && len(m.reads) > 0 {
		m.reading, m.reads = m.reads, nil
		m.last++
		m.node.ReadIndex(binary.BigEndian.AppendUint64(nil, m.last))
	}
}

func (m *Member) propose(a *pendingRequest, epoch uint64) {
	id := uint64(m.o.Now())<<16 | uint64(len(m.pending))&0xffff // not that of an earlier life
	for m.pending[id] != nil {
		id++
	}
	data, err := json.Marshal(proposal{Proposer: m.disk.id, ID: id, LeaderTerm: epoch, Request: a.request})
	if err == nil {
		err = m.node.Propose(data)
	}
	if err != nil { // it leads no longer, or too much is on its way
		m.notNow(a)
		return
	}
	m.pending[id] = a
}

// due ends what is over, and what is held back for long enough.
func (m *Member) due() {
	if m.terms == nil {
		return
	}
	now := m.o.Now()
	for _, a := range m.terms.Expired(now) {
		m.propose(&pendingRequest{request: a, answer: make(chan requestAnswer, 1)}, m.term)
	}
	for k, a := range m.parked {
		if now >= a.holdUntil {
			delete(m.parked, k)
			r, ok := m.terms.AnswerRepeated(now, a.request)
			if !ok {
				r = lease.Reply{Status: lease.NotHeld, Client: a.request.Client, Name: a.request.Name, Sequence: a.request.Sequence, SendNumber: a.request.SendNumber}
			}
			if r.Status == lease.Granted { // who leads was not confirmed for it: it is to ask again
				r.Status = lease.Waiting
			}
			a.reply(r)
		}
	}
}

// takeIn begins to make a process a member, in steps of one change each: the one of its name goes first.
func (m *Member) takeIn(j joining) error {
	if m.terms == nil {
		return ErrNoLeader
	}
	if _, ok := m.peers[j.id]; ok {
		return nil
	}
	if !slices.ContainsFunc(m.o.Peers, func(p Peer) bool { return p.Name == j.name }) {
		return fmt.Errorf("%q is not one of the group's members", j.name)
	}
	cc := &pb.ConfChangeV2{Context: []byte(j.name)}
	for id, name := range m.peers {
		if name == j.name {
			cc.Changes = []*pb.ConfChangeSingle{{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)}}
			if err := m.node.ProposeConfChange(cc); err != nil {
				return err
			}
			return errors.New("the one of its name is taken out first")
		}
	}
	cc.Changes = []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(j.id)}}
	if err := m.node.ProposeConfChange(cc); err != nil {
		return err
	}
	return errors.New("it is being taken in")
}

func (m *Member) info() Info {
	i := Info{ID: m.disk.id, Name: m.o.Name, Bootstrapped: true, IsLeader: m.terms != nil, Leader: m.peers[m.leader], Members: maps.Clone(m.peers), LastToken: m.table.LastToken(), Leases: m.table.List(),
		Notes: m.table.Notes()}
	if m.terms != nil {
		now := m.o.Now()
		for _, e := range i.Leases {
			i.RemainingMs = append(i.RemainingMs, m.terms.Remaining(now, e.Name).Milliseconds())
		}
	}
	return i
}

// send hands a message to the one who sends to its member, in order. What does not fit is lost: raft says it again.
func (m *Member) send(ctx context.Context, msg *pb.Message) {
	to := msg.GetTo()
	address := ""
	for _, p := range m.o.Peers {
		if p.Name == m.peers[to] {
			address = p.Address
		}
	}
	q := m.sending[to]
	if q == nil {
		if address == "" {
			return
		}
		q = make(chan *pb.Message, 256)
		m.sending[to] = q
		go m.carry(ctx, m.conns[address], q)
	}
	select {
	case q <- msg:
	default:
		m.told(sent{to: to, snap: msg.GetType() == pb.MsgSnap})
	}
}

// sent is what became of a message: raft says nothing more to a member to which a snapshot is on its way, until it hears of that.
type sent struct {
	to   uint64
	snap bool
	ok   bool
}

func (m *Member) told(s sent) {
	switch {
	case s.snap && s.ok:
		m.node.ReportSnapshot(s.to, raft.SnapshotFinish)
	case s.snap:
		m.node.ReportSnapshot(s.to, raft.SnapshotFailure)
	default:
		m.node.ReportUnreachable(s.to)
	}
}

func (m *Member) carry(ctx context.Context, conn *grpc.ClientConn, q <-chan *pb.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-q:
			b, err := proto.Marshal(msg)
			if err != nil {
				continue
			}
			one, cancel := context.WithTimeout(ctx, electionTicks*m.o.Tick)
			_, err = call[empty](one, conn, "Step", messageCall{m.hello(), b}) // what is lost is said again
			cancel()
			if snap := msg.GetType() == pb.MsgSnap; err != nil || snap {
				select {
				case m.sent <- sent{msg.GetTo(), snap, err == nil}:
				case <-ctx.Done():
				}
			}
		}
	}
}

func (m *Member) step(ctx context.Context, b []byte) error {
	msg := &pb.Message{}
	if err := proto.Unmarshal(b, msg); err != nil {
		return err
	}
	if msg.GetTo() != m.disk.id { // to the one that this process was before it lost its disk
		return ErrNoLeader
	}
	select {
	case m.steps <- msg:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-m.ended:
		return ErrNoLeader
	}
}

func (m *Member) ask(ctx context.Context, a lease.Request, hold time.Duration) (requestAnswer, error) {
	one := &pendingRequest{request: a, answer: make(chan requestAnswer, 1)}
	if hold > 0 {
		one.holdUntil = m.o.Now() + hold
	}
	select {
	case m.asks <- one:
	case <-m.ended:
		return requestAnswer{}, ErrNoLeader
	default: // too many are in hand
		return requestAnswer{}, ErrNoLeader
	}
	select {
	case r := <-one.answer:
		return r, nil
	case <-ctx.Done():
		return requestAnswer{}, ctx.Err()
	case <-m.ended:
		return requestAnswer{}, ErrNoLeader
	}
}

// Info is what the member says of itself.
func (m *Member) Info(ctx context.Context) (Info, error) {
	if m.forming.Load() {
		return Info{ID: m.disk.id, Name: m.o.Name}, nil
	}
	answer := make(chan Info, 1)
	select {
	case m.infos <- answer:
		return <-answer, nil
	case <-ctx.Done():
		return Info{}, ctx.Err()
	case <-m.ended:
		return Info{}, ErrNoLeader
	}
}

func (m *Member) join(ctx context.Context, id uint64, name string) error {
	j := joining{id, name, make(chan error, 1)}
	select {
	case m.joins <- j:
		return <-j.done
	case <-ctx.Done():
		return ctx.Err()
	case <-m.ended:
		return ErrNoLeader
	}
}
