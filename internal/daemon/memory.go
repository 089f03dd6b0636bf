package daemon

import (
	"time"

	"orchiddrift/internal/residentmemory"
)

const (
	// memoryCheckInterval is how often the process's memory is compared with its limit, and calmCheckInterval how often while the process holds
	// less than calmFraction of it.
	memoryCheckInterval = 100 * time.Millisecond
	calmCheckInterval   = time.Second
	calmFraction        = 0.5
	// releaseFraction is the part of the memory limit from which on the program's pages are given back.
	releaseFraction = 0.8
)

// keepWithinMemory gives the pages of the program's file back to the system while the process holds nearly as much memory as it may, until
// the daemon ends. Few of them are needed again at once.
func (d *daemon) keepWithinMemory() {
	program, err := residentmemory.FindProgram()
	if err != nil { // the system does not tell
		return
	}
	timer := time.NewTimer(memoryCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-d.background.Done():
			return
		case <-timer.C:
		}
		next, err := d.checkMemory(program)
		if err != nil {
			d.log.Warn("the program's pages stay in memory", "reason", err)
			return
		}
		timer.Reset(next)
	}
}

// checkMemory gives the program's pages back if the process holds too much memory. It returns when to check again.
func (d *daemon) checkMemory(program *residentmemory.Program) (next time.Duration, err error) {
	limit := d.limits.MemoryMB * bytesPerMB
	usage, err := residentmemory.Read()
	switch {
	case err != nil:
		return 0, err
	case float64(usage.Resident) < limit*calmFraction:
		return calmCheckInterval, nil
	case float64(usage.Resident) <= limit*releaseFraction:
		return memoryCheckInterval, nil
	}
	return memoryCheckInterval, program.Release()
}
