package measure

import (
	"runtime"
	"time"
)

// repeatDuration is the time for which measureRepeated repeats the call.
const repeatDuration = time.Second

// measureRepeated calls do for repeatDuration, and returns the time in nanoseconds, the allocated bytes and the allocations per call.
// Nothing else may run at the same time, because the figures include the whole process.
func measureRepeated(do func()) (ns, bytes, allocations uint64) {
	do() // excludes one-time allocations
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
