// Package handover passes what a process has to its successor: the clients' listening socket, and what it knows. frame.go frames
// messages, state.go says what they hold and checks it, both without I/O; socket.go carries them over a Unix socket.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Version is the protocol's. A process of another one is a stranger.
const Version = 1

// MaxPayload bounds a message, in bytes: 5,000 upstreams with all that is learnt of them take less.
const MaxPayload = 1 << 20

// MessageKind tells messages apart.
type MessageKind uint8

// The kinds of messages.
const (
	Hello   MessageKind = iota + 1 // a successor is there
	Welcome                        // and gets what there is; the listening socket comes with its first byte
	Ready                          // it serves
	Drain                          // the sidecar is to drain: told to either, done by both
	Undrain
	DescriptorsHeld // how many descriptors the predecessor holds yet; 4 bytes, big-endian
	kinds
)

// headSize is what stands before a payload: "ODHO", version, kind, length and the payload's checksum (CRC-32C), big-endian.
const headSize = 4 + 1 + 1 + 4 + 4

var (
	magic      = [4]byte{'O', 'D', 'H', 'O'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ErrProtocol says that what came is no message of this protocol and version.
var ErrProtocol = errors.New("not a message of this program's version")

// Append appends a message.
func Append(out []byte, k MessageKind, payload []byte) []byte {
	out = append(append(out, magic[:]...), Version, byte(k))
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// Read reads one message. It takes memory as the payload comes.
func Read(in io.Reader) (MessageKind, []byte, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	k, n := MessageKind(head[5]), binary.BigEndian.Uint32(head[6:])
	if [4]byte(head[:4]) != magic || head[4] != Version || k == 0 || k >= kinds {
		return 0, nil, ErrProtocol
	}
	if n > MaxPayload {
		return 0, nil, fmt.Errorf("%w: %d bytes are too many", ErrProtocol, n)
	}
	payload, err := io.ReadAll(io.LimitReader(in, int64(n)))
	switch {
	case err != nil:
		return 0, nil, err
	case len(payload) < int(n):
		return 0, nil, io.ErrUnexpectedEOF
	case crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(head[10:]):
		return 0, nil, fmt.Errorf("%w: the checksum is another one", ErrProtocol)
	}
	return k, payload, nil
}
