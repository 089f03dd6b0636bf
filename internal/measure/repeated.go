package measure

import (
	"runtime"
	"time"
)

// repeatDuration is the time for which measureRepeated repeats a call.
const repeatDuration = time.Second

// measureRepeated calls the function do repeatedly for repeatDuration. It returns the time in nanoseconds, the allocated bytes and
// the allocations per call. No other work may run at the same time, because the figures are those of the whole process.
func measureRepeated(do func()) (ns, bytes, allocations uint64) {
	do() // this first call excludes one-time allocations from the figures
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n, started := uint64(0), time.Now()
	for ; n == 0 || time.Since(started) < repeatDuration; n++ {
		do()
	}
	took := time.Since(started)
	runtime.ReadMemStats(&after)
	return uint64(took) / n, (after.TotalAlloc - before.TotalAlloc) / n, (after.Mallocs - before.Mallocs) / n
}
