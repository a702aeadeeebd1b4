//go:build !linux

package launch

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }

// isStopped always returns true, as this system offers no portable way to find out; after Pause a process may still run
// for a moment.
func isStopped(int) bool { return true }
