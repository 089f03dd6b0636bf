package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Request requests the state and the listening socket of the process that waits at path. The error is os.ErrNotExist if path does not
// exist, and syscall.ECONNREFUSED if the process that created the socket at path has ended.
func Request(path string, own Identity) (State, net.Listener, *Link, error) {
	if len(path) > maxSocketPath {
		return State{}, nil, nil, fmt.Errorf("the path %s is too long for a Unix socket", path)
	}
	conn, err := net.DialTimeout("unix", path, stepTimeout)
	if err != nil {
		return State{}, nil, nil, err
	}
	link := &Link{conn: conn.(*net.UnixConn)}
	state, listener, err := link.request(own)
	if err != nil {
		link.Close()
		return State{}, nil, nil, err
	}
	return state, listener, link, nil
}

// request sends Hello and receives Welcome.
func (l *Link) request(own Identity) (State, net.Listener, error) {
	if err := l.checkSameUser(); err != nil {
		return State{}, nil, err
	}
	text, err := json.Marshal(hello{Identity: own, ExchangesKeys: true, ExchangesIDs: true})
	if err != nil {
		return State{}, nil, err
	}
	if err := l.send(Hello, text); err != nil {
		return State{}, nil, err
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(stepTimeout)); err != nil {
		return State{}, nil, err
	}
	in := &socketReceiver{conn: l.conn}
	defer in.closeUnused()
	kind, payload, err := Read(in)
	if err != nil {
		return State{}, nil, err
	}
	if kind != Welcome {
		return State{}, nil, ErrProtocol
	}
	state, err := Decode(payload, own)
	if err != nil {
		return State{}, nil, err
	}
	l.exchangesKeys, l.exchangesIDs = state.ExchangesKeys, state.ExchangesIDs
	listener, err := in.listener()
	if err != nil {
		return State{}, nil, err
	}
	return state, listener, l.conn.SetReadDeadline(time.Time{})
}

// maxReceivedDescriptors is the number of descriptors that one read can receive. The protocol passes one descriptor. The kernel closes the
// descriptors beyond the limit.
const maxReceivedDescriptors = 4

// descriptorSize is the size of a descriptor in a control message, in bytes.
const descriptorSize = 4

// socketReceiver reads from a Unix socket and collects the descriptors that are attached to the bytes.
type socketReceiver struct {
	conn        *net.UnixConn
	descriptors []int
}

// Read implements io.Reader.
func (r *socketReceiver) Read(b []byte) (int, error) {
	control := make([]byte, unix.CmsgSpace(maxReceivedDescriptors*descriptorSize))
	n, controlLength, _, _, err := r.conn.ReadMsgUnix(b, control)
	if controlLength > 0 {
		messages, parseErr := syscall.ParseSocketControlMessage(control[:controlLength])
		if parseErr != nil {
			return n, parseErr
		}
		for i := range messages {
			if descriptors, err := syscall.ParseUnixRights(&messages[i]); err == nil {
				r.descriptors = append(r.descriptors, descriptors...)
			}
		}
	}
	if n == 0 && err == nil {
		err = errors.New("the predecessor closed the connection before the hand-over was complete")
	}
	return n, err
}

// listener returns the listening socket that was received.
func (r *socketReceiver) listener() (net.Listener, error) {
	if len(r.descriptors) != 1 {
		return nil, fmt.Errorf("received %d listening sockets instead of one", len(r.descriptors))
	}
	syscall.CloseOnExec(r.descriptors[0])
	f := os.NewFile(uintptr(r.descriptors[0]), "clients")
	r.descriptors = nil
	defer f.Close() // FileListener duplicates the descriptor
	return net.FileListener(f)
}

// closeUnused closes the descriptors that listener has not used.
func (r *socketReceiver) closeUnused() {
	for _, descriptor := range r.descriptors {
		syscall.Close(descriptor)
	}
	r.descriptors = nil
}
