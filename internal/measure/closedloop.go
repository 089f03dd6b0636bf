package measure

import (
	"slices"
	"sync"
	"time"
)

// closedLoop sends requests from several workers. Each worker waits for an answer before it sends its next request. closedLoop sends
// warm-up requests, calls afterWarmUp, sends the measured requests and returns the sorted latencies of the latter. The parameter warm
// is the number of warm-up requests, and calls is the number of measured requests. Both are rounded down to a multiple of workers.
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
