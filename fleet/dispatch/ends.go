package dispatch

import (
	"fmt"
	"slices"
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// takeEnds takes note of ends in their order.
func (s *State) takeEnds(w *worker, ends []link.End) {
	for _, e := range ends {
		if e.Number <= w.seenEnd {
			continue
		}
		w.seenEnd = e.Number
		s.forgets[w.instance] = true
		if t := s.find(e.Task); t != nil {
			s.takeEnd(w, t, e)
		}
	}
}

func (s *State) takeEnd(w *worker, t *task, e link.End) {
	current := t.on == w && t.run == e.Run
	if current {
		s.noteTask(NoteEnd, t, string(e.How))
	}
	if e.How == link.Done && t.phase != done && !t.stage.step.Lasting {
		// Also the end of an earlier run counts: it was the first to finish.
		s.taskDone(w, t, e.Run, current)
		return
	}
	if !current {
		if e.How == link.Failed {
			s.countFailure(w, t, e.Run)
		}
		return
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if e.How == link.Failed {
		s.taskFailed(w, t)
		return
	}
	s.ended(t)
}

// taskDone notes that a task is done. A member of a gang stands for all of them.
func (s *State) taskDone(w *worker, t *task, run int, current bool) {
	st := t.stage
	if current {
		w.health.succeeded(s.now.BootMs, t)
	}
	members := []*task{t}
	if st.step.Gang {
		members = members[:0]
		for i := range st.tasks {
			members = append(members, &st.tasks[i])
		}
	}
	for _, m := range members {
		if m.phase == done {
			continue
		}
		if m.on == nil {
			st.idle--
		}
		m.phase = done
		st.done++
		if m == t && current || st.step.Gang && m.on != nil && m.run == run {
			s.release(m)
		} else {
			s.stop(m, "an earlier run was done first")
		}
	}
	s.touch(st.job)
	s.placePending = true
	s.settle(st.job)
}

// taskFailed notes that the current run of a task has failed.
func (s *State) taskFailed(w *worker, t *task) {
	w.health.failed(s.now.BootMs, t)
	t.avoid = w.instance
	s.ended(t)
	s.countFailure(w, t, t.run)
}

// countFailure counts a failed run once, also one that was given up before its end was seen. A gang fails as a whole.
func (s *State) countFailure(w *worker, t *task, run int) {
	st := t.stage
	if t.phase == done || st.job.state.Final() || slices.Contains(t.failed, run) {
		return
	}
	t.failed = append(t.failed, run)
	s.touch(st.job)
	fails := len(t.failed)
	if st.step.Gang {
		runs := map[int]bool{}
		for i := range st.tasks {
			for _, r := range st.tasks[i].failed {
				runs[r] = true
			}
		}
		fails = len(runs)
	}
	if !st.step.Lasting && fails >= s.queue(st.job).Attempts {
		s.finish(st.job, work.Failed, fmt.Sprintf("task %s failed in runs %v, last on %s", t.name(), t.failed, w.instance))
	}
}

// ended notes that the task's run has ended without being done. Members of a gang work only together, so the others are
// stopped too.
func (s *State) ended(t *task) {
	s.release(t)
	st := t.stage
	if st.step.Gang && t.phase != done {
		for i := range st.tasks {
			s.stop(&st.tasks[i], "another member of the gang ended")
		}
	}
	s.settle(st.job)
}

// takeRefusals notes starts that the worker refused.
func (s *State) takeRefusals(w *worker, refusals []link.Refusal) {
	for _, r := range refusals {
		t := s.find(r.Task)
		if t == nil || t.on != w || t.run != r.Run || t.phase == running {
			continue
		}
		s.noteTask(NoteRefused, t, r.Reason)
		switch r.Reason {
		case link.ReasonUnhealthy:
			w.health.refused(s.now.BootMs)
		case link.ReasonRoom:
			w.health.full(s.now.BootMs)
		case link.ReasonTicket:
			delete(t.stage.tickets, w.instance)
		case link.ReasonOld:
			// The run was at work here already; the lists tell how it ended.
			continue
		}
		t.avoid = w.instance
		s.ended(t)
	}
}

// takeRuns compares what is at work with what should be.
func (s *State) takeRuns(w *worker, r *link.Report) {
	w.listed = true
	clear(w.strangers)
	seen := make(map[*task]struct{}, len(r.Runs))
	for _, run := range r.Runs {
		t := s.find(run.Task)
		if t == nil || t.on != w || t.run != run.Run {
			w.strangers[run.Task] = run.Run
			continue
		}
		seen[t] = struct{}{}
		s.seeRun(t, run)
	}
	for _, t := range w.sorted() {
		if _, ok := seen[t]; ok || !t.recorded || t.orderNumber > r.OrdersDone {
			continue
		}
		s.noteTask(NoteRequeued, t, "its worker does not list it")
		t.avoid = w.instance
		s.ended(t)
	}
	s.stopStrangers(w)
	s.judgePace(w)
}

// seeRun notes how far a run is.
func (s *State) seeRun(t *task, r link.Run) {
	if t.phase == starting {
		t.phase = running
		t.startedMs, t.movedMs, t.percent = s.now.BootMs, s.now.BootMs, r.Percent
	}
	if r.Percent != t.percent {
		t.percent, t.movedMs = r.Percent, s.now.BootMs
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		// On record it outlives this decider and the worker together.
		t.checkpoint = r.Checkpoint
		s.touch(t.stage.job)
	}
	t.load = r.Load
}

// stopStrangers stops runs at work that belong to no task: those of jobs that are over and those given up.
func (s *State) stopStrangers(w *worker) {
	if len(w.strangers) == 0 || !w.connected {
		return
	}
	var stops []link.Stop
	for name, run := range w.strangers {
		stops = append(stops, link.Stop{Task: name, Run: run})
		s.note(Note{Kind: NoteStop, Task: name, Run: run, Instance: w.instance, Reason: "it belongs to no task"})
	}
	sort.Slice(stops, func(i, k int) bool { return stops[i].Task < stops[k].Task })
	s.send(w, link.Orders{Stops: stops})
}
