package raftgroup

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the time since the machine started. It goes on while the machine sleeps, and no one sets it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had it since 2.6.39
	}
	return time.Duration(t.Nano())
}
