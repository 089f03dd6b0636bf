package httphead

import (
	"strings"
	"testing"

	"orchiddrift/internal/testkit/golden"
)

// The platform names these headers.
func TestNamesGolden(t *testing.T) {
	names := []string{ID, Class, Tenant, Timeout, Cost, Attrs, Retried, Key, Load, NotProcessed}
	golden.Match(t, "headers.txt", []byte(strings.Join(names, "\n")+"\n"))
}
