package recordcodec

import (
	"google.golang.org/protobuf/encoding/protowire"

	"orchiddrift/internal/idempotency"
)

// typicalRecordBytes is the initial capacity for an encoded record, in bytes. Most records are smaller.
const typicalRecordBytes = 256

// Encode encodes a record.
func Encode(r *idempotency.Record) []byte {
	b := make([]byte, 0, typicalRecordBytes)
	b = appendBytes(b, recordTenant, []byte(r.ID.Tenant))
	b = appendBytes(b, recordClass, []byte(r.ID.Class))
	b = appendBytes(b, recordKey, []byte(r.ID.Key))
	b = appendBytes(b, recordFingerprint, r.Fingerprint[:])
	if r.Running {
		b = appendInt(b, recordRunning, 1)
	}
	b = appendInt(b, recordOutcome, int64(r.Outcome))
	b = appendInt(b, recordUpdatedAt, int64(r.UpdatedAt))
	if r.Answer != nil {
		b = appendBytes(b, recordAnswer, encodeAnswer(r.Answer))
	}
	for _, attempt := range r.Attempts {
		b = appendBytes(b, recordAttempt, encodeAttempt(attempt))
	}
	if r.AttemptsUnknown {
		b = appendInt(b, recordAttemptsUnknown, 1)
	}
	return b
}

// EncodeShared encodes a record of a store that several processes share.
func EncodeShared(r *idempotency.SharedRecord) []byte {
	b := Encode(&r.Record)
	b = appendBytes(b, recordOwner, []byte(r.Owner))
	return appendBytes(b, recordClaim, []byte(r.Claim))
}

func encodeAnswer(answer *idempotency.Answer) []byte {
	b := appendInt(nil, answerStatus, int64(answer.Status))
	b = appendBytes(b, answerBody, answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			header := appendBytes(nil, headerName, []byte(name))
			header = appendBytes(header, headerValue, []byte(value))
			b = appendBytes(b, answerHeader, header)
		}
	}
	return b
}

func encodeAttempt(attempt idempotency.Attempt) []byte {
	b := appendBytes(nil, attemptZone, []byte(attempt.Zone))
	b = appendInt(b, attemptCell, int64(attempt.Cell))
	return appendInt(b, attemptSentAt, int64(attempt.SentAt))
}

// appendBytes appends a field of type bytes, even if value is empty.
func appendBytes(b []byte, number protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), value)
}

// appendInt appends a field of type sint64, even if value is zero.
func appendInt(b []byte, number protowire.Number, value int64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), protowire.EncodeZigZag(value))
}
