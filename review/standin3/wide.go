package main

import (
	"strings"
	"time"
)

func init() { cases["wide"] = playWide }

const (
	// wideTasks is the number of tasks of the large job, part that of each of the jobs without the disruption.
	wideTasks, part = 4500, 500
	// specBytes is the longest spec that a client may send.
	specBytes = 4000
)

// playWide submits one job of many small tasks with the longest spec. Without the disruption the same tasks come as several jobs, one after
// the other.
func playWide(p *play) (int, error) {
	if err := p.boot(3, 3, p.reportQueue(), p.lookupQueue()); err != nil {
		return unable, err
	}
	if !p.serves() {
		return unable, nil
	}
	report := func(tasks int) *job {
		return &job{ID: newID(), Spec: strings.Repeat("s", specBytes), queue: p.reportQueue(),
			Steps: []step{{Count: tasks, CPU: 5, MemMB: 1, EstMs: 1000, work: time.Second}}}
	}
	sizes := []int{wideTasks}
	if !p.trouble {
		sizes = nil
		for range wideTasks / part {
			sizes = append(sizes, part)
		}
	}
	var jobs []*job
	for _, n := range sizes {
		j := report(n)
		if !p.clients.submit(p.entries, j) {
			p.rec.note("the job was not accepted")
			return unable, nil
		}
		if !p.trouble {
			p.clients.awaitEnd(p.entries, j, 6*time.Second)
		}
		jobs = append(jobs, j)
	}
	if p.trouble {
		// What the workers could do meanwhile: they run all the tasks of the job in a second.
		time.Sleep(10 * time.Second)
	}
	return p.checkIdle(jobs), nil
}
