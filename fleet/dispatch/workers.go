package dispatch

import (
	"fmt"
	"slices"
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// repeatStopMs is the time after which a stop that had no effect is ordered again.
	repeatStopMs = 1500
	// silentMs is the silence of a worker after which it gets no new work. It answers within half a second at all other
	// times, because its side process asks it to wait no longer than that.
	silentMs = 1200
	// drainingLeastMs is the time that a draining worker must have left for a short task to stay on it.
	drainingLeastMs = 500
)

// worker is the worker of one instance.
type worker struct {
	instance string
	// info is what it last said of itself; nil until its side process reported.
	info *link.Worker
	rack string
	// connected is true while the side process is connected, listed once the lists of this life were seen since.
	connected, listed, leaving bool
	// silentMs is for how long the worker had not answered its side process at the last report.
	silentMs int64
	// lives counts connections to the side process and lives of the worker under this decider.
	lives int
	// orders counts messages with orders on this connection.
	orders uint64
	// seenEnd is the highest end that was taken note of, forget the one that the worker may forget.
	seenEnd, forget int64
	// heardMs is when the last report came, goneByMs when everything on it has ended unless it is renewed.
	heardMs, goneByMs int64
	// grantedMs is when the lease ends that the newest answer may have renewed.
	grantedMs int64
	// ordersDone is the highest number of orders up to which the side process has answered all.
	ordersDone uint64
	// reported is true if the side process knew its worker in the last report.
	reported bool
	// answered is the newest report on this connection whose answer renewed the lease.
	answered int64
	// tasks holds the tasks whose run may be at work here.
	tasks map[*task]struct{}
	// strangers holds runs at work that belong to no task.
	strangers map[string]int
	// cpu, mem and gpu are committed; fillCPU is the demand of fillers, which is not.
	cpu, mem, gpu, fillCPU int64
	// serving counts tasks with a target for their response times, servingCPU is what is committed for them.
	serving    int
	servingCPU int64
	health     health
}

// worker returns the worker of an instance, which it makes if needed. An unknown one may have been told to work by the
// decider before until its grants end.
func (s *State) worker(instance string) *worker {
	if w := s.workers[instance]; w != nil {
		return w
	}
	w := &worker{instance: instance, tasks: map[*task]struct{}{}, strangers: map[string]int{}, heardMs: s.now.BootMs}
	lease := s.bounds.Lease
	w.goneByMs = s.claimedMs + (s.bounds.Lead + lease + bounds.ClockSlack(lease)).Milliseconds()
	s.workers[instance] = w
	s.order = append(s.order, w)
	sort.Slice(s.order, func(i, k int) bool { return s.order[i].instance < s.order[k].instance })
	return w
}

// commit counts a task's run as at work on the worker.
func (s *State) commit(t *task, w *worker) {
	t.on = w
	w.tasks[t] = struct{}{}
	t.stage.job.active++
	t.stage.idle--
	st := t.stage.step
	if st.Filler {
		w.fillCPU += st.CPU
	} else {
		w.cpu += st.CPU
	}
	w.mem += st.MemMB
	w.gpu += st.GPU
	if st.TargetMs > 0 {
		w.serving++
		w.servingCPU += st.CPU
	}
}

// release notes that the task's run has ended.
func (s *State) release(t *task) {
	w := t.on
	if w == nil {
		return
	}
	t.on = nil
	delete(w.tasks, t)
	w.health.released(t)
	t.stage.job.active--
	t.stage.job.activeMs = s.now.BootMs
	st := t.stage.step
	if st.Filler {
		w.fillCPU -= st.CPU
	} else {
		w.cpu -= st.CPU
	}
	w.mem -= st.MemMB
	w.gpu -= st.GPU
	if st.TargetMs > 0 {
		w.serving--
		w.servingCPU -= st.CPU
	}
	if t.phase != done {
		t.phase = waiting
		t.stage.idle++
	}
	t.orderNumber, t.recorded, t.startedMs, t.percent, t.load, t.stopSentMs = 0, false, 0, 0, 0, 0
	t.pace, t.pacedTo, t.narrow, t.overMs = fullPace, fullPace, 0, 0
	s.placePending = true
	s.touch(t.stage.job)
}

