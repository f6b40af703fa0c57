package boot

import "golang.org/x/sys/unix"

// suspended compares the clock that counts suspension with the one that doesn't. The former
// is read first: what passes between the two then makes the difference smaller, and no pause
// of the process looks like a suspension.
func suspended() int64 {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0 // a kernel without these clocks doesn't suspend
	}
	return boot.Nano() - steady.Nano()
}
