package httpheader

import (
	"net/http"
	"reflect"
	"testing"
)

// Checks that hop-by-hop headers are left out, and that the source headers do not change.
func TestEndToEnd(t *testing.T) {
	h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Content-Type": {"text/plain"}, "Via": {"a", "b"}}
	got := EndToEnd(h)
	if want := (http.Header{"Content-Type": {"text/plain"}, "Via": {"a", "b"}}); !reflect.DeepEqual(got, want) {
		t.Errorf("EndToEnd returns %v, want only Content-Type and Via", got)
	}
	if len(h) != 6 {
		t.Errorf("EndToEnd changed its source to %v", h)
	}
}
