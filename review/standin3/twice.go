package main

import (
	"fmt"
	"time"
)

func init() { cases["twice"] = playTwice }

const (
	// heldFor is how long the orders to one worker get no answer, downFor how long its process is away after that, lateAfter how soon after its
	// next start the held orders are carried out, and firstBeat when its first heartbeat comes.
	heldFor, downFor     = 2500 * time.Millisecond, 2500 * time.Millisecond
	lateAfter, firstBeat = 100 * time.Millisecond, 400 * time.Millisecond
	// twiceWork is how long the tasks take, twiceTasks how many there are for three workers.
	twiceWork, twiceTasks = 9 * time.Second, 6
)

// playTwice lets one of three workers leave its starts unanswered, crash and start again under its id, and carry the starts out late. Without the
// disruption it answers them, and does not crash.
func playTwice(p *play) (int, error) {
	if err := p.boot(3, 3, p.reportQueue(), p.lookupQueue()); err != nil {
		return unable, err
	}
	if !p.serves() {
		return unable, nil
	}
	m := p.sides[0]
	first := m.worker
	if p.trouble {
		first.hold(true)
	}
	j := &job{ID: newID(), Spec: "report", queue: p.reportQueue(), Steps: []step{{Count: twiceTasks, CPU: 1800, MemMB: 3200, EstMs: 9000, work: twiceWork}}}
	if !p.clients.submit(p.entries, j) {
		return unable, nil
	}
	if p.trouble {
		time.Sleep(heldFor)
		first.hold(false)
		held := first.heldCalls()
		first.close()
		p.rec.note("%s crashes; %d calls to start a run were not answered", first.id, len(held))
		if len(held) == 0 {
			return unable, nil
		}
		time.Sleep(downFor)
		next := &worker{id: first.id, service: first.service, addr: first.addr, control: first.control, zone: first.zone, labels: first.labels, cpu: first.cpu,
			memMB: first.memMB, rec: first.rec, step: first.step, beatAfter: firstBeat}
		if err := next.start(); err != nil {
			return unable, err
		}
		m.worker = next
		p.rec.note("%s starts again under its id", next.id)
		time.Sleep(lateAfter)
		for _, c := range held {
			p.rec.note("the start of %s run %d, sent %s before, is carried out", c.Task, c.Run, time.Since(c.sent).Round(time.Millisecond))
			next.carryOut(c)
		}
	}
	state := p.clients.awaitEnd(p.entries, j, 40*time.Second)
	p.rec.note("job %s is shown as %q", j.ID, state)
	if both := p.rec.runsAtOnce(); len(both) > 0 {
		for _, line := range both {
			p.rec.note("TWICE: %s", line)
		}
		return broken, nil
	}
	return held, nil
}

// runsAtOnce returns the pairs of runs of one task that worked at the same time.
func (r *record) runsAtOnce() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for i, a := range r.spans {
		for _, b := range r.spans[:i] {
			if a.task == b.task && a.began.Before(b.endOr(time.Now())) && b.began.Before(a.endOr(time.Now())) {
				lines = append(lines, fmt.Sprintf("%s run %d on %s and run %d on %s work at the same time, from %.3f s on", a.task, b.run, b.worker, a.run, a.worker, a.began.Sub(r.began).Seconds()))
			}
		}
	}
	return lines
}
