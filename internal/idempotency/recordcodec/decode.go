package recordcodec

import (
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"orchiddrift/internal/idempotency"
)

// Decode decodes a record. The result does not alias b. previous is a record that was decoded before, or an empty record. To save memory,
// the result shares equal tenant and class strings with previous.
func Decode(b []byte, previous *idempotency.Record) (idempotency.Record, error) {
	var r idempotency.Record
	err := forEachField(b, func(f field) error { return decodeRecordField(f, &r, previous) })
	if err != nil {
		return r, err
	}
	if r.ID.Key == "" || r.Outcome < idempotency.Answered || r.Outcome > idempotency.MayHaveRun {
		return r, ErrMalformed
	}
	return r, nil
}

// DecodeShared decodes a record of a store that several processes share. The result does not alias b.
func DecodeShared(b []byte) (idempotency.SharedRecord, error) {
	var r idempotency.SharedRecord
	var err error
	if r.Record, err = Decode(b, &idempotency.Record{}); err != nil {
		return r, err
	}
	err = forEachField(b, func(f field) error {
		switch f.number {
		case recordOwner:
			r.Owner = string(f.bytes)
		case recordClaim:
			r.Claim = string(f.bytes)
		}
		return nil
	})
	return r, err
}

func decodeRecordField(f field, r, previous *idempotency.Record) (err error) {
	switch f.number {
	case recordTenant:
		r.ID.Tenant = reuse(f.bytes, previous.ID.Tenant)
	case recordClass:
		r.ID.Class = reuse(f.bytes, previous.ID.Class)
	case recordKey:
		r.ID.Key = string(f.bytes)
	case recordFingerprint:
		if copy(r.Fingerprint[:], f.bytes) != len(r.Fingerprint) {
			return ErrMalformed
		}
	case recordRunning:
		r.Running = f.integer != 0
	case recordOutcome:
		r.Outcome = idempotency.Outcome(f.integer)
	case recordUpdatedAt:
		r.UpdatedAt = time.Duration(f.integer)
	case recordAnswer:
		r.Answer, err = decodeAnswer(f.bytes)
	case recordAttempt:
		var attempt idempotency.Attempt
		attempt, err = decodeAttempt(f.bytes)
		r.Attempts = append(r.Attempts, attempt)
	case recordAttemptsUnknown:
		r.AttemptsUnknown = f.integer != 0
	}
	return err
}

func decodeAnswer(b []byte) (*idempotency.Answer, error) {
	answer := &idempotency.Answer{}
	err := forEachField(b, func(f field) error {
		switch f.number {
		case answerStatus:
			answer.Status = int(f.integer)
		case answerBody:
			answer.Body = slices.Clone(f.bytes)
		case answerHeader:
			name, value, err := decodeHeader(f.bytes)
			if err != nil {
				return err
			}
			if answer.Header == nil {
				answer.Header = map[string][]string{}
			}
			answer.Header[name] = append(answer.Header[name], value)
		}
		return nil
	})
	return answer, err
}

func decodeHeader(b []byte) (name, value string, err error) {
	err = forEachField(b, func(f field) error {
		switch f.number {
		case headerName:
			name = http.CanonicalHeaderKey(string(f.bytes)) // returns a shared string for common names
		case headerValue:
			value = string(f.bytes)
		}
		return nil
	})
	return name, value, err
}

func decodeAttempt(b []byte) (idempotency.Attempt, error) {
	var attempt idempotency.Attempt
	err := forEachField(b, func(f field) error {
		switch f.number {
		case attemptZone:
			attempt.Zone = string(f.bytes)
		case attemptCell:
			attempt.Cell = int(f.integer)
		case attemptSentAt:
			attempt.SentAt = time.Duration(f.integer)
		}
		return nil
	})
	return attempt, err
}

// reuse returns text as a string, without an allocation if it equals previous.
func reuse(text []byte, previous string) string {
	if string(text) == previous {
		return previous
	}
	return string(text)
}

// field is a field of a message. bytes is the value of a field of wire type bytes, and integer is the value of a varint in zigzag encoding.
// Both are zero for other wire types.
type field struct {
	number  protowire.Number
	bytes   []byte // aliases the message
	integer int64
}

// forEachField calls do for each field of a message in order, and returns the first error.
func forEachField(message []byte, do func(field) error) error {
	for len(message) > 0 {
		number, wireType, size := protowire.ConsumeTag(message)
		if size < 0 {
			return ErrMalformed
		}
		message = message[size:]
		f := field{number: number}
		switch wireType {
		case protowire.BytesType:
			f.bytes, size = protowire.ConsumeBytes(message)
		case protowire.VarintType:
			var value uint64
			value, size = protowire.ConsumeVarint(message)
			f.integer = protowire.DecodeZigZag(value)
		default:
			size = protowire.ConsumeFieldValue(number, wireType, message)
		}
		if size < 0 {
			return ErrMalformed
		}
		if err := do(f); err != nil {
			return err
		}
		message = message[size:]
	}
	return nil
}
