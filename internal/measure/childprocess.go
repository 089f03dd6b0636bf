package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
)

// childRoleVariable is an environment variable that makes the program run as a child process.
const childRoleVariable = "ORCHIDDRIFT_MEASURE"

// childRole tells a child process what to run. It is passed as JSON in childRoleVariable.
type childRole struct {
	Part      string        // name of the role, as in the cases of RunChild
	Nodes     int           `json:",omitempty"`
	GRPC      bool          `json:",omitempty"`
	Work      time.Duration `json:",omitempty"`
	GC        int           `json:",omitempty"` // value of GOGC for a proxy
	Slow      float64       `json:",omitempty"` // factor by which every tenth node is slower; 0 means that no node is slower
	Addresses []string      `json:",omitempty"`
	Listen    string        `json:",omitempty"`
	Policy    string        `json:",omitempty"`
	Workers   int           `json:",omitempty"`
	Calls     int           `json:",omitempty"`
	Warm      int           `json:",omitempty"`
	Dir       string        `json:",omitempty"` // file, folder or address that the role needs, such as the folder of the TLS keys
	Answer    string        `json:",omitempty"` // response body of the nodes
	Routes    int           `json:",omitempty"` // number of routes in the configuration of the daemon
}

// usage is the resource use of a process since its start.
type usage struct {
	CPU     time.Duration
	Mallocs uint64
	Bytes   uint64
}

// RunChild runs the role that childRoleVariable contains until standard input ends. It returns false if the variable is not set. A program
// that starts child processes must call RunChild first.
func RunChild() (bool, error) {
	text := os.Getenv(childRoleVariable)
	if text == "" {
		return false, nil
	}
	log.SetOutput(io.Discard)
	var r childRole
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return true, err
	}
	runtime.GOMAXPROCS(1)
	switch r.Part {
	case "nodes":
		return true, r.serveNodes()
	case "tlsnodes":
		return true, r.serveTLSNodes()
	case "daemon", "reverseproxy":
		return true, r.serveProxy()
	case "manynodes":
		return true, r.serveCountingNodes()
	case "manydaemon":
		return true, r.serveSubsetDaemon()
	case "floornodes":
		return true, r.serveFairnessNodes()
	case "floordaemon":
		return true, r.serveFairnessDaemon()
	case "eurekadaemon":
		return true, r.serveEurekaDaemon()
	case "graphqldaemon":
		return true, r.serveGraphQLDaemon()
	case "repeatsdaemon":
		return true, r.serveIdempotencyDaemon()
	case "instant":
		return true, serveInstant()
	case "etcd":
		return true, serveEtcd()
	case "client":
		return true, r.runClient()
	}
	return true, fmt.Errorf("unknown child role %q", r.Part)
}

// answerUsage writes ready to standard output. It then answers each line on standard input with the usage so far, until the input ends.
func answerUsage(ready any) error {
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(ready); err != nil {
		return err
	}
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		if err := out.Encode(currentUsage()); err != nil {
			return err
		}
	}
	return in.Err()
}

// serveDaemonFile runs a daemon on a free port until standard input ends. text is the daemon's configuration file, whose memory limit
// applies.
func serveDaemonFile(text []byte) error {
	plan, err := config.ParseFile(text)
	if err != nil {
		return err
	}
	daemon.LimitMemory(plan)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	return serveDaemon(plan, listener)
}

// serveDaemon runs a daemon, and answers requests for its resource usage, until standard input ends.
func serveDaemon(plan *config.Plan, listener net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.ServePlan(ctx, plan, listener, config.Sources{}, nil, nil) }()
	err := answerUsage(listener.Addr().String())
	cancel()
	return errors.Join(err, <-ended)
}

// currentUsage returns the resource usage of this process. It returns a zero usage if the system does not report it.
func currentUsage() usage {
	var r syscall.Rusage
	var m runtime.MemStats
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}
	}
	runtime.ReadMemStats(&m)
	return usage{time.Duration(r.Utime.Nano() + r.Stime.Nano()), m.Mallocs, m.TotalAlloc}
}

// child is a process that runs a childRole.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

// startChild starts this program as a child process, waits for the first message of the child and decodes it into ready. Servers send this
// message when they accept connections.
func startChild(r childRole, ready any) (*child, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self)}
	c.cmd.Env = append(os.Environ(), childRoleVariable+"="+string(text))
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out = json.NewDecoder(out)
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	if err := c.out.Decode(ready); err != nil {
		return nil, errors.Join(fmt.Errorf("child process %s did not report that it is ready: %w", r.Part, err), c.stop())
	}
	return c, nil
}

// used returns the resource usage of the child so far.
func (c *child) used() (u usage, err error) {
	if _, err = io.WriteString(c.in, "\n"); err == nil {
		err = c.out.Decode(&u)
	}
	return u, err
}

// stop closes the standard input of the child, which makes the child exit, and waits for its exit.
func (c *child) stop() error {
	c.in.Close()
	return c.cmd.Wait()
}
