// Command review-2 plays the scripted cases of the second review. It starts the project's own programs as separate processes
// on loopback addresses, with stand-ins of the platform's store, of workers and of clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// playLimit bounds a play. The script may last 120 s.
const playLimit = 115 * time.Second

// cases maps the name of a case to the function that plays it. It returns what broke the rule; empty if the rule held.
var cases = map[string]func(*world, bool) (string, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*world, bool) (string, error), program, recordPath string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	select {
	case sig := <-stopped:
		w.rec("could not be played: %v", sig)
		return 2
	case r := <-done:
		switch {
		case r.err != nil:
			w.rec("could not be played: %v", r.err)
			return 2
		case r.broken != "":
			w.rec("BROKEN: %s", r.broken)
			return 1
		}
		w.rec("the rule held")
		return 0
	case <-time.After(playLimit):
		w.rec("could not be played: not finished after %v", playLimit)
		return 2
	}
}
