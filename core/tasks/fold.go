package tasks

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// folder carries one record through its fold.
type folder struct {
	*State
	offset  uint64
	atMs    int64
	effects []Effect
}

// Fold applies the record at offset and returns what it changed.
func (s *State) Fold(offset uint64, rec *record.Record) []Effect {
	if offset < s.Next {
		return nil
	}
	s.Next = offset + 1
	if !s.Writers.Accept(rec) {
		return nil
	}
	f := &folder{State: s, offset: offset, atMs: rec.AtMs}
	if rec.DeciderClaim != nil {
		f.claim(rec)
	}
	for _, job := range rec.Submits {
		f.submit(job)
	}
	for _, c := range rec.Cancels {
		f.cancel(c)
	}
	if rec.Batch != nil {
		f.batch(rec.Batch)
	}
	s.trim()
	return f.effects
}

func (f *folder) emit(e Effect) { f.effects = append(f.effects, e) }

func (f *folder) claim(rec *record.Record) {
	if f.Epoch > 0 && f.Resigned != f.Epoch {
		f.keepOlder(record.OlderEpoch{
			Epoch: f.Epoch, Witness: f.Decider.Witness, WitnessIncarnation: f.Decider.WitnessIncarnation,
			WitnessAddress: f.Decider.WitnessAddress,
		})
	}
	f.Epoch = f.offset
	f.Decider = *rec.DeciderClaim
	f.DeciderID, f.DeciderIncarnation = rec.Writer, rec.Incarnation
	f.emit(EpochChanged{
		Epoch: f.offset, Writer: rec.Writer, Incarnation: rec.Incarnation, Claim: *rec.DeciderClaim,
		Older: append([]record.OlderEpoch(nil), f.Older...),
	})
}

// keepOlder notes an epoch whose decider may still act. Beyond the limit the two oldest are merged into one that is not
// asked, so that a new decider waits for the longest authority.
func (f *folder) keepOlder(o record.OlderEpoch) {
	f.Older = append(f.Older, o)
	if len(f.Older) > maxOlder {
		f.Older = append([]record.OlderEpoch{{Epoch: f.Older[1].Epoch, Unasked: true}}, f.Older[2:]...)
	}
}

func (f *folder) submit(spec record.Job) {
	if f.Jobs[spec.ID] != nil || f.JobExpired(spec.ID) {
		return
	}
	job := &Job{Spec: spec, State: JobOpen}
	f.Jobs[spec.ID] = job
	if spec.Kind == record.ServiceJob {
		f.services[spec.ID] = struct{}{}
	}
	f.noteJob(job, "accepted")
	for i := range spec.Tasks {
		f.addTask(job, i, "submitted")
	}
}

func (f *folder) addTask(job *Job, index int, cause string) {
	task := &Task{ID: TaskID(job.Spec.ID, index), Job: job.Spec.ID, State: lifecycle.TaskQueued}
	f.Tasks[task.ID] = task
	job.Tasks = append(job.Tasks, task.ID)
	job.Open++
	f.noteTask(task, cause)
	f.emit(TaskQueued{job, task})
}

func (f *folder) cancel(c record.Cancel) {
	job := f.Jobs[c.Job]
	if job == nil || job.State != JobOpen || job.Cancelling {
		return
	}
	job.Cancelling = true
	f.noteJob(job, "cancel by "+c.By)
	f.emit(JobCancelling{job})
	for _, id := range job.Tasks {
		f.stopTask(f.Tasks[id], "job cancelled")
	}
	f.settle(job)
}

// stopTask cancels a queued task at once and orders a placed one to stop.
func (f *folder) stopTask(task *Task, cause string) {
	if task == nil || lifecycle.Task.Fire(&task.State, lifecycle.CancelTask) != nil {
		return
	}
	f.noteTask(task, cause)
	if task.State.Ended() {
		f.Jobs[task.Job].Open--
		return
	}
	f.emit(TaskLeaving{task, cause})
}

