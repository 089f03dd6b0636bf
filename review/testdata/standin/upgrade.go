package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	upgradeYes   = 150 * time.Millisecond // how long the repeats wait where no process is replaced, in place of the new process's yes
	upgradeAgain = 100 * time.Millisecond // after that yes the clients send their payments again
)

// repeatedAcrossProcesses checks that a payment that is sent again while its first try runs is recorded once, when the sidecar's process is
// replaced in between.
func repeatedAcrossProcesses(p *play) (breaks []string, err error) {
	nodes := &paymentNodes{play: p, runs: map[string][]string{}, work: paymentWork}
	var list []endpoint
	for _, zone := range []string{"upper-hill", "industrial-area", "athi-river", "thika-road"} {
		memory := &paymentZone{seen: map[string]time.Time{}}
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", zone, i+1)
			at, err := nodes.serve(name, memory)
			if err != nil {
				return nil, err
			}
			list = append(list, entry(name, at, zone))
		}
	}
	d, err := p.startDiscovery(list)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.folder, "beside.toml")
	if err := os.WriteFile(file, []byte("[[repeats]]\nservice = \"platform\"\nkeep = \"10m\"\n"), 0o600); err != nil {
		return nil, err
	}
	classes := []class{theSite().Record}
	start := func(name string) (*sidecar, error) {
		control, err := freeAddress()
		if err != nil {
			return nil, err
		}
		environment, err := p.platformFile("n1", address, control, d, "upper-hill", 4, classes, smallLimits)
		if err != nil {
			return nil, err
		}
		s, err := p.launchSidecar(name, control, append(environment, "ORCHIDDRIFT_FILE="+file)...)
		if err != nil {
			return nil, err
		}
		if err := s.awaitPath("/ready"); err != nil {
			s.kill()
			return nil, err
		}
		return s, nil
	}
	current, err := start("sidecar")
	if err != nil {
		return nil, err
	}
	defer func() { current.kill() }()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		p.payAll(address, "1")
	}()
	if p.trouble {
		next, err := start("sidecar, new process")
		if err != nil {
			return nil, err
		}
		old := current
		current = next
		defer func() { old.kill() }()
		old.signal(sigterm)
	} else if err := p.pause(upgradeYes); err != nil {
		return nil, err
	}
	if err := p.pause(upgradeAgain); err != nil {
		return nil, err
	}
	p.payAll(address, "2")
	<-sent
	nodes.mu.Lock()
	defer nodes.mu.Unlock()
	if len(nodes.runs) < payments/2 {
		return nil, fmt.Errorf("only %d payments ran", len(nodes.runs))
	}
	for key, at := range nodes.runs {
		p.note("payment %s was recorded %d times: %s", key, len(at), strings.Join(at, ", "))
		if len(at) > 1 {
			breaks = append(breaks, fmt.Sprintf("payment %s ran %d times, at %s", key, len(at), strings.Join(at, " and ")))
		}
	}
	return breaks, nil
}
