package raftgroup

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started. It keeps counting while the machine sleeps, and it cannot be set.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has CLOCK_BOOTTIME since 2.6.39
	}
	return time.Duration(t.Nano())
}
