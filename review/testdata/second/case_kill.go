package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["payment-after-a-kill"] = paymentAfterKill }

// paymentAfterKill: the sidecar keeps keys in a file. It is started anew with a file that has a time and no record, since all that it held
// were refused or too old. A payment is out when the process is killed; its client sends it again as the nodes have just forgotten it.
func paymentAfterKill(t *trial) error {
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
	const quiet = 34 * time.Second // longer than keep, which is 30 s
	t.note("nothing comes for %v; keep is 30 s", quiet)
	time.Sleep(quiet)
	f.set("", behaviour{full: true})
	if got := t.send(f.listen, f.payment("k1", 3*time.Second)); got.status != 503 {
		return fmt.Errorf("the first payment, which no node takes, is to be refused, and it got %v", got)
	}
	f.set("", behaviour{work: 1500 * time.Millisecond})
	t.note("a planned restart")
	first.signal(syscall.SIGTERM)
	if !first.awaitEnd(endTimeout) {
		return fmt.Errorf("%s did not end", first.name)
	}
	second, err := f.startReady()
	if err != nil {
		return err
	}
	const key = "k2"
	sent := time.Now()
	try := make(chan answer)
	go func() { try <- t.send(f.listen, f.payment(key, 3*time.Second)) }()
	time.Sleep(700 * time.Millisecond)
	if len(f.runs(key)) != 1 {
		return fmt.Errorf("the payment is to run at one node by now, and %d have it", len(f.runs(key)))
	}
	if t.trouble {
		t.note("the sidecar is killed outright")
		second.kill()
		if _, err := f.startReady(); err != nil {
			return err
		}
	}
	<-try
	f.set("", behaviour{})
	time.Sleep(time.Until(sent.Add(window + 1500*time.Millisecond)))
	t.note("the client sends the payment again, just after the nodes' window of %v has closed", window)
	t.send(f.listen, f.payment(key, 3*time.Second))
	if ran := f.runs(key); len(ran) > 1 {
		return breaks("payment %s was recorded %d times: by %s and, %.1f s later, by %s", key, len(ran), ran[0].node,
			ran[len(ran)-1].at.Sub(ran[0].at).Seconds(), ran[len(ran)-1].node)
	}
	return nil
}
