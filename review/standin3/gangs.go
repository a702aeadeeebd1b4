package main

import "time"

func init() { cases["gangs"] = playGangs }

const (
	// gangs is the number of gang jobs that need more than all workers have, gangTasks and gangCPU what each of them asks for.
	gangs, gangTasks, gangCPU = 30, 7990, 7
	lookups                   = 5
)

// playGangs submits gang jobs that can never be placed, and small jobs of the first priority after them. Without the disruption only the
// small jobs come.
func playGangs(p *play) (int, error) {
	if err := p.boot(3, 3, p.reportQueue(), p.lookupQueue()); err != nil {
		return unable, err
	}
	if !p.serves() {
		return unable, nil
	}
	if p.trouble {
		for range gangs {
			j := &job{ID: newID(), Spec: "gang", queue: p.reportQueue(), Steps: []step{
				{Count: gangTasks, CPU: gangCPU, MemMB: 1, EstMs: 10, Gang: true, AntiAffinity: gangTasks, work: 10 * time.Millisecond},
				{Count: 1, CPU: gangCPU, MemMB: 1, EstMs: 100_000, DependsOn: []int{0}, work: 100 * time.Second}}}
			if !p.clients.submit(p.entries, j) {
				return unable, nil
			}
		}
		time.Sleep(5 * time.Second)
	}
	var jobs []*job
	for range lookups {
		if j := p.lookup(); p.clients.submit(p.entries, j) {
			jobs = append(jobs, j)
		}
		time.Sleep(time.Second)
	}
	if len(jobs) == 0 {
		p.rec.note("no small job was accepted")
		return unable, nil
	}
	return p.checkIdle(jobs), nil
}
