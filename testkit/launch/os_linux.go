package launch

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// processAttributes makes the kernel kill the child when the launcher's process dies, for example on a test time-out.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// isStopped reports whether all threads of the process are stopped. A process that ended has no threads to run.
func isStopped(pid int) bool {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid)) // the pattern is valid
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil { // the thread ended
			continue
		}
		// The state follows the command name in parentheses, which may contain any character.
		state := bytes.TrimSpace(stat[bytes.LastIndexByte(stat, ')')+1:])
		if !bytes.ContainsAny(state[:1], "TZX") {
			return false
		}
	}
	return true
}
