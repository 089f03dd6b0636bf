package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"orchiddrift/internal/endpoints"
)

func init() { cases["restart-after-a-new-configuration"] = restartAfterNewConfiguration }

// restartAfterNewConfiguration: a planned restart begins 0.2 s after a new configuration, while bookings are out. One of twenty
// nodes hangs.
func restartAfterNewConfiguration(t *trial) error {
	f, err := t.newFleet(window, "a", "b")
	if err != nil {
		return err
	}
	defer f.discovery.Close()
	var more []endpoints.Endpoint
	for i := len(f.nodes); i < 20; i++ {
		n, err := t.newNode(fmt.Sprintf("more-%d", i+1), []string{"a", "b"}[i%2], nil)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		more = append(more, n.entry())
	}
	f.discovery.Set(more...)
	f.known = f.discovery.List()
	words := map[string]string{"WARM": "false"}
	if err := f.useOperatorFile(words); err != nil {
		return err
	}
	s, err := f.startReady()
	if err != nil {
		return err
	}
	f.set("", behaviour{work: 100 * time.Millisecond})
	hung := f.nodes[0]
	hung.set(behaviour{hang: true})
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	answers := make([]answer, 100)
	for i := range answers {
		clients.Go(func() {
			answers[i] = t.send(f.listen, request{method: "POST", path: "/" + f.unsafe + "/u", class: f.unsafe, timeout: 5 * time.Second, body: "seat 12A"})
		})
		time.Sleep(5 * time.Millisecond)
	}
	if t.trouble {
		words["WARM"] = "true"
		if err := f.useOperatorFile(words); err != nil {
			return err
		}
		t.note("a new configuration: connections are opened ahead of use")
		s.signal(syscall.SIGHUP)
	}
	time.Sleep(200 * time.Millisecond)
	t.note("a planned restart")
	s.signal(syscall.SIGTERM)
	clients.Wait()
	s.awaitEnd(endTimeout)
	s.noteLog("reload", "aborted")
	ran := map[string]string{}
	for _, n := range f.nodes {
		for _, e := range n.runs("") {
			ran[e.id] = e.node
		}
	}
	var lost []answer
	for _, a := range answers {
		if ran[a.id] != "" && a.status == 0 {
			lost = append(lost, a)
			t.note("lost: %s, which went on to %s: %v", a.id, ran[a.id], a)
		}
	}
	t.note("%d bookings went on to nodes, %d of them to the node that hangs; %d have no answer", len(ran), len(hung.runs("")), len(lost))
	if len(hung.runs("")) == 0 {
		return fmt.Errorf("no booking went to the node that hangs")
	}
	if len(lost) > 0 {
		return breaks("%d bookings that had gone on to a node have no answer: %s got %v", len(lost), lost[0].id, lost[0].err)
	}
	return nil
}
