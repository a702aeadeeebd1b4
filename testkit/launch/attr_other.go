//go:build !linux

package launch

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }
