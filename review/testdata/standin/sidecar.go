package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// patience is how long a wait that has to succeed may take.
const patience = 30 * time.Second

// sidecar is one process of the program under review.
type sidecar struct {
	play    *play
	name    string
	address string // for clients
	command *exec.Cmd
	ended   chan struct{}
}

// startSidecar starts the deploy file's run command with variables of the environment, and waits until the sidecar is ready.
func (p *play) startSidecar(name, address string, environment ...string) (*sidecar, error) {
	s, err := p.launchSidecar(name, address, environment...)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

// launchSidecar is startSidecar without the wait.
func (p *play) launchSidecar(name, address string, environment ...string) (*sidecar, error) {
	s := &sidecar{play: p, name: name, address: address, ended: make(chan struct{})}
	s.command = exec.Command("/bin/sh", "-c", p.command)
	s.command.Env = append(append(os.Environ(), "TMPDIR="+p.folder), environment...)
	s.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := s.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	p.note("%s: process started", name)
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			p.note("%s logs: %s", name, strings.ReplaceAll(lines.Text(), p.folder, "TMP"))
		}
		err := s.command.Wait()
		p.note("%s: process ended (%v)", name, describeEnd(err))
		close(s.ended)
	}()
	return s, nil
}

func describeEnd(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

const sigterm = syscall.SIGTERM

// awaitReady waits until GET /-/ready answers 200.
func (s *sidecar) awaitReady() error { return s.awaitPath("/-/ready") }

// awaitPath waits until a GET of the path at the sidecar's address answers 200.
func (s *sidecar) awaitPath(path string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		if response, err := client.Get("http://" + s.address + path); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.play.note("%s: ready", s.name)
				return nil
			}
		}
		select {
		case <-s.ended:
			return fmt.Errorf("%s ended before it was ready", s.name)
		case <-s.play.Done():
			return s.play.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s was not ready in time", s.name)
}

func (s *sidecar) signal(signal syscall.Signal) {
	select {
	case <-s.ended:
		return
	default:
	}
	s.play.note("%s: gets %v", s.name, signal)
	_ = syscall.Kill(s.command.Process.Pid, signal)
}

// kill ends the process outright, and waits for its end.
func (s *sidecar) kill() {
	s.signal(syscall.SIGKILL)
	<-s.ended
}

// terminate ends the process by SIGTERM, and waits for its end.
func (s *sidecar) terminate() error {
	s.signal(syscall.SIGTERM)
	select {
	case <-s.ended:
		return nil
	case <-time.After(patience):
		s.kill()
		return errors.New(s.name + " did not end after SIGTERM")
	}
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
