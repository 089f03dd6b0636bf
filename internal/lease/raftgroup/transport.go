package raftgroup

import (
	"context"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"
)

const (
	maxUnsentMessages = 256 // raft messages to one member that wait to be sent
	connectTimeout    = time.Second
	keepaliveInterval = 10 * time.Second // between pings on an idle connection
	keepaliveTimeout  = 2 * time.Second  // without an answer to a ping the connection is closed
)

// reconnectBackoff is the backoff of a broken connection to a member.
var reconnectBackoff = backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// dial makes a connection to a member. It connects when it is first used.
func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout, Backoff: reconnectBackoff}))
}

// receiveMessage hands a raft message of another member to the loop. It is the Step method of the service.
func (m *Member) receiveMessage(ctx context.Context, data []byte) error {
	message := &pb.Message{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	if message.GetTo() != m.storage.id { // to the member that this process was before it lost its file
		return ErrNoLeader
	}
	select {
	case m.messages <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-m.ended:
		return ErrNoLeader
	}
}

// sendMessage queues a raft message for its member, whose messages are sent in order. A message that finds the queue full is lost: raft sends
// what it needs again.
func (m *Member) sendMessage(ctx context.Context, message *pb.Message) {
	to := message.GetTo()
	queue := m.senders[to]
	if queue == nil {
		address := m.addressOf(to)
		if address == "" {
			return
		}
		queue = make(chan *pb.Message, maxUnsentMessages)
		m.senders[to] = queue
		go m.sendMessages(ctx, m.conns[address], queue)
	}
	select {
	case queue <- message:
	default:
		m.reportSend(sendOutcome{to: to, snapshot: isSnapshot(message)})
	}
}

// addressOf returns a member's address; empty: the operator's file does not list it.
func (m *Member) addressOf(id uint64) (address string) {
	for _, peer := range m.options.Peers {
		if peer.Name == m.members[id] {
			address = peer.Address
		}
	}
	return address
}

// sendOutcome is what became of a raft message.
type sendOutcome struct {
	to       uint64
	snapshot bool // the message carried a snapshot
	ok       bool
}

func isSnapshot(message *pb.Message) bool { return message.GetType() == pb.MsgSnap }

// sendMessages sends the messages of a queue to one member until ctx ends, and reports to the loop what raft has to know.
func (m *Member) sendMessages(ctx context.Context, conn *grpc.ClientConn, queue <-chan *pb.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			data, err := proto.Marshal(message)
			if err != nil {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
			_, err = call[empty](callCtx, conn, methodStep, messageCall{m.header(), data})
			cancel()
			if err == nil && !isSnapshot(message) {
				continue
			}
			select {
			case m.sendOutcomes <- sendOutcome{message.GetTo(), isSnapshot(message), err == nil}:
			case <-ctx.Done():
			}
		}
	}
}

// reportSend reports to raft what became of a message. While a snapshot is on its way to a member, raft sends it nothing else until it hears of
// that.
func (m *Member) reportSend(outcome sendOutcome) {
	switch {
	case outcome.snapshot && outcome.ok:
		m.node.ReportSnapshot(outcome.to, raft.SnapshotFinish)
	case outcome.snapshot:
		m.node.ReportSnapshot(outcome.to, raft.SnapshotFailure)
	default:
		m.node.ReportUnreachable(outcome.to)
	}
}
