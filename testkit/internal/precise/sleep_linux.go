package precise

import (
	"syscall"
	"time"
)

// timerSlack is the margin for late Go timers in an idle process: the network poller rounds waits to whole milliseconds.
const timerSlack = 1200 * time.Microsecond

// block blocks the thread for d. Callers wait at most timerSlack, since the wait cannot be interrupted.
func block(d time.Duration) {
	ts := syscall.NsecToTimespec(int64(d))
	_ = syscall.Nanosleep(&ts, nil)
}
