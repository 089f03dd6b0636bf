package httpheader

import (
	"net/http"
	"reflect"
	"testing"
)

// Headers of one connection are left out, and the source does not change.
func TestEndToEnd(t *testing.T) {
	h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Content-Type": {"text/plain"}, "Via": {"a", "b"}}
	got := EndToEnd(h)
	if want := (http.Header{"Content-Type": {"text/plain"}, "Via": {"a", "b"}}); !reflect.DeepEqual(got, want) {
		t.Errorf("kept %v", got)
	}
	if len(h) != 6 {
		t.Errorf("the source is now %v", h)
	}
}
