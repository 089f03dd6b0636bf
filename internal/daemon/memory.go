package daemon

import (
	"time"

	"orchiddrift/internal/residentmemory"
)

const (
	// memoryCheckInterval is how often the process's memory is compared with its limit.
	memoryCheckInterval = 100 * time.Millisecond
	// releaseFraction is the part of the memory limit from which on the program's pages are given back.
	releaseFraction = 0.8
)

// keepWithinMemory gives the pages of the program's file back to the system while the process holds nearly as much memory as it may, until
// the daemon ends. Few of them are needed again at once.
func (d *daemon) keepWithinMemory() {
	limit := int64(d.limits.MemoryMB * bytesPerMB * releaseFraction)
	program, err := residentmemory.FindProgram()
	if err != nil { // the system does not tell
		return
	}
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.background.Done():
			return
		case <-ticker.C:
		}
		usage, err := residentmemory.Read()
		if err != nil {
			return
		}
		if usage.Resident <= limit {
			continue
		}
		if err := program.Release(); err != nil {
			d.log.Warn("the program's pages stay in memory", "reason", err)
			return
		}
	}
}
