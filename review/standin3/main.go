// Command review-standin-3 plays one case of the third review: it starts the system's processes with the commands of the deploy file, stands in for
// the platform, the workers and the clients, and checks one rule by what these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held, broken, unable = 0, 1, 2
)

// maxRun ends a case that takes too long.
const maxRun = 115 * time.Second

// play is one run of a case.
type play struct {
	*deployment
	clients *clients
	trouble bool
	entries []*machine
	sides   []*machine
}

var cases = map[string]func(*play) (int, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	logs := flag.String("logs", "", "folder in which the logs of the processes are kept; a temporary one by default")
	flag.Parse()
	os.Exit(playCase(*name, *dir, *logs))
}

// playCase plays a case and returns the exit status.
func playCase(name, dir, logs string) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	work := logs
	if work == "" {
		if work, err = os.MkdirTemp("", "review-standin-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return unable
		}
		defer os.RemoveAll(work)
	}
	d, err := newDeployment(work, rec)
	if err != nil {
		rec.note("cannot run: %v", err)
		return unable
	}
	defer d.close()
	f := cases[name]
	if f == nil {
		rec.note("there is no case %q", name)
		return unable
	}
	p := &play{deployment: d, clients: newClients(d), trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		status int
		err    error
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan result, 1)
	go func() {
		status, err := f(p)
		done <- result{status, err}
	}()
	r := result{unable, fmt.Errorf("it took longer than %s", maxRun)}
	select {
	case r = <-done:
	case <-time.After(maxRun):
	case sig := <-signals:
		r.err = fmt.Errorf("it was ended by the signal %s", sig)
	}
	if r.err != nil {
		rec.note("cannot run: %v", r.err)
		return unable
	}
	rec.note("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", unable: "the case could not run"}[r.status])
	return r.status
}

// boot starts entries and side processes with their workers, and waits until the entries are ready.
func (p *play) boot(entries, sides int, routes ...route) error {
	p.configure(routes...)
	for i := range entries {
		p.entries = append(p.entries, p.add("entry", i))
	}
	for i := range sides {
		p.sides = append(p.sides, p.add("side", i))
	}
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for i, m := range p.sides {
		w := &worker{id: "i-" + newID()[:10], service: p.service, addr: fmt.Sprintf("%s:%d", m.ip, portApp), control: fmt.Sprintf("%s:%d", m.ip, portControl), zone: m.zone,
			labels: []string{"a", fmt.Sprintf("r1-%d", i/3+1)}, cpu: 16000, memMB: 64000, rec: p.rec, step: p.clients.size}
		if err := w.start(); err != nil {
			return err
		}
		m.worker = w
	}
	if err := p.awaitReady(20 * time.Second); err != nil {
		return err
	}
	p.rec.note("%d entries and %d side processes with a worker each run", entries, sides)
	return nil
}
