package main

import (
	"errors"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// The tests play the scripts of the review. They run only where REVIEW_SCRIPTS is set, after the deploy file's build and review/build-2.sh:
//
//	REVIEW_SCRIPTS=1 go test ./review/testdata/second -run PaymentInUnknownGroup -v -seed 1
var seed = flag.Uint64("seed", 1, "base of the sidecars' seeds")

// playScript runs a case's script and fails if the rule was broken.
func playScript(t *testing.T, number string) {
	if os.Getenv("REVIEW_SCRIPTS") == "" {
		t.Skip("REVIEW_SCRIPTS is not set")
	}
	folder, err := filepath.Abs(filepath.Join("..", "..", number))
	if err != nil {
		t.Fatal(err)
	}
	script := exec.Command(filepath.Join(folder, "run.sh"))
	script.Env = append(os.Environ(), "SEED="+strconv.FormatUint(*seed, 10))
	output, err := script.CombinedOutput()
	if err == nil {
		return
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == broken {
		t.Fatalf("the rule was broken; see %s", recordPath(filepath.Join("review", number)))
	}
	t.Fatalf("the case could not run: %v\n%s", err, output)
}

func TestPaymentInUnknownGroup(t *testing.T)     { playScript(t, "6") }
func TestSecondAnswer(t *testing.T)              { playScript(t, "7") }
func TestRestartAfterConfiguration(t *testing.T) { playScript(t, "8") }
func TestAnswerAcrossReload(t *testing.T)        { playScript(t, "9") }
func TestPaymentWithoutLength(t *testing.T)      { playScript(t, "10") }
