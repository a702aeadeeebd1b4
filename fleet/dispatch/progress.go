package dispatch

import (
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// progress returns the stored form of the job. Finished and suspended occurrences of a windowed job are stored as ranges, those of others
// are named.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state}
	if !j.state.Final() && j.started {
		p.State = work.Running
	}
	if j.windowed && !j.state.Final() {
		p.Closed, p.Suspended = j.closedOccurrences()
	}
	refs := map[string]int{}
	for _, st := range j.stages {
		sp := work.StageProgress{Occurrence: st.occurrence, Step: st.index}
		if !j.state.Final() && st.done > 0 {
			sp.Done = make([]byte, (len(st.tasks)+7)/8)
		}
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.phase == done {
				if sp.Done != nil {
					sp.Done[i/8] |= 1 << (i % 8)
				}
				if t.worker == nil {
					continue
				}
			}
			if t.worker == nil && (t.run == 0 || j.state.Final()) {
				continue
			}
			tp := work.TaskProgress{Index: i, Run: t.run}
			if !j.state.Final() {
				tp.Failed = t.failed
			}
			if t.worker != nil {
				if refs[t.worker.instance] == 0 {
					p.Workers = append(p.Workers, t.worker.instance)
					refs[t.worker.instance] = len(p.Workers)
				}
				tp.Worker = refs[t.worker.instance]
			}
			sp.Tasks = append(sp.Tasks, tp)
		}
		if sp.Done != nil || len(sp.Tasks) > 0 {
			p.Stages = append(p.Stages, sp)
		}
	}
	return p
}
