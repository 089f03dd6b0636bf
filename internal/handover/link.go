package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// stepTimeout bounds each step of a hand-over. It is short because both processes are on one machine.
	stepTimeout = time.Second
	// maxSocketPath is the longest path of a Unix socket, in bytes: sockaddr_un has 108, one of them for the terminating zero.
	maxSocketPath = 107
	// descriptorsHeldSize is the length of the payload of DescriptorsHeld, in bytes.
	descriptorsHeldSize = 4
)

// SocketPath returns the path of the Unix socket at which a sidecar's process waits for its successor, in a folder that both can access.
func SocketPath(folder string, own Identity) string {
	return filepath.Join(folder, fmt.Sprintf("orchiddrift-%016x.sock", xxhash.Sum64String(own.Name+"\x00"+own.Listen)))
}

// Link is the connection between a process and its successor. Its Send methods are safe for concurrent use. Only one goroutine may call
// Next.
type Link struct {
	conn          *net.UnixConn
	exchangesKeys bool   // the other process understands the messages about idempotency keys
	exchangesIDs  bool   // the other process understands the messages about IDs
	payload       []byte // of the latest message
}

// ExchangesKeys reports whether the other process understands KeyQuery, KeyReply and KeyRecord. Processes of releases before do not.
func (l *Link) ExchangesKeys() bool { return l.exchangesKeys }

// ExchangesIDs reports whether the other process understands IDQuery, IDReply and IDRecord. Processes of releases before do not.
func (l *Link) ExchangesIDs() bool { return l.exchangesIDs }

// SendPayload sends a message with a payload, which has at most MaxPayload bytes.
func (l *Link) SendPayload(kind MessageKind, payload []byte) error { return l.send(kind, payload) }

// Payload returns the payload of the message that Next returned last. Only the goroutine that calls Next may call it.
func (l *Link) Payload() []byte { return l.payload }

// Send sends a message without payload.
func (l *Link) Send(kind MessageKind) error { return l.send(kind, nil) }

// SendDescriptorsHeld sends the successor the number of descriptors that this process still has open.
func (l *Link) SendDescriptorsHeld(held int) error {
	return l.send(DescriptorsHeld, binary.BigEndian.AppendUint32(nil, uint32(held)))
}

func (l *Link) send(kind MessageKind, payload []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	_, err := l.conn.Write(Append(nil, kind, payload))
	return err
}

// Next waits for the next message. The result held is the number in a DescriptorsHeld message. Any error means that the other process
// has ended or does not follow the protocol.
func (l *Link) Next() (kind MessageKind, held int, err error) {
	kind, payload, err := Read(l.conn)
	switch {
	case err != nil:
		return 0, 0, err
	case kind == DescriptorsHeld && len(payload) != descriptorsHeldSize:
		return 0, 0, ErrProtocol
	case kind == DescriptorsHeld:
		held = int(binary.BigEndian.Uint32(payload))
	}
	l.payload = payload
	return kind, held, nil
}

// Close closes the connection.
func (l *Link) Close() error { return l.conn.Close() }

// checkSameUser returns an error if the other process belongs to another user.
func (l *Link) checkSameUser() error {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	controlErr := raw.Control(func(fd uintptr) {
		peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if controlErr != nil {
		return controlErr
	}
	if err != nil {
		return err
	}
	if int(peer.Uid) != os.Getuid() {
		return errors.New("the process at the other end of the hand-over socket belongs to another user")
	}
	return nil
}
