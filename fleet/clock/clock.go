// Package clock reads the clocks that leases are measured by, and waits.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// start backs up BootMs where the kernel has no such clock.
var start = time.Now()

// BootMs returns a steady clock in milliseconds that counts the time for which the machine was suspended. Go's own steady
// clock does not, so a lease measured by it would outlast a suspension.
func BootMs() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start).Milliseconds()
	}
	return ts.Nano() / int64(time.Millisecond)
}

// WallMs returns the time of day in Unix milliseconds. It may jump.
func WallMs() int64 { return time.Now().UnixMilli() }

// Sleep waits for a while or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
