// Command standin plays a case of the review: it starts the project's programs as separate processes, with stand-ins of the
// platform's store, of the workers and of the clients, brings the disruption of the case about, and checks the rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit bounds the time of a case.
const caseLimit = 110 * time.Second

// reviewCase is a case: what the deployment looks like and what is done to it.
type reviewCase struct {
	// labels holds the labels of each worker.
	labels [][]string
	// play plays the case and returns how the rule was broken; empty if it held.
	play func(d *deployment, trouble bool) ([]string, error)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %t", os.Args[1], trouble)
	broken, err := playCase(c, rec, trouble)
	code := 0
	for _, b := range broken {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
		code = 1
	}
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		code = 2
	}
	rec.printf("exit %d", code)
	fmt.Println("exit", code)
	rec.close()
	os.Exit(code)
}

// playCase plays a case and ends all processes that it started.
func playCase(c reviewCase, rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec, c.labels)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if err := d.awaitReady(); err != nil {
			done <- result{nil, err}
			return
		}
		broken, err := c.play(d, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		return r.broken, r.err
	case s := <-stop:
		return nil, fmt.Errorf("play the case: ended by %v", s)
	case <-time.After(caseLimit):
		return nil, fmt.Errorf("play the case: not over after %v", caseLimit)
	}
}
