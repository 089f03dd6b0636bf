package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"orchiddrift/internal/endpoints"
)

// trial is one run of a case. Its methods are safe for concurrent use, except that sidecars are started by the goroutine that plays the case.
type trial struct {
	root, folder string
	temporary    string // folder for sockets, configurations and stores; removed at the end
	trouble      bool   // false: everything but the disruption
	seed         uint64 // of the sidecars' random numbers; each start has one of its own
	started      time.Time

	mu       sync.Mutex
	record   *os.File
	sidecars []*sidecar
	nodes    []*node
	links    []net.Listener
	ids      int
	closed   bool
}

func newTrial(root, folder string, trouble bool, seed uint64) (*trial, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	folder, err = filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "second")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath(folder))
	if err != nil {
		return nil, err
	}
	t := &trial{root: root, folder: folder, temporary: temporary, trouble: trouble, seed: seed, started: time.Now(), record: record}
	t.note("trouble: %v, seed: %d", trouble, seed)
	return t, nil
}

// note writes a line to the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		fmt.Fprintf(t.record, "%8.3f  %s\n", time.Since(t.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes that the trial has started, and its stand-ins.
func (t *trial) close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	sidecars, nodes, links := t.sidecars, t.nodes, t.links
	t.mu.Unlock()
	for _, s := range sidecars {
		s.kill()
	}
	for _, n := range nodes {
		n.close()
	}
	for _, l := range links {
		l.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.record.Close()
	os.RemoveAll(t.temporary)
}

// nextID returns the id of a new request. Each try of a client has an id of its own.
func (t *trial) nextID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids++
	return fmt.Sprintf("%08x%08x", uint32(t.started.UnixNano()), t.ids)
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// data returns a data file of the case, with {{TMP}} and further words in braces replaced.
func (t *trial) data(name string, words map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join(t.folder, name))
	if err != nil {
		return "", err
	}
	out := strings.ReplaceAll(string(text), "{{TMP}}", t.temporary)
	for word, value := range words {
		out = strings.ReplaceAll(out, "{{"+word+"}}", value)
	}
	return out, nil
}

// write writes a file into the temporary folder and returns its path. The file is replaced at once.
func (t *trial) write(name, text string) (string, error) {
	path := filepath.Join(t.temporary, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// settings is the part of the settings that the cases need: which class has which effect.
type settings struct {
	Classes []struct {
		Name, Semantics string
	}
}

// class returns the name of the first class of an effect: retryable, dedup or fragile.
func (t *trial) class(effect string) (string, error) {
	text, err := t.data("settings.json", nil)
	if err != nil {
		return "", err
	}
	var s settings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return "", err
	}
	for _, c := range s.Classes {
		if c.Semantics == effect {
			return c.Name, nil
		}
	}
	return "", fmt.Errorf("settings.json has no class of effect %s", effect)
}

// platformFile writes the platform's file for a start of the sidecar, with the settings of the case's folder, and returns its path.
func (t *trial) platformFile(listen, discovery string, known *endpoints.List, start int) (string, error) {
	text, err := t.data("settings.json", nil)
	if err != nil {
		return "", err
	}
	file, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", t.seed<<16|uint64(start)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512},
		"known":    known,
		"settings": json.RawMessage(text),
	})
	if err != nil {
		return "", err
	}
	return t.write("config.json", string(file))
}

// sidecar is one process of the project's program.
type sidecar struct {
	trial  *trial
	name   string
	listen string
	cmd    *exec.Cmd
	done   chan struct{} // closed once the process has ended
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// start starts a process with the deploy file's command. It does not wait until the process is ready.
func (t *trial) start(name, listen string, env ...string) (*sidecar, error) {
	deploy, err := os.ReadFile(filepath.Join(t.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, fmt.Errorf("the deploy file has no line run")
	}
	log, err := os.Create(filepath.Join(t.temporary, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	s := &sidecar{trial: t, name: name, listen: listen, cmd: exec.Command("/bin/sh", "-c", string(found[1])), done: make(chan struct{})}
	s.cmd.Dir, s.cmd.Stdout, s.cmd.Stderr = t.root, log, log
	s.cmd.Env = append(os.Environ(), "TMPDIR="+t.temporary)
	s.cmd.Env = append(s.cmd.Env, env...)
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.sidecars = append(t.sidecars, s)
	t.mu.Unlock()
	t.note("%s: started", name)
	go func() {
		_ = s.cmd.Wait()
		t.note("%s: ended, %s", name, s.cmd.ProcessState)
		close(s.done)
	}()
	return s, nil
}

// isReady asks for the sidecar's readiness once.
func (s *sidecar) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + s.listen + "/-/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the sidecar is ready. It returns false if the process ends before, or is not ready in time.
func (s *sidecar) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if s.isReady() {
			s.trial.note("%s: ready", s.name)
			return true
		}
		select {
		case <-s.done:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return false
}

// signal sends a signal to the process that run started.
func (s *sidecar) signal(signal syscall.Signal) {
	select {
	case <-s.done:
	default:
		s.trial.note("%s: gets signal %d (%v)", s.name, int(signal), signal)
		_ = s.cmd.Process.Signal(signal)
	}
}

// awaitEnd waits until the process has ended.
func (s *sidecar) awaitEnd(timeout time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill ends the process at once, if it runs, and waits for its end.
func (s *sidecar) kill() {
	select {
	case <-s.done:
		return
	default:
	}
	_ = syscall.Kill(-s.cmd.Process.Pid, syscall.SIGKILL)
	<-s.done
}

// noteLog copies the lines of the process's log that contain one of the words into the record; all lines if no word is given.
func (s *sidecar) noteLog(words ...string) {
	text, _ := os.ReadFile(filepath.Join(s.trial.temporary, s.name+".log"))
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		wanted := len(words) == 0
		for _, word := range words {
			wanted = wanted || strings.Contains(line, word)
		}
		if wanted && line != "" {
			s.trial.note("%s says: %s", s.name, strings.ReplaceAll(line, s.trial.temporary, "TMP"))
		}
	}
}

// splitAddress returns the host and the port of an address.
func splitAddress(address string) (host string, port int) {
	host, text, _ := net.SplitHostPort(address)
	port, _ = strconv.Atoi(text)
	return host, port
}
