package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedSinceBoot returns for how long the machine has been suspended since its start: the time that the boot time clock
// counts and the monotonic clock leaves out.
func suspendedSinceBoot() time.Duration {
	var monotonic, sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil {
		return 0 // a kernel without the clock can't tell
	}
	return time.Duration(sinceBoot.Nano() - monotonic.Nano())
}
