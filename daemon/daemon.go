// Package daemon holds the common parts of the main functions of all processes: signals, start-up output and exit codes.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Exit codes.
const (
	// ExitFailed means that the process failed while it ran.
	ExitFailed = 1
	// ExitInvalid means that arguments or settings are invalid.
	ExitInvalid = 2
)

// Context returns a context that is cancelled by SIGTERM or SIGINT.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// PrintListening prints the bound address of a listener, for launchers that let the kernel choose ports.
func PrintListening(name, address string) {
	fmt.Printf("listening name=%s address=%s\n", name, address)
}

// PrintReady prints the line that says that all listeners are bound.
func PrintReady() { fmt.Println("ready") }

// Exit prints the error and exits the process with the code of its kind. It does nothing if err is nil.
func Exit(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errdefs.KindOf(err) == errdefs.Invalid {
		os.Exit(ExitInvalid)
	}
	os.Exit(ExitFailed)
}
