//go:build !linux

package launch

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }

// isStopped cannot be determined here, so a process may still run for a moment after Pause.
func isStopped(int) bool { return true }
