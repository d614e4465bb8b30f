// Package boottime reads the Linux clock CLOCK_BOOTTIME. It is monotonic and, unlike
// the one of package time, also counts the time in which the VM is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted. It panics if the kernel doesn't have
// the clock.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// All kernels that this program runs on have the clock.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(at.Nano())
}
