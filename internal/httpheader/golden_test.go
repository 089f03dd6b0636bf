package httpheader

import (
	"strings"
	"testing"

	"orchiddrift/internal/testing/golden"
)

// Guards against a change of a header's name: the platform's other programs use the same names.
func TestNamesGolden(t *testing.T) {
	names := []string{RequestID, Class, Tenant, Timeout, Cost, Attributes, RetryMarker, IdempotencyKey, LoadReport, NotProcessed}
	golden.Match(t, "headers.txt", []byte(strings.Join(names, "\n")+"\n"))
}