func (f *folder) batch(b *record.Batch) {
	if b.Epoch != f.Epoch && rule.On(rule.Epoch) {
		f.emit(Voided{Reason: fmt.Sprintf("batch of epoch %d in epoch %d", b.Epoch, f.Epoch)})
		return
	}
	if b.Settled {
		f.Older = nil
	}
	if b.Resigned {
		f.Resigned = f.Epoch
		f.emit(EpochResigned{f.Epoch})
	}
	if b.Witness != nil {
		f.Decider = *b.Witness
		f.emit(WitnessChanged{*b.Witness})
	}
	for _, w := range b.Workers {
		f.worker(w)
	}
	for _, e := range b.Ends {
		f.end(e)
	}
	for _, r := range b.Refusals {
		f.refuse(r)
	}
	for _, e := range b.Evictions {
		f.evict(e)
	}
	for _, r := range b.Replicas {
		f.replica(r)
	}
	for _, st := range b.Starts {
		f.start(st)
	}
}

func (f *folder) worker(c record.WorkerChange) {
	w := f.Workers[c.ID]
	if w == nil {
		w = &Worker{ID: c.ID, Tasks: make(map[string]struct{})}
		f.Workers[c.ID] = w
	}
	if c.Lost {
		w.Lost = true
	} else {
		w.Zone, w.Rack, w.Capacity, w.Incarnation, w.Lost = c.Zone, c.Rack, c.Capacity, c.Incarnation, false
	}
	f.emit(WorkerChanged{w})
}

func (f *folder) start(st record.Start) {
	task, w := f.Tasks[st.Task], f.Workers[st.Worker]
	if reason := f.startFault(task, w, st); reason != "" {
		f.emit(Voided{st.Task, reason})
		return
	}
	if lifecycle.Task.Fire(&task.State, lifecycle.PlaceTask) != nil {
		f.emit(Voided{st.Task, "task is " + string(task.State)})
		return
	}
	task.Attempt, task.Worker, task.Size, task.Epoch = st.Attempt, st.Worker, st.Size, f.Epoch
	task.Incarnation = w.Incarnation
	w.Committed = w.Committed.Add(st.Size)
	w.Tasks[task.ID] = struct{}{}
	f.noteTask(task, st.Cause)
	f.emit(TaskPlaced{st, task})
}

// startFault returns why a start is void, or nothing. The capacity check keeps a faulty decider from committing a
// worker beyond what it has.
func (f *folder) startFault(task *Task, w *Worker, st record.Start) string {
	switch {
	case task == nil:
		return "unknown task"
	case w == nil || w.Lost:
		return "unknown or lost worker " + st.Worker
	case st.Attempt != task.Attempt+1:
		return fmt.Sprintf("attempt %d does not follow %d", st.Attempt, task.Attempt)
	case !(record.Resources{}).Fits(st.Size):
		return "negative size"
	case !st.Size.Fits(w.Capacity.Sub(w.Committed)) && rule.On(rule.Capacity):
		// The sum of committed and size could overflow, what is free cannot.
		return "worker " + st.Worker + " has no room"
	}
	return ""
}

func (f *folder) evict(e record.Eviction) {
	task := f.Tasks[e.Task]
	if task == nil || task.Attempt != e.Attempt || lifecycle.Task.Fire(&task.State, lifecycle.EvictTask) != nil {
		f.emit(Voided{e.Task, "no such attempt to evict"})
		return
	}
	task.Evictions++
	f.noteTask(task, e.Reason)
	f.emit(TaskLeaving{task, e.Reason})
}

func (f *folder) refuse(r record.Refusal) {
	job := f.Jobs[r.Job]
	if job == nil || job.State != JobOpen {
		return
	}
	for _, id := range job.Tasks {
		if f.Tasks[id].State != lifecycle.TaskQueued || f.Tasks[id].Attempt > 0 {
			f.emit(Voided{r.Job, "job has tasks that were placed"})
			return
		}
	}
	for _, id := range job.Tasks {
		f.stopTask(f.Tasks[id], "refused: "+r.Reason)
	}
	job.State = JobRefused
	f.noteJob(job, r.Reason)
	f.close(job)
}

func (f *folder) replica(r record.Replica) {
	job, old := f.Jobs[r.Job], f.Tasks[r.Replaces]
	if job == nil || old == nil || job.State != JobOpen || job.Cancelling || job.Spec.Kind != record.ServiceJob {
		return
	}
	f.addTask(job, len(job.Tasks), "replaces "+r.Replaces+", whose worker is silent")
}
