// Package recordcodec encodes idempotency records as protobuf messages, for a file or a store that several processes share, and decodes
// them. It does no I/O and has no state.
//
// Decoding skips unknown fields, so that later versions can add fields. The schema is:
//
//	message Record {
//	  bytes  tenant = 1;
//	  bytes  class = 2;
//	  bytes  key = 3;
//	  bytes  fingerprint = 4;        // 16 bytes
//	  sint64 running = 5;            // 1, or absent
//	  sint64 outcome = 6;            // idempotency.Outcome
//	  sint64 updated_at = 7;         // ns
//	  Answer answer = 8;
//	  repeated Attempt attempts = 9;
//	  sint64 attempts_unknown = 10;  // 1, or absent
//	  bytes  owner = 11;             // in shared records only
//	  bytes  claim = 12;             // in shared records only
//	}
//	message Answer  { sint64 status = 1; bytes body = 2; repeated Header headers = 3; }
//	message Header  { bytes name = 1; bytes value = 2; }
//	message Attempt { bytes zone = 1; sint64 cell = 2; sint64 sent_at = 3; }  // sent_at in ns
package recordcodec

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is the error for bytes that are not an encoded record.
var ErrMalformed = errors.New("malformed idempotency record")

// The fields of a Record.
const (
	recordTenant          protowire.Number = 1
	recordClass           protowire.Number = 2
	recordKey             protowire.Number = 3
	recordFingerprint     protowire.Number = 4
	recordRunning         protowire.Number = 5
	recordOutcome         protowire.Number = 6
	recordUpdatedAt       protowire.Number = 7
	recordAnswer          protowire.Number = 8
	recordAttempt         protowire.Number = 9
	recordAttemptsUnknown protowire.Number = 10
	recordOwner           protowire.Number = 11
	recordClaim           protowire.Number = 12
)

// The fields of an Answer.
const (
	answerStatus protowire.Number = 1
	answerBody   protowire.Number = 2
	answerHeader protowire.Number = 3
)

// The fields of a Header.
const (
	headerName  protowire.Number = 1
	headerValue protowire.Number = 2
)

// The fields of an Attempt.
const (
	attemptZone   protowire.Number = 1
	attemptCell   protowire.Number = 2
	attemptSentAt protowire.Number = 3
)
