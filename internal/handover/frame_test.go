package handover

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestFrames checks that messages are read in the order and form in which they were written, that a truncated message is an error, and that
// a changed bit is detected.
func TestFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := MessageKind(rapid.IntRange(1, int(kindsEnd)-1).Draw(t, "kind"))
		payload := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "payload")
		message := Append(nil, kind, payload)
		in := bytes.NewReader(Append(message, Ready, nil))
		if k, got, err := Read(in); err != nil || k != kind || !bytes.Equal(got, payload) {
			t.Fatalf("the first message was read as kind %v, payload %v, error %v", k, got, err)
		}
		if k, _, err := Read(in); err != nil || k != Ready {
			t.Fatalf("the second message was read as kind %v, error %v; want Ready", k, err)
		}
		length := rapid.IntRange(0, len(message)-1).Draw(t, "length")
		if _, _, err := Read(bytes.NewReader(message[:length])); err == nil {
			t.Fatalf("a message was read from its first %d of %d bytes, want an error", length, len(message))
		}
		changed := bytes.Clone(message)
		at := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		k, got, err := Read(bytes.NewReader(changed))
		if err == nil && (at != kindOffset || k == kind || !bytes.Equal(got, payload)) { // the changed kind may be another valid kind, which Read accepts and the receiver of the message checks
			t.Fatalf("a message with a changed bit in byte %d was read as kind %v, want an error", at, k)
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, Hello, []byte(`{"name":"n"}`)))
	f.Add(Append(nil, Ready, nil))
	f.Add([]byte("ODHO\x01\x02\xff\xff\xff\xff\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		in := bytes.NewReader(b)
		kind, payload, err := Read(in)
		if err != nil {
			return
		}
		if again := Append(nil, kind, payload); !bytes.Equal(again, b[:len(b)-in.Len()]) {
			t.Errorf("message %q was read, but is encoded again as %q", b, again)
		}
		_, _ = Decode(payload, Identity{}) // must not panic
	})
}
