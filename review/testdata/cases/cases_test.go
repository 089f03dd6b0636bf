// Package cases runs the review's cases, and the plays of its further findings, as Go tests, so that KNOWN-RED.txt can name them.
package cases

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// scriptsEnv asks for the scripts, which start processes and take up to two minutes each.
const scriptsEnv = "REVIEW_CASES"

// root is the repository's root, relative to this package.
const root = "../../.."

// runScript runs the script of a case, and fails the test if its rule was broken.
func runScript(t *testing.T, script string) {
	t.Helper()
	run(t, script)
}

// runPlay runs the play of a further finding, and fails the test if its rule was broken.
func runPlay(t *testing.T, play string) {
	t.Helper()
	run(t, "bin/review-standin", play, "--record", filepath.Join(t.TempDir(), "record.txt"))
}

// run builds the stand-ins and runs a command from the repository's root. The deploy file's build has to have been run before.
func run(t *testing.T, name string, arguments ...string) {
	t.Helper()
	if os.Getenv(scriptsEnv) == "" {
		t.Skipf("runs only if %s is set", scriptsEnv)
	}
	for _, command := range []*exec.Cmd{exec.Command("review/build.sh"), exec.Command(name, arguments...)} {
		command.Dir = root
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", command, err, out)
		}
	}
}

// Guards against a payment that runs twice because a sidecar's key file is forgotten at its second restart.
func TestCase1(t *testing.T) { runScript(t, "review/1/run.sh") }

// Guards against a payment that runs twice because it is sent again while the sidecar's process is replaced.
func TestCase2(t *testing.T) { runScript(t, "review/2/run.sh") }

// Guards against a sidecar that cannot start again with the key file that it has written.
func TestCase3(t *testing.T) { runScript(t, "review/3/run.sh") }

// Guards against a client that gets the answer to another one's request.
func TestLateAnswers(t *testing.T) { runPlay(t, "late") }

// Guards against a sidecar that is killed over its memory limit while many clients send long bodies slowly.
func TestMemory(t *testing.T) { runPlay(t, "memory") }

// Guards against a long upload that gets no answer in its time while one node hangs.
func TestUploads(t *testing.T) { runPlay(t, "upload") }

// Guards against long answers without a length that are cut off because their nodes send them slowly.
func TestChunkedAnswers(t *testing.T) { runPlay(t, "chunked") }

// Guards against requests that are never read while hundreds of clients stop in the middle of a head.
func TestHalfRequests(t *testing.T) { runPlay(t, "halves") }
