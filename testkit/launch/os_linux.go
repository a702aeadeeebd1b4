package launch

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// processAttributes makes the kernel kill the child when the calling process exits, for example on a test timeout.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// isStopped reports whether all threads of the process are stopped. It is true for a process that has exited.
func isStopped(pid int) bool {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid)) // the pattern is valid
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil { // the thread has exited
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
