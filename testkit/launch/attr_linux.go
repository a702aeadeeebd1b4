package launch

import "syscall"

// processAttributes makes the kernel kill the child when the launcher's process dies, for example on a test time-out.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
