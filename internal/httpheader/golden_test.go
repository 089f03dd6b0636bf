package httpheader

import (
	"strings"
	"testing"

	"orchiddrift/internal/testing/golden"
)

// The platform names these headers.
func TestNamesGolden(t *testing.T) {
	names := []string{ID, Class, Tenant, Timeout, Cost, Attrs, Retried, Key, Load, NotProcessed}
	golden.Match(t, "headers.txt", []byte(strings.Join(names, "\n")+"\n"))
}
