package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["full-store-restart"] = fullStoreRestart }

// fullStoreRestart: a store of keys fills up while the nodes of one zone hang, and the sidecar is told to end and started again.
func fullStoreRestart(t *trial) error {
	f, err := t.newFleet(window, "a", "b")
	if err != nil {
		return err
	}
	defer f.discovery.Close()
	if err := f.useOperatorFile(nil); err != nil {
		return err
	}
	first, err := f.startReady()
	if err != nil {
		return err
	}
	for i := range 30 {
		if got := t.send(f.listen, f.payment(fmt.Sprintf("quiet-%02d", i), 3*time.Second)); got.status != 200 {
			return fmt.Errorf("a payment before the trouble got %v", got)
		}
	}
	if t.trouble {
		t.note("the nodes of zone a, half of all, hang")
		f.set("a", behaviour{hang: true})
	}
	t.note("a burst of payments: the store is full then, and refuses some")
	var burst sync.WaitGroup
	for i := range 80 {
		burst.Go(func() { t.send(f.listen, f.payment(fmt.Sprintf("burst-%02d", i), 3*time.Second)) })
	}
	burst.Wait()
	t.note("the sidecar is told to end")
	first.signal(syscall.SIGTERM)
	if !first.awaitEnd(endTimeout) {
		return fmt.Errorf("%s did not end", first.name)
	}
	f.set("", behaviour{})
	second, err := f.start()
	if err != nil {
		return err
	}
	if !second.awaitReady(readyTimeout) {
		second.noteLog()
		for range 2 { // the platform starts it again, to the same end
			again, err := f.start()
			if err != nil {
				return err
			}
			if again.awaitReady(readyTimeout) {
				return fmt.Errorf("%s was ready, and %s was not", again.name, second.name)
			}
			again.noteLog()
		}
		return breaks("the sidecar refuses to start")
	}
	if got := t.send(f.listen, f.payment("quiet-00", 3*time.Second)); got.status != 200 {
		return fmt.Errorf("the repeat of an answered payment got %v", got)
	}
	return nil
}
