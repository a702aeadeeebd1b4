// Package clock reads the boot-time and wall clocks and sleeps with a context.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the base of BootMs on kernels without CLOCK_BOOTTIME.
var processStart = time.Now()

// BootMs returns a monotonic clock in milliseconds that includes the time for which the machine was suspended. Go's own
// monotonic clock does not, so a lease measured by it would outlast a suspension.
func BootMs() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart).Milliseconds()
	}
	return ts.Nano() / int64(time.Millisecond)
}

// WallMs returns the wall clock in Unix milliseconds. It may jump.
func WallMs() int64 { return time.Now().UnixMilli() }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
