package quotasync

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the start of the machine. It counts the time in which
// the machine was suspended, so that leases end in that time as well.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // All supported kernels have the clock.
	}
	return time.Duration(t.Nano())
}
