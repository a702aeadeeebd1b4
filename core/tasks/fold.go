package tasks

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// applier applies one record to the state and collects its effects.
type applier struct {
	*State
	offset  uint64
	atMs    int64
	effects []Effect
}

// Fold applies the record at offset and returns its effects. A record that was already applied, or that repeats an earlier
// one of its writer, changes nothing.
func (s *State) Fold(offset uint64, rec *record.Record) []Effect {
	if offset < s.Next {
		return nil
	}
	s.Next = offset + 1
	if !s.Writers.Accept(rec) {
		return nil
	}
	f := &applier{State: s, offset: offset, atMs: rec.AtMs}
	if rec.DeciderClaim != nil {
		f.applyClaim(rec)
	}
	for _, job := range rec.Submits {
		f.applySubmit(job)
	}
	for _, c := range rec.Cancels {
		f.applyCancel(c)
	}
	if rec.Batch != nil {
		f.applyBatch(rec.Batch)
	}
	s.trimEnded()
	return f.effects
}

func (f *applier) emit(e Effect) { f.effects = append(f.effects, e) }

func (f *applier) applyClaim(rec *record.Record) {
	if f.Epoch > 0 && f.Resigned != f.Epoch {
		f.addOlderEpoch(record.OlderEpoch{
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

// addOlderEpoch records an epoch whose decider may still act. Beyond maxOlderEpochs the two oldest are merged into one whose
// witness is not queried, so that a new decider waits for the maximum duration of authority.
func (f *applier) addOlderEpoch(o record.OlderEpoch) {
	f.Older = append(f.Older, o)
	if len(f.Older) > maxOlderEpochs {
		f.Older = append([]record.OlderEpoch{{Epoch: f.Older[1].Epoch, Unasked: true}}, f.Older[2:]...)
	}
}

func (f *applier) applySubmit(spec record.Job) {
	if f.Jobs[spec.ID] != nil || f.JobExpired(spec.ID) {
		return
	}
	job := &Job{Spec: spec, State: JobOpen}
	f.Jobs[spec.ID] = job
	if spec.Kind == record.ServiceJob {
		f.services[spec.ID] = struct{}{}
	}
	f.recordJobChange(job, "accepted")
	for i := range spec.Tasks {
		f.addTask(job, i, "submitted")
	}
}

func (f *applier) addTask(job *Job, index int, cause string) {
	task := &Task{ID: TaskID(job.Spec.ID, index), Job: job.Spec.ID, State: lifecycle.TaskQueued}
	f.Tasks[task.ID] = task
	job.Tasks = append(job.Tasks, task.ID)
	job.Open++
	f.recordTaskChange(task, cause)
	f.emit(TaskQueued{job, task})
}

func (f *applier) applyCancel(c record.Cancel) {
	job := f.Jobs[c.Job]
	if job == nil || job.State != JobOpen || job.Cancelling {
		return
	}
	job.Cancelling = true
	f.recordJobChange(job, "cancel by "+c.By)
	f.emit(JobCancelling{job})
	for _, id := range job.Tasks {
		f.stopTask(f.Tasks[id], "job cancelled")
	}
	f.finalizeJob(job)
}

// stopTask cancels a queued task at once and marks a placed one as stopping.
func (f *applier) stopTask(task *Task, cause string) {
	if task == nil || lifecycle.Task.Fire(&task.State, lifecycle.CancelTask) != nil {
		return
	}
	f.recordTaskChange(task, cause)
	if task.State.Ended() {
		f.Jobs[task.Job].Open--
		return
	}
	f.emit(TaskLeaving{task, cause})
}

func (f *applier) applyBatch(b *record.Batch) {
	if b.Epoch != f.Epoch && rule.On(rule.Epoch) {
		f.emit(Voided{Reason: fmt.Sprintf("batch of epoch %d, but the epoch is %d", b.Epoch, f.Epoch)})
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
		f.applyWorker(w)
	}
	for _, e := range b.Ends {
		f.endAttempt(e)
	}
	for _, r := range b.Refusals {
		f.applyRefusal(r)
	}
	for _, e := range b.Evictions {
		f.applyEviction(e)
	}
	for _, r := range b.Replicas {
		f.applyReplica(r)
	}
	for _, st := range b.Starts {
		f.applyStart(st)
	}
}

func (f *applier) applyWorker(c record.WorkerChange) {
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

func (f *applier) applyStart(st record.Start) {
	task, w := f.Tasks[st.Task], f.Workers[st.Worker]
	if reason := f.startRejection(task, w, st); reason != "" {
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
	f.recordTaskChange(task, st.Cause)
	f.emit(TaskPlaced{st, task})
}

// startRejection returns why a start is void, or "" if it is valid. The capacity check prevents a faulty decider from
// overcommitting a worker.
func (f *applier) startRejection(task *Task, w *Worker, st record.Start) string {
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
		// Compares with the free capacity, because the sum of the committed resources and the size could overflow.
		return "worker " + st.Worker + " has insufficient free capacity"
	}
	return ""
}

func (f *applier) applyEviction(e record.Eviction) {
	task := f.Tasks[e.Task]
	if task == nil || task.Attempt != e.Attempt || lifecycle.Task.Fire(&task.State, lifecycle.EvictTask) != nil {
		f.emit(Voided{e.Task, "no such placed attempt to evict"})
		return
	}
	task.Evictions++
	f.recordTaskChange(task, e.Reason)
	f.emit(TaskLeaving{task, e.Reason})
}

func (f *applier) applyRefusal(r record.Refusal) {
	job := f.Jobs[r.Job]
	if job == nil || job.State != JobOpen {
		return
	}
	for _, id := range job.Tasks {
		if f.Tasks[id].State != lifecycle.TaskQueued || f.Tasks[id].Attempt > 0 {
			f.emit(Voided{r.Job, "job has tasks that were already placed"})
			return
		}
	}
	for _, id := range job.Tasks {
		f.stopTask(f.Tasks[id], "refused: "+r.Reason)
	}
	job.State = JobRefused
	f.recordJobChange(job, r.Reason)
	f.closeJob(job)
}

func (f *applier) applyReplica(r record.Replica) {
	job, old := f.Jobs[r.Job], f.Tasks[r.Replaces]
	if job == nil || old == nil || job.State != JobOpen || job.Cancelling || job.Spec.Kind != record.ServiceJob {
		return
	}
	f.addTask(job, len(job.Tasks), "replaces "+r.Replaces+", whose worker is unresponsive")
}
