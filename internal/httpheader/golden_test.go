package httpheader

import (
	"strings"
	"testing"

	"orchiddrift/internal/testing/golden"
)

// The platform names these headers.
func TestNamesGolden(t *testing.T) {
	names := []string{RequestID, Class, Tenant, Timeout, Cost, Attributes, RetryMarker, IdempotencyKey, LoadReport, NotProcessed}
	golden.Match(t, "headers.txt", []byte(strings.Join(names, "\n")+"\n"))
}
