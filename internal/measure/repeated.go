package measure

import (
	"runtime"
	"time"
)

// repeatDuration is how long measureRepeated goes on for.
const repeatDuration = time.Second

// measureRepeated runs do again and again, and returns what a run takes, and allocates. Nothing else may run beside it.
func measureRepeated(do func()) (ns, bytes, allocations uint64) {
	do() // what is made once
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
