package dispatch

import (
	"cmp"
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
	// tasks holds the tasks whose run may be at work here, in the order of their names.
	tasks []*task
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
	w := &worker{instance: instance, strangers: map[string]int{}, heardMs: s.now.BootMs}
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
	i, _ := slices.BinarySearchFunc(w.tasks, t, compare)
	w.tasks = slices.Insert(w.tasks, i, t)
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
	s.interference.meet(t, s.now.BootMs)
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
	if i, ok := slices.BinarySearchFunc(w.tasks, t, compare); ok {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
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
	t.pace, t.pacedTo, t.pacedMs, t.narrow, t.overMs = fullPace, fullPace, 0, 0, 0
	s.placePending = true
	s.touch(t.stage.job)
}

// SideConnected means that the side process of an instance took the decider's greeting.
type SideConnected struct{ Instance string }

func (e SideConnected) apply(s *State) {
	w := s.worker(e.Instance)
	w.connected, w.listed, w.orders, w.ordersDone, w.heardMs, w.answered = true, false, 0, 0, s.now.BootMs, 0
	for _, t := range w.tasks {
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
			if t.phase != running && t.recorded && (t.orderNumber == 0 || t.orderNumber > w.ordersDone) {
				// The order without an answer may be carried out by the new life, which has seen no fence. Its list under the
				// raised fence tells.
				t.orderNumber = 0
				continue
			}
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

// sorted returns a copy of the worker's tasks, so that they may be released meanwhile.
func (w *worker) sorted() []*task { return slices.Clone(w.tasks) }

// compare orders tasks by their names.
func compare(a, b *task) int {
	return cmp.Or(cmp.Compare(a.stage.job.def.ID, b.stage.job.def.ID), cmp.Compare(a.stage.occurrence, b.stage.occurrence),
		cmp.Compare(a.stage.index, b.stage.index), cmp.Compare(a.index, b.index))
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
