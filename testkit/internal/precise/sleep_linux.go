package precise

import (
	"syscall"
	"time"
)

// timerSlack covers the lateness of Go timers in an idle process: the poller rounds waits to whole milliseconds.
const timerSlack = 1200 * time.Microsecond

// block blocks the thread for at most timerSlack.
func block(d time.Duration) {
	ts := syscall.NsecToTimespec(int64(d))
	_ = syscall.Nanosleep(&ts, nil)
}
