package main

import "time"

func init() { cases["poison"] = playPoison }

const (
	// poisonJobs is the number of jobs that can never be done, poisonTasks the number of their tasks, which is the mean of the site's first kind
	// of request, and poisonWork how long a run takes until it fails.
	poisonJobs, poisonTasks = 60, 6
	poisonWork              = 300 * time.Millisecond
	reports                 = 4
)

// playPoison submits jobs of the first priority whose tasks always fail, and then sound jobs of the second queue. Without the disruption only the
// sound ones come.
func playPoison(p *play) (int, error) {
	if err := p.boot(3, 11, p.reportQueue(), p.lookupQueue()); err != nil {
		return unable, err
	}
	if !p.serves() {
		return unable, nil
	}
	if p.trouble {
		for i := range poisonJobs {
			p.clients.submitOnce(p.entries[i%len(p.entries)], &job{ID: newID(), Spec: "lookup", queue: p.lookupQueue(),
				Steps: []step{{Count: poisonTasks, CPU: 240, MemMB: 480, EstMs: 640, work: poisonWork, fails: true}}})
		}
		time.Sleep(time.Second)
	}
	var jobs []*job
	for range reports {
		j := &job{ID: newID(), Spec: "report", queue: p.reportQueue(), Steps: []step{{Count: 8, CPU: 1800, MemMB: 3200, EstMs: 2700, work: 2700 * time.Millisecond}}}
		if p.clients.submit(p.entries, j) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		p.rec.note("no sound job was accepted")
		return unable, nil
	}
	return p.checkIdle(jobs), nil
}
