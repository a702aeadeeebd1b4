//go:build !linux

package faultproxy

import "time"

const timerSlack = 0

func preciseSleep(d time.Duration) { time.Sleep(d) }
