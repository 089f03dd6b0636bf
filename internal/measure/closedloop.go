package measure

import (
	"slices"
	"sync"
	"time"
)

// closedLoop sends requests from several workers. Each worker waits for an answer before it sends its next request. The first requests,
// whose number is warm, are not recorded. closedLoop then calls afterWarmUp, sends further requests, whose number is calls, and returns
// their sorted latencies.
func closedLoop(workers, warm, calls int, request func(worker, n int) error, afterWarmUp func() error) ([]time.Duration, error) {
	run := func(calls int, record bool) ([]time.Duration, error) {
		var mu sync.Mutex
		var latencies []time.Duration
		var failure error
		var wg sync.WaitGroup
		for w := range workers {
			wg.Go(func() {
				workerLatencies := make([]time.Duration, 0, calls/workers+1)
				for n := range calls / workers {
					started := time.Now()
					if err := request(w, n); err != nil {
						mu.Lock()
						failure = err
						mu.Unlock()
						return
					}
					workerLatencies = append(workerLatencies, time.Since(started))
				}
				mu.Lock()
				defer mu.Unlock()
				if record {
					latencies = append(latencies, workerLatencies...)
				}
			})
		}
		wg.Wait()
		return latencies, failure
	}
	if _, err := run(warm, false); err != nil {
		return nil, err
	}
	if err := afterWarmUp(); err != nil {
		return nil, err
	}
	latencies, err := run(calls, true)
	slices.Sort(latencies)
	return latencies, err
}
