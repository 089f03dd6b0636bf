// Package recordcodec writes the records of a repeats.Store as bytes, for a disk or a store that processes share, and reads them.
package recordcodec

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"orchiddrift/internal/idempotency"
)

// A record is written as a protobuf message of these fields, so that later ones can be added. The key's texts are in it again: a
// store's own key is for looking up alone.
//
//	1 tenant  2 class  3 key  4 print  5 running  6 kind  7 at
//	8 answer {1 status  2 body  3 header {1 name  2 value}...}
//	9 send {1 zone  2 cell  3 sent}...
//	10 lost  11 owner  12 claim

var errRecord = errors.New("a record can't be read")

func appendText(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func appendNumber(b []byte, n protowire.Number, v int64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), protowire.EncodeZigZag(v))
}

// Encode writes a record.
func Encode(r *idempotency.Record) []byte {
	b := make([]byte, 0, 256)
	b = appendText(b, 1, []byte(r.ID.Tenant))
	b = appendText(b, 2, []byte(r.ID.Class))
	b = appendText(b, 3, []byte(r.ID.Key))
	b = appendText(b, 4, r.Fingerprint[:])
	if r.Running {
		b = appendNumber(b, 5, 1)
	}
	b = appendNumber(b, 6, int64(r.Outcome))
	b = appendNumber(b, 7, int64(r.UpdatedAt))
	if a := r.Answer; a != nil {
		m := appendText(appendNumber(nil, 1, int64(a.Status)), 2, a.Body)
		for name, values := range a.Header {
			for _, v := range values {
				m = appendText(m, 3, appendText(appendText(nil, 1, []byte(name)), 2, []byte(v)))
			}
		}
		b = appendText(b, 8, m)
	}
	for _, x := range r.Attempts {
		b = appendText(b, 9, appendNumber(appendNumber(appendText(nil, 1, []byte(x.Zone)), 2, int64(x.Cell)), 3, int64(x.SentAt)))
	}
	if r.AttemptsUnknown {
		b = appendNumber(b, 10, 1)
	}
	return b
}

// EncodeShared writes a record that processes share.
func EncodeShared(r *idempotency.SharedRecord) []byte {
	return appendText(appendText(Encode(&r.Record), 11, []byte(r.Owner)), 12, []byte(r.Claim))
}

// DecodeShared reads one; nothing of it shares b.
func DecodeShared(b []byte) (r idempotency.SharedRecord, err error) {
	if r.Record, err = Decode(b, &idempotency.Record{}); err != nil {
		return r, err
	}
	err = fields(b, func(n protowire.Number, text []byte, _ int64) error {
		switch n {
		case 11:
			r.Owner = string(text)
		case 12:
			r.Claim = string(text)
		}
		return nil
	})
	return r, err
}

// fields calls do for each field of a message, with its bytes or its number. A field of another type is passed over.
func fields(b []byte, do func(n protowire.Number, text []byte, number int64) error) error {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errRecord
		}
		b = b[size:]
		var text []byte
		var number int64
		switch kind {
		case protowire.BytesType:
			text, size = protowire.ConsumeBytes(b)
		case protowire.VarintType:
			var v uint64
			v, size = protowire.ConsumeVarint(b)
			number = protowire.DecodeZigZag(v)
		default:
			size = protowire.ConsumeFieldValue(n, kind, b)
		}
		if size < 0 {
			return errRecord
		}
		if err := do(n, text, number); err != nil {
			return err
		}
		b = b[size:]
	}
	return nil
}

// same is a text's string, which is was where that is the same: records of one tenant share it.
func same(text []byte, was string) string {
	if string(text) == was {
		return was
	}
	return string(text)
}

// Decode reads a record; nothing of it shares b, and texts may be those of the record before.
func Decode(b []byte, before *idempotency.Record) (r idempotency.Record, err error) {
	err = fields(b, func(n protowire.Number, text []byte, number int64) error {
		switch n {
		case 1:
			r.ID.Tenant = same(text, before.ID.Tenant)
		case 2:
			r.ID.Class = same(text, before.ID.Class)
		case 3:
			r.ID.Key = string(text)
		case 4:
			if copy(r.Fingerprint[:], text) != len(r.Fingerprint) {
				return errRecord
			}
		case 5:
			r.Running = number != 0
		case 6:
			r.Outcome = idempotency.Outcome(number)
		case 7:
			r.UpdatedAt = time.Duration(number)
		case 8:
			r.Answer = &idempotency.Answer{}
			return fields(text, func(n protowire.Number, text []byte, number int64) error {
				switch n {
				case 1:
					r.Answer.Status = int(number)
				case 2:
					r.Answer.Body = slices.Clone(text)
				case 3:
					var name, value string
					if err := fields(text, func(n protowire.Number, text []byte, _ int64) error {
						if n == 1 {
							name = http.CanonicalHeaderKey(string(text)) // common ones are shared
						} else if n == 2 {
							value = string(text)
						}
						return nil
					}); err != nil {
						return err
					}
					if r.Answer.Header == nil {
						r.Answer.Header = map[string][]string{}
					}
					r.Answer.Header[name] = append(r.Answer.Header[name], value)
				}
				return nil
			})
		case 9:
			var x idempotency.Attempt
			err := fields(text, func(n protowire.Number, text []byte, number int64) error {
				switch n {
				case 1:
					x.Zone = string(text)
				case 2:
					x.Cell = int(number)
				case 3:
					x.SentAt = time.Duration(number)
				}
				return nil
			})
			r.Attempts = append(r.Attempts, x)
			return err
		case 10:
			r.AttemptsUnknown = number != 0
		}
		return nil
	})
	if err == nil && (r.ID.Key == "" || r.Outcome < idempotency.Answered || r.Outcome > idempotency.MayHaveRun) {
		err = errRecord
	}
	return r, err
}
