package main

import "time"

func init() { cases["probe"] = playProbe }

const (
	// failingJobs is the number of jobs that can never be done, failingTasks the number of their tasks, which is the width of the site's widest jobs
	// of this kind, and failsAfter how long a run takes until it fails.
	failingJobs, failingTasks = 2, 36
	failsAfter                = 300 * time.Millisecond
	// longTasks is the number of tasks of the long job, some more than there are workers, and longWork how long they take. The settled tasks of the
	// job are those that have begun when none has for settleAfter, at most settleWithin after its acceptance.
	longTasks                 = 16
	longWork                  = 80 * time.Second
	settleAfter, settleWithin = 8 * time.Second, 30 * time.Second
	soundLookups              = 5
)

// playProbe submits two jobs whose tasks always fail, a sound job of long tasks, and then sound jobs of the first priority. Without the
// disruption the failing jobs are left out.
func playProbe(p *play) (int, error) {
	if err := p.boot(3, 11, p.reportQueue(), p.lookupQueue()); err != nil {
		return unable, err
	}
	if !p.serves() {
		return unable, nil
	}
	if p.trouble {
		for i := range failingJobs {
			p.clients.submitOnce(p.entries[i], &job{ID: newID(), Spec: "lookup", queue: p.lookupQueue(),
				Steps: []step{{Count: failingTasks, CPU: 240, MemMB: 480, EstMs: 640, work: failsAfter, fails: true}}})
		}
		time.Sleep(time.Second)
	}
	long := &job{ID: newID(), Spec: "report", queue: p.reportQueue(), Steps: []step{{Count: longTasks, CPU: 1800, MemMB: 3200, EstMs: 80_000, work: longWork}}}
	if !p.clients.submit(p.entries, long) {
		return unable, nil
	}
	accepted, changed, starts := time.Now(), time.Now(), 0
	for time.Since(accepted) < settleWithin && (starts == 0 || time.Since(changed) < settleAfter) {
		time.Sleep(100 * time.Millisecond)
		if n, _, _, _ := p.rec.runsOf(long.ID); n != starts {
			starts, changed = n, time.Now()
		}
	}
	p.rec.note("the long job has begun %d of its %d tasks on %d workers", starts, longTasks, len(p.sides))
	var jobs []*job
	for range soundLookups {
		if j := p.lookup(); p.clients.submit(p.entries, j) {
			jobs = append(jobs, j)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(jobs) == 0 {
		p.rec.note("no sound job was accepted")
		return unable, nil
	}
	return p.checkIdle(jobs), nil
}
