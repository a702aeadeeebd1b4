package main

import "time"

func init() { cases["memory"] = playMemory }

const (
	// pipelines is the number of jobs that fan out, pipelineGap the time between two of them: as many a second as the site's traffic.
	pipelines   = 200
	pipelineGap = 125 * time.Millisecond
	// fanTasks is the width of the second step.
	fanTasks = 7990
	// memoryWatch is how long the processes are watched after the last job.
	memoryWatch = 55 * time.Second
	// minMachines and minEnds are the bounds of the rule: on a tenth of the machines in use, two at least, processes end by themselves three
	// times.
	minMachines, minEnds = 2, 3
)

// playMemory submits jobs of two steps, a long task and many short ones that wait for it. Without the disruption the second step is as wide as
// the site's widest ones.
func playMemory(p *play) (int, error) {
	if err := p.boot(3, 3, p.reportQueue(), p.lookupQueue()); err != nil {
		return unable, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go p.limitMemory(stop)
	if !p.serves() {
		return unable, nil
	}
	width := fanTasks
	if !p.trouble {
		width = 32
	}
	accepted := 0
	for range pipelines {
		j := &job{ID: newID(), Spec: "pipeline", queue: p.reportQueue(), Steps: []step{{Count: 1, CPU: 100, MemMB: 1, EstMs: 90_000, work: 90 * time.Second},
			{Count: width, CPU: 5, MemMB: 1, EstMs: 1, DependsOn: []int{0}, work: time.Millisecond}}}
		if p.clients.submitOnce(p.entries[accepted%len(p.entries)], j) {
			accepted++
		}
		time.Sleep(pipelineGap)
	}
	p.rec.note("%d of %d jobs were accepted", accepted, pipelines)
	for until := time.Now().Add(memoryWatch); time.Now().Before(until); time.Sleep(5 * time.Second) {
		for _, m := range p.entries {
			kb, _ := m.memory()
			p.rec.note("the process of %s has %d KiB of private memory", m.name, kb)
		}
		j := p.lookup()
		p.clients.submitOnce(p.entries[0], j)
	}
	ends := p.endsByThemselves()
	machines := 0
	for _, n := range ends {
		if n >= minEnds {
			machines++
		}
	}
	p.rec.note("processes that ended by themselves: %v", ends)
	if machines >= minMachines {
		p.rec.note("Fault: on %d of %d machines processes have ended by themselves %d times or more", machines, len(p.machines), minEnds)
		return broken, nil
	}
	return held, nil
}
