package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	patience = time.Second // for a step of the hand-over: both ends are on one machine
	maxPath  = 107         // bytes of a Unix socket's path, sockaddr_un
)

// SocketPath is where a sidecar's process waits for a successor, in the folder that both share.
func SocketPath(folder string, w Identity) string {
	return filepath.Join(folder, fmt.Sprintf("orchiddrift-%016x.sock", xxhash.Sum64String(w.Name+"\x00"+w.Listen)))
}

// Link is the connection between a process and its successor. Tell is safe for concurrent use; Next has one caller.
type Link struct{ conn *net.UnixConn }

// Send sends a message without payload.
func (l *Link) Send(k MessageKind) error { return l.send(k, nil) }

func (l *Link) send(k MessageKind, payload []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	_, err := l.conn.Write(Append(nil, k, payload))
	return err
}

// SendDescriptorsHeld says how many descriptors this process holds yet.
func (l *Link) SendDescriptorsHeld(held int) error {
	return l.send(DescriptorsHeld, binary.BigEndian.AppendUint32(nil, uint32(held)))
}

// Next waits for the next message; held is a Room's. Any error says that the other process has gone, or is a stranger.
func (l *Link) Next() (k MessageKind, held int, err error) {
	k, payload, err := Read(l.conn)
	switch {
	case err != nil:
		return 0, 0, err
	case k == DescriptorsHeld && len(payload) != 4:
		return 0, 0, ErrProtocol
	case k == DescriptorsHeld:
		held = int(binary.BigEndian.Uint32(payload))
	}
	return k, held, nil
}

// Close ends it.
func (l *Link) Close() error { return l.conn.Close() }

// Request asks the process that waits at path for all that it has. Where there is none, nothing is passed on: os.ErrNotExist, or
// syscall.ECONNREFUSED where one has left its path behind.
func Request(path string, own Identity) (State, net.Listener, *Link, error) {
	fail := func(err error) (State, net.Listener, *Link, error) { return State{}, nil, nil, err }
	if len(path) > maxPath {
		return fail(fmt.Errorf("%s is too long for a socket", path))
	}
	conn, err := net.DialTimeout("unix", path, patience)
	if err != nil {
		return fail(err)
	}
	l := &Link{conn.(*net.UnixConn)}
	state, listener, err := l.ask(own)
	if err != nil {
		l.Close()
		return fail(err)
	}
	return state, listener, l, nil
}

func (l *Link) ask(own Identity) (State, net.Listener, error) {
	if err := sameUser(l.conn); err != nil {
		return State{}, nil, err
	}
	hello, err := json.Marshal(own)
	if err != nil {
		return State{}, nil, err
	}
	if err := l.send(Hello, hello); err != nil {
		return State{}, nil, err
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return State{}, nil, err
	}
	in := &withSocket{conn: l.conn}
	defer in.drop()
	k, payload, err := Read(in)
	if err == nil && k != Welcome {
		err = ErrProtocol
	}
	if err != nil {
		return State{}, nil, err
	}
	state, err := Decode(payload, own)
	if err != nil {
		return State{}, nil, err
	}
	listener, err := in.listener()
	if err != nil {
		return State{}, nil, err
	}
	return state, listener, l.conn.SetReadDeadline(time.Time{})
}

// withSocket reads from a Unix socket, and keeps the one socket that comes with it.
type withSocket struct {
	conn *net.UnixConn
	fds  []int
}

func (w *withSocket) Read(b []byte) (int, error) {
	oob := make([]byte, unix.CmsgSpace(4*4))
	n, oobn, _, _, err := w.conn.ReadMsgUnix(b, oob)
	if oobn > 0 {
		messages, parseErr := syscall.ParseSocketControlMessage(oob[:oobn])
		if parseErr != nil {
			return n, parseErr
		}
		for i := range messages {
			if fds, err := syscall.ParseUnixRights(&messages[i]); err == nil {
				w.fds = append(w.fds, fds...)
			}
		}
	}
	if n == 0 && err == nil {
		err = errors.New("the predecessor has gone")
	}
	return n, err
}

// listener makes the listening socket out of what came.
func (w *withSocket) listener() (net.Listener, error) {
	if len(w.fds) != 1 {
		return nil, fmt.Errorf("%d sockets came", len(w.fds))
	}
	syscall.CloseOnExec(w.fds[0])
	f := os.NewFile(uintptr(w.fds[0]), "clients")
	w.fds = nil
	defer f.Close() // FileListener has its own
	return net.FileListener(f)
}

func (w *withSocket) drop() {
	for _, fd := range w.fds {
		syscall.Close(fd)
	}
	w.fds = nil
}

// sameUser turns down a process of another user.
func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	if failed := raw.Control(func(fd uintptr) {
		peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); failed != nil {
		return failed
	}
	if err == nil && int(peer.Uid) != os.Getuid() {
		err = errors.New("it belongs to another user")
	}
	return err
}

// Offer waits for successors at a path.
type Offer struct {
	l    *net.UnixListener
	path string
}

// Listen takes the path, also from a process that has it now: that one's successor asks here from then on.
func Listen(path string) (*Offer, error) {
	if len(path)+len(".new") > maxPath {
		return nil, fmt.Errorf("%s is too long for a socket", path)
	}
	fresh := fmt.Sprintf("%s.%d", path[:len(path)-len(".sock")], os.Getpid()%100000)
	_ = os.Remove(fresh) // of a dead process of this number
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may be a successor's
	if err := errors.Join(os.Chmod(fresh, 0o600), os.Rename(fresh, path)); err != nil {
		l.Close()
		_ = os.Remove(fresh)
		return nil, err
	}
	return &Offer{l, path}, nil
}

// Next waits for a successor, gives it what state and clients bring, and returns the link to it. An error of one that is none or
// breaks off is errors.Is(err, ErrNoSuccessor); any other ends the offer.
func (o *Offer) Next(own Identity, clients net.Listener, state func() State) (*Link, error) {
	conn, err := o.l.AcceptUnix()
	if err != nil {
		return nil, err
	}
	l := &Link{conn}
	if err := l.welcome(own, clients, state); err != nil {
		l.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoSuccessor, err)
	}
	return l, nil
}

// ErrNoSuccessor says that what came is no successor, or did not get through.
var ErrNoSuccessor = errors.New("no successor")

func (l *Link) welcome(own Identity, clients net.Listener, state func() State) error {
	if err := errors.Join(sameUser(l.conn), l.conn.SetDeadline(time.Now().Add(patience))); err != nil {
		return err
	}
	k, payload, err := Read(l.conn)
	if err != nil {
		return err
	}
	var who Identity
	if err := json.Unmarshal(payload, &who); err != nil || k != Hello || who != own {
		return ErrProtocol
	}
	text, err := state().Encode()
	if err != nil {
		return err
	}
	tcp, ok := clients.(*net.TCPListener)
	if !ok {
		return errors.New("the clients' socket can't be passed on")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	message, n := Append(nil, Welcome, text), 0
	if failed := raw.Control(func(fd uintptr) {
		n, _, err = l.conn.WriteMsgUnix(message[:1], syscall.UnixRights(int(fd)), nil)
	}); failed != nil {
		return failed
	}
	if err != nil {
		return err
	}
	if _, err := l.conn.Write(message[n:]); err != nil {
		return err
	}
	return l.conn.SetDeadline(time.Time{})
}

// Close ends the offer. The path stays: it may be a successor's, and nobody answers there else.
func (o *Offer) Close() error { return o.l.Close() }
