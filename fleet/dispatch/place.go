package dispatch

import (
	"fmt"
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// fillerPaceLeast is the least pace at which a filler is placed.
	fillerPaceLeast = 0.6
	// startRoomLeast is the least share of full pace for which there must be room where a filler starts: it works at full
	// pace until its first pace reaches the worker.
	startRoomLeast = 0.8
	// fillerLeast is the least share of its demand that a filler must be able to get.
	fillerLeast = 0.8
	// servingUse is the part of their processors that serving tasks use.
	servingUse = 0.4
	// packWeight is the cost of an empty worker against a full one for a task that serves: serving tasks are kept
	// together, so that fillers find workers where they press nobody.
	packWeight = 1.5
	// mixWeight is the cost of a worker whose serving tasks are pressed by other fillers, for a task that serves: a filler
	// finds more workers on which it presses nobody if each has serving tasks that the same fillers press.
	mixWeight = 4.0
	// avoidCost is the cost of the worker on which a task failed last, in shares of its duration.
	avoidCost = 4.0
	// roomWeight is the cost of a full worker against an empty one, in shares of a task's duration. Spread work suffers
	// less when an instance is lost.
	roomWeight = 0.2
)

// place starts waiting tasks where there is room.
func (s *State) place() {
	s.placePending = false
	var list []*stage
	var jobs []*job
	listed := map[*job]bool{}
	kept := s.stages[:0]
	for _, st := range s.stages {
		if st.job.state.Final() || st.done == len(st.tasks) {
			continue
		}
		kept = append(kept, st)
		if !listed[st.job] {
			listed[st.job] = true
			jobs = append(jobs, st.job)
		}
		if st.idle > 0 && st.ready(s.now.BootMs) {
			list = append(list, st)
		}
	}
	clear(s.stages[len(kept):])
	s.stages = kept
	if len(list) == 0 {
		return
	}
	order := s.standings(jobs)
	sort.SliceStable(list, func(i, k int) bool { return order[list[i].job].before(order[list[k].job]) })
	for _, st := range list {
		s.placeStage(st)
	}
}

// placeStage places the waiting tasks of a stage.
func (s *State) placeStage(st *stage) {
	if s.queue(st.job).Advice != nil && !s.advised(st) {
		return
	}
	if st.step.Gang {
		s.placeGang(st)
		return
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.phase != waiting || s.now.BootMs < t.notBeforeMs {
			continue
		}
		if s.underway(t) {
			continue
		}
		w := s.destination(t)
		if w == nil {
			w = s.choose(t, nil)
		}
		if w == nil && s.starved(st) {
			w = s.chooseCrowded(t)
		}
		if w == nil {
			return // the other tasks are of the same size
		}
		s.start(t, w, t.run+1)
	}
}

// starved reports whether a job of fillers has had nothing at work for so long that it gets a place beside others.
// Fillers share the processors, so each of them gets on.
func (s *State) starved(st *stage) bool {
	j := st.job
	if !st.step.Filler || j.active > 0 {
		return false
	}
	after := s.bounds.Finish - starvedMargin
	if s.lightlyUsed(s.queue(j).Service) {
		after = starvedLight
	}
	return s.now.BootMs-max(j.activeMs, st.dueMs, j.dueMs) > after.Milliseconds()
}

// lightlyUsed reports whether much of the processors of a service is not promised to anybody.
func (s *State) lightlyUsed(service string) bool {
	used, all := int64(0), int64(0)
	for _, w := range s.order {
		if s.takesWork(w) && w.info.Service == service {
			used += w.cpu
			all += w.info.CPU
		}
	}
	return float64(used) < lightUse*float64(all)
}

const (
	// lightUse is the part of a service's processors below which it counts as lightly used: half, with a margin for what ends
	// meanwhile.
	lightUse = 0.6
	// starvedLight is how long a job of fillers may have nothing at work then: a job with room for it twice over may wait 3 s, of
	// which a start takes up to a second.
	starvedLight = 1800 * time.Millisecond
)

// starvedMargin is taken off the time after which every job must have something at work.
const starvedMargin = 5 * time.Second

