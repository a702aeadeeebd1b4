package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel"] = playCancel }

const (
	// cancelJobs is the number of jobs that run when they are cancelled, cancelTasks the number of their tasks, and cancelCPU what each asks for.
	cancelJobs, cancelTasks, cancelCPU = 100, 36, 12
	// cancelBound and stopBound are bounds of the rule: a task of a cancelled job may run until both have passed since the acknowledgement.
	cancelBound, stopBound = 3 * time.Second, 200 * time.Millisecond
	// cancelClients is the number of clients that cancel at once.
	cancelClients = 100
)

// playCancel lets many jobs run and cancels them all at once. Without the disruption a few of them are cancelled, one a second.
func playCancel(p *play) (int, error) {
	if err := p.boot(3, 3, p.reportQueue(), p.lookupQueue()); err != nil {
		return unable, err
	}
	if !p.serves() {
		return unable, nil
	}
	var jobs []*job
	for i := range cancelJobs {
		j := &job{ID: newID(), Spec: "report", queue: p.reportQueue(), Steps: []step{{Count: cancelTasks, CPU: cancelCPU, MemMB: 8, EstMs: 80_000, work: 80 * time.Second}}}
		if !p.clients.submitOnce(p.entries[i%len(p.entries)], j) {
			return unable, nil
		}
		jobs = append(jobs, j)
	}
	running := func() int {
		n := 0
		for _, m := range p.sides {
			_, runs := m.worker.used()
			n += runs
		}
		return n
	}
	for until := time.Now().Add(20 * time.Second); running() < cancelJobs*cancelTasks && time.Now().Before(until); {
		time.Sleep(100 * time.Millisecond)
	}
	p.rec.note("%d of %d tasks run", running(), cancelJobs*cancelTasks)
	if running() < cancelJobs*cancelTasks*9/10 {
		return unable, nil
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	acked := map[string]time.Time{}
	cancel := func(i int) {
		j := jobs[i]
		status, state := p.clients.do(p.entries[i%len(p.entries)], http.MethodDelete, j.queue, j.ID, nil)
		p.rec.note("DELETE of job %s to %s: %d %s", j.ID, p.entries[i%len(p.entries)].name, status, state)
		if status/100 == 2 {
			mu.Lock()
			acked[j.ID] = time.Now()
			mu.Unlock()
		}
	}
	if p.trouble {
		next := make(chan int)
		var wg sync.WaitGroup
		for range cancelClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range next {
					cancel(i)
				}
			}()
		}
		for i := range jobs {
			next <- i
		}
		close(next)
		wg.Wait()
	} else {
		for i := range 5 {
			cancel(i)
			time.Sleep(time.Second)
		}
	}
	return p.checkCancelled(acked), nil
}

// checkCancelled checks the rule UNASKED: no task of a cancelled job runs after its bounds.
func (p *play) checkCancelled(acked map[string]time.Time) int {
	late := map[string]int{}
	last := time.Duration(0)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, m := range p.sides {
			for _, task := range m.worker.tasks() {
				job, _, _ := parseTask(task)
				at, ok := acked[job]
				if since := time.Since(at); ok && since > cancelBound+stopBound {
					late[task]++
					last = max(last, since)
				}
			}
		}
	}
	p.rec.note("%d jobs were cancelled", len(acked))
	if len(late) > 0 {
		p.rec.note("UNASKED: %d tasks ran on for more than %s after the cancelling of their jobs was acknowledged, the last one for %s", len(late), cancelBound+stopBound, last.Round(time.Millisecond))
		return broken
	}
	p.rec.note("no task of a cancelled job ran on for longer than %s", cancelBound+stopBound)
	return held
}
