package main

import (
	"bytes"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["answer-across-a-reload"] = answerAcrossReload }

// answerAcrossReload: an upstream gives a large answer piece by piece while a new configuration changes its service.
func answerAcrossReload(t *trial) error {
	var nodes []*node
	words := map[string]string{"DEADLINE": "5s"}
	for i := range 3 {
		n, err := t.newNode(fmt.Sprintf("n%d", i+1), "a", nil)
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
		words[fmt.Sprintf("NODE%d", i+1)] = n.address
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	words["LISTEN"] = listen
	write := func() (string, error) {
		text, err := t.data("service.toml", words)
		if err != nil {
			return "", err
		}
		return t.write("service.toml", text)
	}
	config, err := write()
	if err != nil {
		return err
	}
	s, err := t.start("sidecar", listen, "GW_CONFIG="+config)
	if err != nil {
		return err
	}
	if !s.awaitReady(readyTimeout) {
		s.noteLog()
		return fmt.Errorf("the sidecar was not ready")
	}
	const size, pace = 2 << 20, 128 << 10 // 16 s
	for _, n := range nodes {
		n.set(behaviour{size: size, pace: pace})
	}
	got := make(chan answer)
	go func() { got <- t.send(listen, request{method: "GET", path: "/report/1", timeout: 5 * time.Second}) }()
	time.Sleep(2 * time.Second)
	if t.trouble {
		words["DEADLINE"] = "4s"
		if _, err := write(); err != nil {
			return err
		}
		t.note("a new configuration: the class's deadline is 4 s")
		s.signal(syscall.SIGHUP)
	}
	a := <-got
	s.noteLog("reload", "cut")
	var ran []execution
	for _, n := range nodes {
		ran = append(ran, n.runs("")...)
	}
	if len(ran) != 1 {
		return fmt.Errorf("the request ran %d times", len(ran))
	}
	whole := answerOf(fmt.Sprintf("%s by %s", a.id, ran[0].node), size)
	switch {
	case a.status == 200 && bytes.Equal(a.body, whole):
		return nil
	case len(a.body) == 0:
		return fmt.Errorf("the answer did not begin")
	}
	return breaks("the answer was cut after %d of %d bytes, %.1f s after its request, while the upstream still gave it", len(a.body), size, a.took.Seconds())
}