// SideConnected means that the side process of an instance took the decider's greeting.
type SideConnected struct{ Instance string }

func (e SideConnected) apply(s *State) {
	w := s.worker(e.Instance)
	w.connected, w.listed, w.orders, w.ordersDone, w.heardMs, w.answered = true, false, 0, 0, s.now.BootMs, 0
	for t := range w.tasks {
		t.orderNumber = 0
	}
	s.raiseFence(w)
}

// raiseFence makes the worker refuse orders that were sent before and are carried out late.
func (s *State) raiseFence(w *worker) {
	w.lives++
	s.out.Orders = append(s.out.Orders, SideOrders{w.instance, link.Orders{Fence: s.fence(w)}})
}

// SideLost means that the connection to a side process ended.
type SideLost struct{ Instance string }

func (e SideLost) apply(s *State) {
	w := s.worker(e.Instance)
	if w.connected {
		s.note(Note{Kind: NoteWorkerDown, Instance: w.instance, Reason: "the connection to its side process ended", AgeMs: s.now.BootMs - w.heardMs})
	}
	w.connected, w.listed = false, false
	// Unseen from here, the side process may use all that it was granted.
	w.goneByMs = max(w.goneByMs, w.grantedMs)
}

// Granted means that a report was answered, which renews the lease of the worker.
type Granted struct {
	Instance string
	// SentMs is that of the report.
	SentMs int64
}

func (e Granted) apply(s *State) {
	w := s.worker(e.Instance)
	lease := s.bounds.Lease
	w.answered = max(w.answered, e.SentMs)
	w.grantedMs = s.now.BootMs + (lease + bounds.ClockSlack(lease)).Milliseconds()
	if w.reported {
		w.goneByMs = max(w.goneByMs, w.grantedMs)
	}
}

// Reported is a report of a side process.
type Reported struct {
	Instance string
	Report   *link.Report
}

func (e Reported) apply(s *State) {
	w, r := s.worker(e.Instance), e.Report
	w.heardMs = s.now.BootMs
	w.reported = r.Worker != nil
	w.ordersDone = max(w.ordersDone, r.OrdersDone)
	if r.Answered >= w.answered {
		// Without an answer on its way the side process knows how long the lease can last.
		w.goneByMs = min(w.goneByMs, s.now.BootMs+r.LeaseLeftMs)
	}
	if r.Worker == nil {
		s.checkLease(w)
		return
	}
	if w.info == nil || w.info.Life != r.Worker.Life {
		s.newLife(w, r.Worker)
	}
	if w.info.Draining != r.Worker.Draining || w.leaving != r.Leaving {
		s.note(Note{Kind: NoteWorkerDown, Instance: w.instance,
			Reason: fmt.Sprintf("draining %t, leaving %t, %d ms left", r.Worker.Draining, r.Leaving, r.Worker.RemainingMs)})
	}
	w.info, w.leaving, w.silentMs = r.Worker, r.Leaving, r.SilentMs
	s.takeEnds(w, r.Ends)
	s.takeRefusals(w, r.Refusals)
	if r.Listed && r.Fence == s.fence(w) {
		s.takeRuns(w, r)
	}
	s.checkLease(w)
	s.leaveDraining(w)
	s.placePending = true
}

// newLife starts the account of a worker anew. Nothing of an earlier life is at work any more.
func (s *State) newLife(w *worker, info *link.Worker) {
	s.note(Note{Kind: NoteWorkerUp, Instance: w.instance,
		Reason: fmt.Sprintf("id %s, born %d, %d mCPU, %d MB, labels %v", info.Life.ID, info.Life.BornMs, info.CPU, info.MemMB, info.Labels)})
	if w.info != nil {
		for _, t := range w.sorted() {
			s.noteTask(NoteEnd, t, "its worker started anew")
			s.ended(t)
		}
	}
	s.raiseFence(w)
	w.info, w.listed, w.seenEnd, w.forget, w.silentMs = info, false, 0, 0, 0
	w.strangers = map[string]int{}
	w.health = health{}
	w.rack = rackOf(info.Labels)
}

