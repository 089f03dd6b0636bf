package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// ErrNoSuccessor is returned by Offer.Next if the process that connected is not a successor or did not complete the hand-over.
var ErrNoSuccessor = errors.New("no successor")

const (
	// temporaryPathReserve is the number of bytes by which the temporary path of a socket may exceed its final path.
	temporaryPathReserve = 4
	// temporaryPathNumbers bounds the number in a temporary path, and thereby its length.
	temporaryPathNumbers = 100_000

	socketSuffix               = ".sock"
	socketFileMode os.FileMode = 0o600
)

// Offer waits for successors at the path of a Unix socket.
type Offer struct{ listener *net.UnixListener }

// Listen starts to wait for successors at path, which must end in ".sock". If another process waits there, successors connect to this
// process instead from then on. The socket is created under a temporary name and renamed, so that there always is a socket at path.
func Listen(path string) (*Offer, error) {
	if len(path)+temporaryPathReserve > maxSocketPath {
		return nil, fmt.Errorf("the path %s is too long for a Unix socket", path)
	}
	temporary := fmt.Sprintf("%s.%d", path[:len(path)-len(socketSuffix)], os.Getpid()%temporaryPathNumbers)
	_ = os.Remove(temporary) // left by a crashed process that used the same number
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // when the listener is closed, the path may belong to a successor
	if err := errors.Join(os.Chmod(temporary, socketFileMode), os.Rename(temporary, path)); err != nil {
		listener.Close()
		_ = os.Remove(temporary)
		return nil, err
	}
	return &Offer{listener}, nil
}

// Next waits for a successor, passes it the state and the socket of clientListener, and returns the link to it. ErrNoSuccessor concerns
// only one connection, and Next may be called again; any other error ends the offer.
func (o *Offer) Next(own Identity, clientListener net.Listener, state func() State) (*Link, error) {
	conn, err := o.listener.AcceptUnix()
	if err != nil {
		return nil, err
	}
	link := &Link{conn: conn}
	if err := link.welcome(own, clientListener, state); err != nil {
		link.Close()
		return nil, fmt.Errorf("%w: the hand-over to the connected process failed: %w", ErrNoSuccessor, err)
	}
	return link, nil
}

// Close ends the offer. It does not remove the socket's path, which may belong to a successor by then. If the path still belongs to this
// process, connections to it are refused.
func (o *Offer) Close() error { return o.listener.Close() }

// welcome receives Hello and sends Welcome, within stepTimeout.
func (l *Link) welcome(own Identity, clientListener net.Listener, state func() State) error {
	if err := errors.Join(l.checkSameUser(), l.conn.SetDeadline(time.Now().Add(stepTimeout))); err != nil {
		return err
	}
	kind, payload, err := Read(l.conn)
	if err != nil {
		return err
	}
	var successor hello
	if err := json.Unmarshal(payload, &successor); err != nil || kind != Hello || successor.Identity != own {
		return ErrProtocol
	}
	l.exchangesKeys, l.exchangesIDs = successor.ExchangesKeys, successor.ExchangesIDs
	encoded, err := state().Encode()
	if err != nil {
		return err
	}
	if err := l.sendWithSocket(Append(nil, Welcome, encoded), clientListener); err != nil {
		return err
	}
	return l.conn.SetDeadline(time.Time{})
}

// sendWithSocket writes a message, with a listening socket attached to its first byte.
func (l *Link) sendWithSocket(message []byte, socket net.Listener) error {
	tcp, ok := socket.(*net.TCPListener)
	if !ok {
		return errors.New("the listening socket for clients is not a TCP socket and cannot be passed to a successor")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	sent := 0
	controlErr := raw.Control(func(fd uintptr) {
		sent, _, err = l.conn.WriteMsgUnix(message[:1], syscall.UnixRights(int(fd)), nil)
	})
	if controlErr != nil {
		return controlErr
	}
	if err != nil {
		return err
	}
	_, err = l.conn.Write(message[sent:])
	return err
}
