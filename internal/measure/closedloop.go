package measure

import (
	"slices"
	"sync"
	"time"
)

// closedLoop sends requests from some workers, each after the answer to its last, and returns the sorted latencies of calls requests. Before
// them it sends warm requests that do not count, and calls between.
func closedLoop(workers, warm, calls int, request func(worker, n int) error, between func() error) ([]time.Duration, error) {
	run := func(calls int, record bool) ([]time.Duration, error) {
		var mu sync.Mutex
		var latencies []time.Duration
		var failure error
		var wg sync.WaitGroup
		for w := range workers {
			wg.Go(func() {
				own := make([]time.Duration, 0, calls/workers+1)
				for n := range calls / workers {
					started := time.Now()
					if err := request(w, n); err != nil {
						mu.Lock()
						failure = err
						mu.Unlock()
						return
					}
					own = append(own, time.Since(started))
				}
				mu.Lock()
				defer mu.Unlock()
				if record {
					latencies = append(latencies, own...)
				}
			})
		}
		wg.Wait()
		return latencies, failure
	}
	if _, err := run(warm, false); err != nil {
		return nil, err
	}
	if err := between(); err != nil {
		return nil, err
	}
	latencies, err := run(calls, true)
	slices.Sort(latencies)
	return latencies, err
}
