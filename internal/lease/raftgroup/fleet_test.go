package raftgroup

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/testing/processes"
)

func TestMain(m *testing.M) { os.Exit(processes.Main(m)) }

// fleet is a group of member processes and of client processes that compete for one lease, with a network link for each process and each member
// that it calls.
type fleet struct {
	t          *testing.T
	rig        *processes.Rig
	members    []*processes.Process
	clients    []*processes.Process
	links      []string
	sink       string // path of the file to which the holder's work appends lines with its fencing token
	fencedSink string // path of a second such file, whose writers check that the token is not lower than the last one
}

// workScript appends a line to both sinks about every 10 ms. It checks the token and writes to the fenced sink under one lock.
const workScript = `while :; do
	echo "$ORCHIDDRIFT_LEASE_TOKEN NAME" >> SINK
	flock SINK.lock sh -c '[ "$ORCHIDDRIFT_LEASE_TOKEN" -ge "$(cat SINK.last 2>/dev/null || echo 0)" ] || exit 1
		echo "$ORCHIDDRIFT_LEASE_TOKEN" > SINK.last; echo "$ORCHIDDRIFT_LEASE_TOKEN NAME" >> SINK.checked'
	sleep 0.01
done`

// newFleet creates the processes without starting them.
func newFleet(t *testing.T, seed uint64, members, clients int, duration, margin time.Duration) *fleet {
	f := &fleet{t: t, rig: processes.New(t, seed), sink: filepath.Join(t.TempDir(), "sink")}
	f.fencedSink = f.sink + ".checked"
	names := []string{"a", "b", "c", "d", "e"}[:members]
	for _, name := range names {
		f.members = append(f.members, f.rig.Process(processes.Spec{Name: name, Args: []string{"--config", "fleet.toml"},
			Ready: func(e processes.Event) bool { return e.What == "fleet: listening" },
			Files: map[string]string{"fleet.toml": f.memberFile(name, names)}}))
	}
	for i := range clients {
		name := fmt.Sprint("c", i)
		f.clients = append(f.clients, f.rig.Process(processes.Spec{Name: name, Files: map[string]string{"fleet.toml": f.clientFile(name, names)},
			Args: []string{"lease", "--file", "fleet.toml", "run", "task", "--again", "--term", duration.String(), "--margin", margin.String(), "--",
				"sh", "-c", strings.NewReplacer("SINK", f.sink, "NAME", name).Replace(workScript)}}))
	}
	return f
}

// memberFile returns the configuration file of a member.
func (f *fleet) memberFile(name string, members []string) string {
	return "[daemon]\nlisten = \"127.0.0.1:0\"\n" + fleetSection +
		fmt.Sprintf("member = %q\nlisten = \"127.0.0.1:0\"\nfile = \"fleet.db\"\n", name) + f.membersSection(name, members) +
		"[[service]]\nname = \"web\"\naddresses = [\"127.0.0.1:9\"]\n"
}

// clientFile returns the configuration file of a client.
func (f *fleet) clientFile(name string, members []string) string {
	return fleetSection + f.membersSection(name, members)
}

const fleetSection = "[log]\nformat = \"json\"\n[fleet]\nname = \"f\"\ntick = \"20ms\"\nshortest = \"100ms\"\n"

// membersSection returns the configuration that lists the members. It creates a new link from the named process to each member, whose address is that
// of the link.
func (f *fleet) membersSection(from string, members []string) string {
	var section strings.Builder
	for _, to := range members {
		link, err := f.rig.Link(from, to, func() string { return listenAddress(f.rig, to) })
		if err != nil {
			f.t.Fatal(err)
		}
		f.links = append(f.links, link.Name())
		fmt.Fprintf(&section, "[[fleet.members]]\nname = %q\naddress = %q\n", to, link.Address())
	}
	return section.String()
}

// listenAddress returns the address at which a member's latest process listens for the group, or an empty text if the process has not logged an
// address.
func listenAddress(rig *processes.Rig, member string) (address string) {
	for _, e := range rig.History.Events(0) {
		if e.Who == member && e.What == "fleet: listening" {
			var attributes struct{ Address string }
			if json.Unmarshal(e.Data, &attributes) == nil {
				address = attributes.Address
			}
		}
	}
	return address
}

// all returns the members and the clients.
func (f *fleet) all() []*processes.Process { return slices.Concat(f.members, f.clients) }

// startAll starts all processes and waits until the work has written its first line.
func (f *fleet) startAll() {
	f.t.Helper()
	if err := f.rig.StartAll(testContext(f.t), f.all()...); err != nil {
		f.t.Fatal(err)
	}
	f.awaitSink("the first line in the sink", func(lines []sinkLine) bool { return len(lines) > 0 })
}

// process returns a process by its name.
func (f *fleet) process(name string) *processes.Process {
	f.t.Helper()
	for _, p := range f.all() {
		if p.Name() == name {
			return p
		}
	}
	f.t.Fatalf("the fleet has no process %q", name)
	return nil
}

// sinkLine is a line of a sink.
type sinkLine struct {
	token  uint64
	client string
}

func (f *fleet) readSink() []sinkLine { return f.readFile(f.sink) }

func (f *fleet) readFile(path string) (lines []sinkLine) {
	file, err := os.Open(path)
	if err != nil {
		return nil // the file does not exist before the first line is written
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var line sinkLine
		if _, err := fmt.Sscan(scanner.Text(), &line.token, &line.client); err != nil {
			f.t.Errorf("malformed line in the sink: %q", scanner.Text())
		}
		lines = append(lines, line)
	}
	return lines
}

// violations describes each line that follows a line with a higher token, and each token that two clients used. Either means that two clients held
// the lease at the same time, or that a client wrote after its grant had ended.
func violations(lines []sinkLine) (found []string) {
	highest := sinkLine{}
	for i, line := range lines {
		switch {
		case line.token < highest.token:
			found = append(found, fmt.Sprintf("line %d: %s wrote with token %d after %s with token %d", i, line.client, line.token, highest.client, highest.token))
		case line.token == highest.token && line.client != highest.client:
			found = append(found, fmt.Sprintf("line %d: %s and %s both wrote with token %d", i, line.client, highest.client, line.token))
		}
		if line.token > highest.token {
			highest = line
		}
	}
	return found
}

// checkSink fails the test if a sink has violations.
func (f *fleet) checkSink(path string) {
	f.t.Helper()
	if found := violations(f.readFile(path)); len(found) > 0 {
		f.t.Errorf("%d lines violate the order of fencing tokens, such as\n%s", len(found), strings.Join(found[:min(5, len(found))], "\n"))
	}
}

// awaitSink waits until ok accepts the lines of the sink. The parameter what describes the condition.
func (f *fleet) awaitSink(what string, ok func(lines []sinkLine) bool) {
	f.t.Helper()
	for end := time.Now().Add(processes.Patience); ; time.Sleep(5 * time.Millisecond) {
		if ok(f.readSink()) {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// awaitLinesAfter waits for the duration expiry, after which every earlier grant has expired, and then for one more line. It expects no particular
// number of lines, because that depends on the machine's speed.
func (f *fleet) awaitLinesAfter(what string, expiry time.Duration) {
	f.t.Helper()
	start := time.Now()
	f.awaitSink(what, func([]sinkLine) bool { return time.Since(start) > expiry })
	n := len(f.readSink())
	f.awaitSink(what, func(lines []sinkLine) bool { return len(lines) > n })
}

// testContext returns a context with a deadline, so that a test fails instead of hanging.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 4*processes.Patience)
	t.Cleanup(cancel)
	return ctx
}
