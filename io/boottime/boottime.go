// Package boottime reads the clock that goes on while the machine is
// suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every kernel that this program runs on has the clock.
		panic("the boot-time clock can't be read: " + err.Error())
	}
	return time.Duration(at.Nano())
}
