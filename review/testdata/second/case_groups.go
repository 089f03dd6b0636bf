package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["payment-in-an-unknown-group"] = paymentInUnknownGroup }

// paymentInUnknownGroup: the new nodes of two data centres are registered in a registry that doesn't say where they are. Some
// connections are reset under requests that have run.
func paymentInUnknownGroup(t *trial) error {
	f, err := t.newFleet(window, "c")
	if err != nil {
		return err
	}
	defer f.discovery.Close()
	registry, err := f.useEureka()
	if err != nil {
		return err
	}
	defer registry.Close()
	groups := map[string]*group{"a": newGroup(window), "b": newGroup(window)}
	for i := range 4 {
		zone := []string{"a", "b"}[i%2]
		n, err := t.newNode(fmt.Sprintf("new-%d-in-%s", i+1, zone), "", groups[zone])
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		register(registry, n)
	}
	if _, err := f.startReady(); err != nil {
		return err
	}
	f.set("", behaviour{work: 20 * time.Millisecond})
	time.Sleep(time.Second) // the registry is polled
	var clients sync.WaitGroup
	pay := func(from, to int) {
		for i := from; i < to; i++ {
			clients.Go(func() { t.send(f.listen, f.payment(fmt.Sprintf("k%03d", i), 3*time.Second)) })
			time.Sleep(40 * time.Millisecond)
		}
	}
	pay(0, 40)
	if t.trouble {
		t.note("for 6 s one connection in five is reset under a request that has run")
		f.set("", behaviour{work: 20 * time.Millisecond, reset: 5})
	}
	pay(40, 190)
	f.set("", behaviour{work: 20 * time.Millisecond})
	pay(190, 210)
	clients.Wait()
	twice := 0
	var first []execution
	for i := range 210 {
		if ran := f.runs(fmt.Sprintf("k%03d", i)); len(ran) > 1 {
			if twice++; twice == 1 {
				first = ran
			}
		}
	}
	if twice > 0 {
		return breaks("%d payments were recorded twice; %s by %s and by %s, which is in another data centre", twice, first[0].key, first[0].node, first[1].node)
	}
	return nil
}
