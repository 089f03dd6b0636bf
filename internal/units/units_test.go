package units

import "testing"

func TestSizeUnmarshalText(t *testing.T) {
	var s Size
	for text, want := range map[string]Size{"64KiB": 64 << 10, "1.5MiB": 3 << 19, "7B": 7, "2 GiB": 2 << 30} {
		if err := s.UnmarshalText([]byte(text)); err != nil || s != want {
			t.Errorf("size %s was unmarshalled as %v with error %v, want the same size and no error", text, s, err)
		}
	}
	for _, text := range []string{"", "64", "KiB", "-1B", "1e30GiB", "NaNB", "64kb"} {
		if s.UnmarshalText([]byte(text)) == nil {
			t.Errorf("invalid size %q is accepted as %v", text, s)
		}
	}
}
