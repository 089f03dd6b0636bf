package eureka

import (
	"context"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
)

// TestRegistration checks that a process is listed in the registry, also after the registry has restarted, that its status is out of
// service while it drains, and that it is not listed any more after its end.
func TestRegistration(t *testing.T) {
	e := base.Eureka(t, fakes.EurekaOptions{})
	d := testDeclaration(e)
	d.Register = Register{Application: "drift", Renew: units.Duration(time.Second), Metadata: map[string]string{"zone": "z"}}
	if _, err := NewRegistration(d, "n", "0.0.0.0:80", 0, 1, nil); err == nil {
		t.Error("registration at the unspecified address 0.0.0.0 was accepted")
	}
	r, err := NewRegistration(d, "sidecar", "127.0.0.3:8080", 0, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	watching := testDeclaration(e)
	watching.Applications = []string{"DRIFT"}
	sink, _ := startSource(t, watching)
	const id = "sidecar:127.0.0.3:8080"
	sink.waitFor(t, "registered", id+" Ready")
	e.Restart()
	base.Eventually(t, "registered again after 404", func() bool { return e.Calls("POST /apps/DRIFT") == 2 })
	r.Drain()
	sink.waitFor(t, "drained", id+" OutOfService")
	cancel()
	<-done
	sink.waitFor(t, "cancelled", "")
}
