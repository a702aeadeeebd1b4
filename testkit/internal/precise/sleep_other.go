//go:build !linux

package precise

import "time"

const timerSlack = 0

func block(d time.Duration) { time.Sleep(d) }
