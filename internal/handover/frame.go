package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Version is the version of the protocol. Processes of other versions are rejected.
const Version = 1

// MaxPayload is the largest payload of a message, in bytes. The state of 5,000 upstreams is smaller.
const MaxPayload = 1 << 20

// MessageKind is the kind of a message. Its number is sent in the header.
type MessageKind uint8

// The kinds of messages.
const (
	Hello           MessageKind = iota + 1 // the successor's Identity
	Welcome                                // the predecessor's reply to Hello: its State, with the listening socket attached to the first byte
	Ready                                  // the successor serves
	Drain                                  // the sidecar is to drain; sent by either process to the other
	Undrain                                // the sidecar is to serve again; sent by either process to the other
	DescriptorsHeld                        // the number of descriptors that the predecessor still has open: 4 bytes, big-endian
	KeyQuery                               // a question about an idempotency key; sent by either process to the other
	KeyReply                               // the reply to a KeyQuery
	KeyRecord                              // the outcome of a request with an idempotency key at the predecessor
	IDQuery                                // a question about the ID of a non-idempotent request; sent by either process to the other
	IDReply                                // the reply to an IDQuery
	IDRecord                               // the ID of a non-idempotent request that may have run at the predecessor
	kindsEnd                               // one more than the highest kind
)

// The header of a message, big-endian; the payload follows.
const (
	magicOffset    = 0  // "ODHO"
	versionOffset  = 4  // uint8
	kindOffset     = 5  // uint8
	lengthOffset   = 6  // uint32, of the payload, in bytes
	checksumOffset = 10 // uint32, CRC-32C of the payload
	headerSize     = 14
)

var (
	magic      = [4]byte{'O', 'D', 'H', 'O'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ErrProtocol is returned for bytes that are not a message of this protocol and version, and for an unexpected message.
var ErrProtocol = errors.New("message does not follow this version of the hand-over protocol")

// Append appends the encoding of a message to out.
func Append(out []byte, kind MessageKind, payload []byte) []byte {
	out = append(out, magic[:]...)
	out = append(out, Version, byte(kind))
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// Read reads one message. It allocates memory as the payload arrives, not for the length that the header states.
func Read(in io.Reader) (MessageKind, []byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	kind := MessageKind(header[kindOffset])
	if [4]byte(header[magicOffset:versionOffset]) != magic || header[versionOffset] != Version || kind == 0 || kind >= kindsEnd {
		return 0, nil, ErrProtocol
	}
	length := binary.BigEndian.Uint32(header[lengthOffset:])
	if length > MaxPayload {
		return 0, nil, fmt.Errorf("%w: payload of %d bytes exceeds the limit of %d bytes", ErrProtocol, length, MaxPayload)
	}
	payload, err := io.ReadAll(io.LimitReader(in, int64(length)))
	switch {
	case err != nil:
		return 0, nil, err
	case len(payload) < int(length):
		return 0, nil, io.ErrUnexpectedEOF
	case crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(header[checksumOffset:]):
		return 0, nil, fmt.Errorf("%w: the payload does not match the checksum in the header", ErrProtocol)
	}
	return kind, payload, nil
}
