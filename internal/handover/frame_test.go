package handover

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestFrames checks that messages are read as they were written, one after another; that a truncated one is not read; and that a changed
// bit is noticed.
func TestFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := MessageKind(rapid.IntRange(1, int(kindsEnd)-1).Draw(t, "kind"))
		payload := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "payload")
		message := Append(nil, kind, payload)
		in := bytes.NewReader(Append(message, Ready, nil))
		if k, got, err := Read(in); err != nil || k != kind || !bytes.Equal(got, payload) {
			t.Fatalf("%v %v %v", k, got, err)
		}
		if k, _, err := Read(in); err != nil || k != Ready {
			t.Fatalf("the next: %v %v", k, err)
		}
		length := rapid.IntRange(0, len(message)-1).Draw(t, "length")
		if _, _, err := Read(bytes.NewReader(message[:length])); err == nil {
			t.Fatalf("read from %d of %d bytes", length, len(message))
		}
		changed := bytes.Clone(message)
		at := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		k, got, err := Read(bytes.NewReader(changed))
		if err == nil && (at != kindOffset || k == kind || !bytes.Equal(got, payload)) { // both ends check the kind
			t.Fatalf("read with a change at %d: %v", at, k)
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
			t.Errorf("%q is read as %q", b, again)
		}
		_, _ = Decode(payload, Identity{}) // must not panic
	})
}
