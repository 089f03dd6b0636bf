// Package cases runs the scripts of the review's cases as Go tests, so that KNOWN-RED.txt can name them.
package cases

import (
	"os"
	"os/exec"
	"testing"
)

// scriptsEnv asks for the scripts, which start processes and take up to two minutes each.
const scriptsEnv = "REVIEW_CASES"

// runScript runs the script of a case, and fails the test if its rule was broken.
func runScript(t *testing.T, script string) {
	t.Helper()
	if os.Getenv(scriptsEnv) == "" {
		t.Skipf("runs only if %s is set", scriptsEnv)
	}
	for _, name := range []string{"../../build.sh", script} {
		if out, err := exec.Command(name).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", name, err, out)
		}
	}
}

// Guards against a payment that runs twice because a sidecar's key file is forgotten at its second restart.
func TestCase1(t *testing.T) { runScript(t, "../../1/run.sh") }

// Guards against a payment that runs twice because it is sent again while the sidecar's process is replaced.
func TestCase2(t *testing.T) { runScript(t, "../../2/run.sh") }

// Guards against a sidecar that cannot start again with the key file that it has written.
func TestCase3(t *testing.T) { runScript(t, "../../3/run.sh") }
