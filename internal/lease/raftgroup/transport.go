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
	maxUnsentMessages = 256 // raft messages queued for one member
	connectTimeout    = time.Second
	keepaliveInterval = 10 * time.Second // time between pings on an idle connection
	keepaliveTimeout  = 2 * time.Second  // time without an answer to a ping after which the connection is closed
)

// reconnectBackoff is the delay between attempts to reconnect to a member.
var reconnectBackoff = backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// dial returns a connection to a member, which is established when it is first used.
func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout, Backoff: reconnectBackoff}))
}

// receiveMessage passes a raft message of another member to the loop. It implements the Step method of the service.
func (m *Member) receiveMessage(ctx context.Context, data []byte) error {
	message := &pb.Message{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	if message.GetTo() != m.storage.id { // the message is for the raft id that this process had before it lost its file
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

// sendMessage queues a raft message for the member that is to receive it. The messages of a queue are sent in order. If the queue is full, the
// message is dropped, and raft sends it again if it is still needed.
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

// addressOf returns a member's address, which is empty if the configuration file does not list the member.
func (m *Member) addressOf(id uint64) (address string) {
	for _, peer := range m.options.Peers {
		if peer.Name == m.members[id] {
			address = peer.Address
		}
	}
	return address
}

// sendOutcome reports whether a raft message was delivered.
type sendOutcome struct {
	to       uint64 // raft id of the receiving member
	snapshot bool   // the message carried a snapshot
	ok       bool   // the member has received the message
}

func isSnapshot(message *pb.Message) bool { return message.GetType() == pb.MsgSnap }

// sendMessages sends the messages of a queue to one member until ctx ends. It reports every failure, and the outcome of every message with a
// snapshot, to the loop.
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

// reportSend reports the outcome of a message to raft. After raft has sent a snapshot to a member, it sends that member no log entries until it
// gets this report.
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
