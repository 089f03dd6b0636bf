package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

const (
	secondRate  = 200                    // requests a second
	secondFor   = 40 * time.Second       // of load
	secondWork  = 100 * time.Millisecond // of a request
	secondShare = 20                     // of so many answers one comes a second time
	secondFirst = 2                      // milliseconds after the first answer, at the earliest
	secondLast  = 9                      // and at the latest
)

// secondAnswer: nodes give some answers a second time, some milliseconds late and when nothing else waits on the connection. The sidecar's
// own data centre is a, as the settings say; the others are reached over links.
func secondAnswer(t *trial) error {
	f, err := t.newFleet(window, "a", "b", "c", "d")
	if err != nil {
		return err
	}
	defer f.discovery.Close()
	random := rand.New(rand.NewPCG(t.seed, 1))
	f.set("", behaviour{work: secondWork})
	if t.trouble {
		t.note("one answer in %d comes a second time, %d to %d ms late", secondShare, secondFirst, secondLast)
		f.set("", behaviour{work: secondWork, second: secondShare})
	}
	for _, n := range f.nodes {
		if n.zone != "a" {
			delay := 1400*time.Microsecond + time.Duration(random.Int64N(1200))*time.Microsecond
			via, err := t.startLink(n.address, delay)
			if err != nil {
				return err
			}
			t.note("node %s is reached over a link of %v", n.name, delay)
			entry := n.entry()
			entry.Address = via
			f.discovery.Set(entry)
		}
	}
	f.known = f.discovery.List()
	if _, err := f.startReady(); err != nil {
		return err
	}
	client := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var clients sync.WaitGroup
	served, foreign := 0, []string{}
	for ends := time.Now().Add(secondFor); time.Now().Before(ends); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / secondRate))
		r := request{method: "GET", path: "/" + f.safe + "/u", class: f.safe, timeout: 1400 * time.Millisecond}
		if random.Float64() < 0.3 {
			r = request{method: "POST", path: "/" + f.unsafe + "/u", class: f.unsafe, timeout: 3 * time.Second, body: "seat 12A"}
		}
		clients.Go(func() {
			got := t.sendOver(client, f.listen, r)
			if got.status != 200 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			if !strings.HasPrefix(string(got.body), got.id+" by ") {
				foreign = append(foreign, fmt.Sprintf("%s of %s was served with %q", got.id, r.class, got.body))
			}
		})
	}
	clients.Wait()
	seconds := 0
	for _, n := range f.nodes {
		n.mu.Lock()
		seconds += n.seconds
		n.mu.Unlock()
	}
	t.note("%d requests were served, %d answers came a second time, %d requests got another one's answer", served, seconds, len(foreign))
	for _, line := range foreign {
		t.note("foreign: %s", line)
	}
	if served < secondRate*int(secondFor/time.Second)/2 {
		return fmt.Errorf("only %d requests were served", served)
	}
	if len(foreign) > 0 {
		return breaks("%d requests were served with the answer to another one; %s", len(foreign), foreign[0])
	}
	return nil
}
