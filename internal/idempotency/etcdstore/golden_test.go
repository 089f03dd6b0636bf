package etcdstore

import (
	"fmt"
	"strings"
	"testing"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/golden"
)

// TestNamesGolden checks that etcd keys and claims have the same names as in the previous release, since processes of different releases
// share records.
func TestNamesGolden(t *testing.T) {
	s := &Store{prefix: "orchiddrift/payments/"}
	var out strings.Builder
	for _, id := range []idempotency.ID{{Tenant: "agents", Class: "payment", Key: "k-1"}, {Class: "payment", Key: "k-1"}, {Tenant: "a", Class: "bc", Key: "d"}, {Tenant: "ab", Class: "c", Key: "d"}} {
		fmt.Fprintf(&out, "%+v %s\n", id, s.recordKey(id))
	}
	fmt.Fprintf(&out, "owner %s\n", s.ownerKey(leaseName(0x694d)))
	fmt.Fprintf(&out, "claim %s\n", idempotency.ClaimName(leaseName(0x694d), "1z"))
	golden.Match(t, "names.txt", []byte(out.String()))
}