// chooseCrowded returns the worker with room in its memory on which one filler more presses least, or nil.
func (s *State) chooseCrowded(t *task) *worker {
	var best *worker
	bestCost := 0.0
	for _, w := range s.order {
		if !s.takesWork(w) || !s.allowed(t, w) {
			continue
		}
		cost := -s.paceOf(t, w) + float64(w.cpu+w.fillCPU)/float64(max(w.info.CPU, 1))
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// start commits a run; it is ordered once it is on record.
func (s *State) start(t *task, w *worker, run int) {
	t.run = run
	t.phase = starting
	t.recorded = false
	t.toward = nil
	s.commit(t, w)
	t.stage.job.begun = true
	s.starts = append(s.starts, t)
	if w.health.streak >= failuresToQuarantine {
		w.health.trial = t
	}
	s.touch(t.stage.job)
	s.noteTask(NoteStart, t, fmt.Sprintf("objective in %d ms, %d mCPU and %d MB free before", t.stage.job.deadline()-s.now.BootMs,
		w.info.CPU-w.cpu+t.stage.step.CPU, w.info.MemMB-w.mem+t.stage.step.MemMB))
}

// placeGang places all tasks of a gang or none.
func (s *State) placeGang(st *stage) {
	for i := range st.tasks {
		if st.tasks[i].phase != waiting {
			return
		}
	}
	run := st.gangRun
	for i := range st.tasks {
		run = max(run, st.tasks[i].run)
	}
	racks := []string{""}
	if st.step.RackLocal {
		racks = append(s.racks(), "")
	}
	for _, rack := range racks {
		if s.tryGang(st, run+1, rack) {
			st.gangRun = run + 1
			return
		}
	}
}

// tryGang places a gang on the workers of one rack, or on any if rack is empty.
func (s *State) tryGang(st *stage, run int, rack string) bool {
	placed := make([]*worker, 0, len(st.tasks))
	for i := range st.tasks {
		t := &st.tasks[i]
		w := s.chooseIn(t, nil, rack)
		if w == nil {
			break
		}
		s.commit(t, w)
		placed = append(placed, w)
	}
	// The trial commitments are taken back before the real ones, which also record the starts.
	for i := range placed {
		t := &st.tasks[i]
		t.phase = starting
		s.release(t)
	}
	if len(placed) < len(st.tasks) {
		return false
	}
	for i, w := range placed {
		s.start(&st.tasks[i], w, run)
	}
	return true
}

// racks returns the racks in the order of their names.
func (s *State) racks() []string {
	var racks []string
	for _, w := range s.order {
		if w.rack != "" {
			racks = append(racks, w.rack)
		}
	}
	sort.Strings(racks)
	kept := racks[:0]
	for i, r := range racks {
		if i == 0 || r != racks[i-1] {
			kept = append(kept, r)
		}
	}
	return kept
}

// choose returns the best worker with room for the task, or nil. It passes over not.
func (s *State) choose(t *task, not *worker) *worker { return s.chooseIn(t, not, "") }

func (s *State) chooseIn(t *task, not *worker, rack string) *worker {
	var best *worker
	bestCost := 0.0
	for _, w := range s.order {
		if w == not || rack != "" && w.rack != rack || !s.takesWork(w) || !s.fits(t, w) {
			continue
		}
		if cost := s.cost(t, w); best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// reachable reports whether the side process knows its worker and has heard of it lately.
func (w *worker) reachable() bool {
	return w.connected && w.reported && w.info != nil && w.silentMs < silentMs
}

// takesWork reports whether the worker may get new work.
func (s *State) takesWork(w *worker) bool {
	return w.reachable() && w.listed && !w.info.Draining && !w.leaving && len(w.strangers) == 0 &&
		!s.evac[w.info.Zone] && s.now.BootMs-w.heardMs < silentMs && w.health.usable(s.now.BootMs)
}

// fits reports whether the worker has room for the task and is allowed to run it.
func (s *State) fits(t *task, w *worker) bool {
	if !s.allowed(t, w) {
		return false
	}
	st := t.stage.step
	if st.Filler {
		return w.unused() >= fillerLeast*float64(st.CPU) && s.paceOf(t, w) >= fillerPaceLeast && s.startRoom(t, w) >= startRoomLeast
	}
	return w.cpu+st.CPU <= w.info.CPU
}

// unused is the processor room that fillers are expected to find on a worker, in thousandths of a core.
func (w *worker) unused() float64 {
	return float64(w.info.CPU-w.cpu-w.fillCPU) + (1-servingUse)*float64(w.servingCPU)
}

// allowed reports whether the worker may run the task, leaving aside processors.
func (s *State) allowed(t *task, w *worker) bool {
	st := t.stage.step
	return w.mem+st.MemMB <= w.info.MemMB && w.gpu+st.GPU <= w.info.GPU && s.mayRun(t, w)
}

// mayRun reports whether the worker may run the task, leaving aside room.
func (s *State) mayRun(t *task, w *worker) bool {
	st := t.stage.step
	q := s.queue(t.stage.job)
	if q.Service != w.info.Service {
		return false
	}
	if st.Requires != "" && !hasLabel(w, st.Requires) {
		return false
	}
	if q.Advice != nil {
		tk, ok := t.stage.tickets[w.instance]
		if !ok || tk.life != w.info.Life || s.now.BootMs >= tk.untilMs {
			return false
		}
	}
	return st.MaxPerWorker == 0 || s.beside(t, w) < st.MaxPerWorker
}

func hasLabel(w *worker, label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// beside counts tasks of the same stage on the worker.
func (s *State) beside(t *task, w *worker) int {
	n := 0
	for _, o := range w.tasks {
		if o.stage == t.stage && o != t {
			n++
		}
	}
	return n
}

// cost is the expected duration on the worker in units of that on a sound one nearby, and what speaks against it.
func (s *State) cost(t *task, w *worker) float64 {
	st := t.stage.step
	c := w.health.slowness()
	if st.Rack != "" && st.Rack != w.rack {
		c *= s.bounds.FarFactor
	}
	if t.avoid == w.instance {
		c += avoidCost
	}
	cpu := float64(max(w.info.CPU, 1))
	if st.Filler {
		free := w.unused()
		if free < float64(st.CPU) {
			c *= float64(st.CPU) / max(free, 1)
		}
		c /= max(s.paceOf(t, w), 0.05)
	}
	if st.TargetMs > 0 {
		return c + packWeight*(1-float64(w.cpu)/cpu) + mixWeight*s.mixCost(t, w)
	}
	return c + roomWeight*float64(w.cpu+w.fillCPU)/cpu
}

// advised reports whether the stage has tickets, and asks the adviser for them if it has none.
func (s *State) advised(st *stage) bool {
	valid := 0
	for instance, tk := range st.tickets {
		w := s.workers[instance]
		if w != nil && w.info != nil && w.info.Life == tk.life && s.now.BootMs < tk.untilMs {
			valid++
		}
	}
	if valid > 0 && s.now.BootMs-st.askedMs < askAgainMs {
		return true
	}
	if s.now.BootMs-st.askedMs >= askAgainMs {
		s.ask(st)
	}
	return valid > 0
}

const (
	// askAgainMs is the time after which the adviser is asked again for a step that still has waiting tasks.
	askAgainMs = 1000
	// askMost is the number of workers that one question may name.
	askMost = 100
)

// ask asks the adviser about the workers that could run a step.
func (s *State) ask(st *stage) {
	q := Question{Step: st.stepName(), Workers: map[string]string{}}
	for _, w := range s.order {
		if len(q.Workers) < askMost && s.takesWork(w) && w.info.Service == s.queue(st.job).Service &&
			(st.step.Requires == "" || hasLabel(w, st.step.Requires)) {
			q.Workers[w.info.Life.ID] = w.instance
		}
	}
	if len(q.Workers) == 0 {
		return
	}
	st.askedMs = s.now.BootMs
	s.out.Questions = append(s.out.Questions, q)
}

// Advised is the adviser's answer.
type Advised struct {
	// Step is the step of the question.
	Step string
	// Tickets maps instances to permissions; ids tells the life that each is for.
	Tickets map[string]string
	// IDs maps instances to the ids of workers that the permissions are for.
	IDs map[string]string
	// ValidMs is how long they are valid.
	ValidMs int64
}

// ticketSlackMs is taken off the validity of a ticket for the way to the worker.
const ticketSlackMs = 300

func (e Advised) apply(s *State) {
	n, ok := work.ParseTaskName(e.Step + ".0")
	if !ok || s.jobs[n.Job] == nil {
		return
	}
	st := s.jobs[n.Job].stage(n.Occurrence, n.Step)
	if st == nil {
		return
	}
	st.tickets = map[string]ticket{}
	for instance, text := range e.Tickets {
		w := s.workers[instance]
		if w == nil || w.info == nil || w.info.Life.ID != e.IDs[instance] {
			continue
		}
		st.tickets[instance] = ticket{life: w.info.Life, text: text, untilMs: s.now.BootMs + e.ValidMs - ticketSlackMs}
	}
	s.placePending = true
}
