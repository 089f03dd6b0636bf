package main

import (
	"fmt"
	"time"
)

func init() { cases["payment-without-length"] = paymentWithoutLength }

// paymentWithoutLength: answers have no length and end with their connection.
func paymentWithoutLength(t *trial) error {
	f, err := t.newFleet(window, "a", "b")
	if err != nil {
		return err
	}
	defer f.discovery.Close()
	if err := f.useOperatorFile(nil); err != nil {
		return err
	}
	if _, err := f.startReady(); err != nil {
		return err
	}
	if t.trouble {
		t.note("the nodes' answers have no length: they end with the connection, all whole")
		f.set("", behaviour{noLength: true})
	}
	served, ran := 0, 0
	const payments = 20
	for i := range payments {
		key := fmt.Sprintf("k%02d", i)
		got := t.send(f.listen, f.payment(key, 3*time.Second))
		if got.status == 200 {
			served++
		}
		if len(f.runs(key)) > 0 {
			ran++
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.note("the first client sends its payment again")
	t.send(f.listen, f.payment("k00", 3*time.Second))
	searches := 0
	for i := range payments {
		if got := t.send(f.listen, request{method: "GET", path: fmt.Sprintf("/%s/u%d", f.safe, i), class: f.safe, timeout: 1400 * time.Millisecond}); got.status == 200 {
			searches++
		}
	}
	t.note("payments: %d ran, %d of %d were served; beside them %d of %d safe requests", ran, served, payments, searches, payments)
	if ran == 0 {
		return fmt.Errorf("no payment ran")
	}
	if 2*served < ran {
		return breaks("of %d whole answers to payments %d were forwarded; half at least have to be", ran, served)
	}
	return nil
}
