package main

import "time"

// Queues of the cases, as on the site hartwell-keel.
func (p *play) lookupQueue() route {
	return route{Name: "r-lookup", Host: "b.example", PathPrefix: "/lookup/", Kind: "unsafe", TimeoutMs: 3000, TargetMs: 250, Priority: 0, Service: p.service, Attempts: 2, Stretch: 1.5}
}

func (p *play) reportQueue() route {
	return route{Name: "r-report", Host: "a.example", PathPrefix: "/report/", Kind: "unsafe", TimeoutMs: 3000, TargetMs: 1000, Priority: 2, Service: p.service, Attempts: 3, Stretch: 2}
}

// lookup returns an ordinary job of the first queue, of two steps.
func (p *play) lookup() *job {
	s := step{Count: 6, CPU: 240, MemMB: 480, EstMs: 640, work: 640 * time.Millisecond}
	second := s
	second.DependsOn = []int{0}
	return &job{ID: newID(), Spec: "lookup", queue: p.lookupQueue(), Steps: []step{s, second}}
}

// serves reports whether the deployment carries out an ordinary job.
func (p *play) serves() bool {
	j := p.lookup()
	if p.clients.submit(p.entries, j) && p.clients.awaitEnd(p.entries, j, 15*time.Second) == "completed" {
		return true
	}
	p.rec.note("the deployment does not serve")
	return false
}

const (
	// finish and idle are bounds of the rule LOST: the time after the end of the traffic from which jobs are asked for, and how long a job
	// may have nothing running while there is capacity for it twice over.
	finish, idle = 14 * time.Second, 3 * time.Second
	// checkFor is how long the workers are watched after finish.
	checkFor = 6 * time.Second
)

// checkIdle waits for the bound on the end of the traffic and then checks the rule LOST: no accepted job may have nothing running for longer
// than its bound while less than half of the workers' capacity is in use. The tasks of all jobs of the cases are small beside a worker.
func (p *play) checkIdle(jobs []*job) int {
	time.Sleep(finish)
	from := time.Now()
	var busiest, all int64
	for time.Since(from) < checkFor {
		var used int64
		all = 0
		for _, m := range p.sides {
			cpu, _ := m.worker.used()
			used, all = used+cpu, all+m.worker.cpu
		}
		busiest = max(busiest, used)
		time.Sleep(20 * time.Millisecond)
	}
	result := held
	p.rec.note("the workers used at most %d of %d mCPU in the last %s", busiest, all, checkFor)
	for _, j := range jobs {
		state := p.clients.state(p.entries, j)
		starts, ends, done, last := p.rec.runsOf(j.ID)
		p.rec.note("job %s of %d tasks is shown as %q; %d runs have begun, %d tasks are done; ends: %s", j.ID, j.tasks(), state, starts, done, ends)
		if state != "completed" && done < j.tasks() && 2*busiest < all && last.Before(from) {
			p.rec.note("LOST: job %s has had nothing running for %s, its turn has come and there is capacity for it", j.ID, checkFor)
			result = broken
		}
	}
	return result
}

func (j *job) tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}