// sorted returns the worker's tasks in the order of their names.
func (w *worker) sorted() []*task {
	list := make([]*task, 0, len(w.tasks))
	for t := range w.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, k int) bool { return less(list[i], list[k]) })
	return list
}

func less(a, b *task) bool {
	if a.stage.job != b.stage.job {
		return a.stage.job.def.ID < b.stage.job.def.ID
	}
	if a.stage != b.stage {
		return a.stage.occurrence < b.stage.occurrence || a.stage.occurrence == b.stage.occurrence && a.stage.index < b.stage.index
	}
	return a.index < b.index
}

// rackOf returns the label that names the rack: "r", a number, "-" and a number.
func rackOf(labels []string) string {
	for _, l := range labels {
		if len(l) > 1 && l[0] == 'r' && l[1] >= '0' && l[1] <= '9' {
			return l
		}
	}
	return ""
}

// find returns the task of a name.
func (s *State) find(name string) *task {
	n, ok := work.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := s.jobs[n.Job]
	if j == nil {
		return nil
	}
	st := j.stage(n.Occurrence, n.Step)
	if st == nil || n.Index >= len(st.tasks) {
		return nil
	}
	return &st.tasks[n.Index]
}

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

// stop orders the end of a task's run.
func (s *State) stop(t *task, reason string) {
	if t.on == nil || t.phase == stopping {
		return
	}
	if !t.recorded {
		// It was never ordered: Committed passes over it.
		s.release(t)
		return
	}
	s.noteTask(NoteStop, t, reason)
	if t.phase != done {
		t.phase = stopping
	}
	s.sendStop(t)
}

func (s *State) sendStop(t *task) {
	t.stopSentMs = s.now.BootMs
	if t.on.connected && t.on.info != nil {
		s.send(t.on, link.Orders{Stops: []link.Stop{{Task: t.name().String(), Run: t.run}}})
		t.orderNumber = t.on.orders
	}
}

// repeatStops orders stops again that had no effect, and stops of runs that were to end when their worker was away.
func (s *State) repeatStops(w *worker) {
	if !w.connected || w.info == nil {
		return
	}
	for _, t := range w.sorted() {
		over := t.phase == stopping || t.phase == done
		if over && s.now.BootMs-t.stopSentMs > repeatStopMs {
			s.sendStop(t)
		}
	}
}

// checkLease gives up what was at work on a worker whose lease has certainly ended.
func (s *State) checkLease(w *worker) {
	if s.now.BootMs < w.goneByMs {
		return
	}
	for _, t := range w.sorted() {
		if w.connected && w.listed && w.reported && w.silentMs < silentMs && t.phase != stopping {
			continue // it answers; its lists tell what has lapsed
		}
		if !t.recorded || w.connected && t.orderNumber > w.ordersDone {
			continue // not ordered yet, or the side process has still to answer the order
		}
		s.noteTask(NoteRequeued, t, "its lease has ended")
		s.ended(t)
	}
}

// leaveDraining moves work off a worker that ends soon.
func (s *State) leaveDraining(w *worker) {
	if !w.info.Draining {
		return
	}
	for _, t := range w.sorted() {
		if t.phase != running || s.now.BootMs-w.heardMs > silentMs {
			continue
		}
		left := est(t.stage.step) * int64(100-t.percent) / 100
		if t.stage.step.Lasting || left > max(w.info.RemainingMs, drainingLeastMs) {
			s.stop(t, fmt.Sprintf("its worker ends in %d ms", w.info.RemainingMs))
		}
	}
}
