package measure

import (
	"runtime"
	"time"
)

// repeatDuration is the time for which measureRepeated repeats.
const repeatDuration = time.Second

// measureRepeated calls do for repeatDuration, and returns the time, bytes and allocations of a call. Nothing else may run at the same time.
func measureRepeated(do func()) (ns, bytes, allocations uint64) {
	do() // excludes one-time allocations
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n, begun := uint64(0), time.Now()
	for ; n == 0 || time.Since(begun) < repeatDuration; n++ {
		do()
	}
	took := time.Since(begun)
	runtime.ReadMemStats(&after)
	return uint64(took) / n, (after.TotalAlloc - before.TotalAlloc) / n, (after.Mallocs - before.Mallocs) / n
}
