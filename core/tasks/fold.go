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
	a := &applier{State: s, offset: offset, atMs: rec.AtMs}
	if rec.DeciderClaim != nil {
		a.applyClaim(rec)
	}
	for _, job := range rec.Submits {
		a.applySubmit(job)
	}
	for _, c := range rec.Cancels {
		a.applyCancel(c)
	}
	if rec.Batch != nil {
		a.applyBatch(rec.Batch)
	}
	s.trimEnded()
	return a.effects
}

func (a *applier) emit(e Effect) { a.effects = append(a.effects, e) }

func (a *applier) applyClaim(rec *record.Record) {
	if a.Epoch > 0 && a.ResignedEpoch != a.Epoch {
		a.addOlderEpoch(record.OlderEpoch{
			Epoch: a.Epoch, Witness: a.Decider.Witness, WitnessIncarnation: a.Decider.WitnessIncarnation,
			WitnessAddress: a.Decider.WitnessAddress,
		})
	}
	a.Epoch = a.offset
	a.Decider = *rec.DeciderClaim
	a.DeciderID, a.DeciderIncarnation = rec.Writer, rec.Incarnation
	a.emit(EpochChanged{
		Epoch: a.offset, Writer: rec.Writer, Incarnation: rec.Incarnation, Claim: *rec.DeciderClaim,
		OlderEpochs: append([]record.OlderEpoch(nil), a.OlderEpochs...),
	})
}

// addOlderEpoch records an epoch whose decider may still act. Beyond maxOlderEpochs the two oldest are merged into one whose
// witness is not queried, so that a new decider waits for the maximum duration of authority.
func (a *applier) addOlderEpoch(o record.OlderEpoch) {
	a.OlderEpochs = append(a.OlderEpochs, o)
	if len(a.OlderEpochs) > maxOlderEpochs {
		a.OlderEpochs = append([]record.OlderEpoch{{Epoch: a.OlderEpochs[1].Epoch, Merged: true}}, a.OlderEpochs[2:]...)
	}
}

func (a *applier) applySubmit(spec record.Job) {
	if a.Jobs[spec.ID] != nil || a.JobExpired(spec.ID) {
		return
	}
	job := &Job{Spec: spec, State: JobOpen}
	a.Jobs[spec.ID] = job
	if spec.Kind == record.ServiceJob {
		a.openServices[spec.ID] = struct{}{}
	}
	a.recordJobChange(job, "accepted")
	for i := range spec.Tasks {
		a.addTask(job, i, "submitted")
	}
}

func (a *applier) addTask(job *Job, index int, cause string) {
	task := &Task{ID: TaskID(job.Spec.ID, index), Job: job.Spec.ID, State: lifecycle.TaskQueued}
	a.Tasks[task.ID] = task
	job.Tasks = append(job.Tasks, task.ID)
	job.Open++
	a.recordTaskChange(task, cause)
	a.emit(TaskQueued{job, task})
}

func (a *applier) applyCancel(c record.Cancel) {
	job := a.Jobs[c.Job]
	if job == nil || job.State != JobOpen || job.Cancelling {
		return
	}
	job.Cancelling = true
	a.recordJobChange(job, "cancel by "+c.By)
	a.emit(JobCancelling{job})
	for _, id := range job.Tasks {
		a.stopTask(a.Tasks[id], "job cancelled")
	}
	a.finalizeJob(job)
}

// stopTask cancels a queued task at once and marks a placed one as stopping.
func (a *applier) stopTask(task *Task, cause string) {
	if task == nil || lifecycle.Task.Fire(&task.State, lifecycle.CancelTask) != nil {
		return
	}
	a.recordTaskChange(task, cause)
	if task.State.Ended() {
		a.Jobs[task.Job].Open--
		return
	}
	a.emit(TaskTerminating{task, cause})
}

func (a *applier) applyBatch(b *record.Batch) {
	if b.Epoch != a.Epoch && rule.Enabled(rule.Epoch) {
		a.emit(Voided{Reason: fmt.Sprintf("batch of epoch %d, but the epoch is %d", b.Epoch, a.Epoch)})
		return
	}
	if b.OlderEpochsExpired {
		a.OlderEpochs = nil
	}
	if b.Resigned {
		a.ResignedEpoch = a.Epoch
		a.emit(EpochResigned{a.Epoch})
	}
	if b.Witness != nil {
		a.Decider = *b.Witness
		a.emit(WitnessChanged{*b.Witness})
	}
	for _, w := range b.Workers {
		a.applyWorker(w)
	}
	for _, e := range b.Ends {
		a.endAttempt(e)
	}
	for _, r := range b.Refusals {
		a.applyRefusal(r)
	}
	for _, e := range b.Evictions {
		a.applyEviction(e)
	}
	for _, r := range b.Replicas {
		a.applyReplica(r)
	}
	for _, st := range b.Starts {
		a.applyStart(st)
	}
}

func (a *applier) applyWorker(c record.WorkerChange) {
	w := a.Workers[c.ID]
	if w == nil {
		w = &Worker{ID: c.ID, Tasks: make(map[string]struct{})}
		a.Workers[c.ID] = w
	}
	if c.Lost {
		w.Lost = true
	} else {
		w.Zone, w.Rack, w.Capacity, w.Incarnation, w.Lost = c.Zone, c.Rack, c.Capacity, c.Incarnation, false
	}
	a.emit(WorkerChanged{w})
}

func (a *applier) applyStart(st record.Start) {
	task, w := a.Tasks[st.Task], a.Workers[st.Worker]
	if reason := a.startRejection(task, w, st); reason != "" {
		a.emit(Voided{st.Task, reason})
		return
	}
	if lifecycle.Task.Fire(&task.State, lifecycle.PlaceTask) != nil {
		a.emit(Voided{st.Task, "task is " + string(task.State)})
		return
	}
	task.Attempt, task.Worker, task.Size, task.Epoch = st.Attempt, st.Worker, st.Size, a.Epoch
	task.Incarnation = w.Incarnation
	w.Committed = w.Committed.Add(st.Size)
	w.Tasks[task.ID] = struct{}{}
	a.recordTaskChange(task, st.Cause)
	a.emit(TaskPlaced{st, task})
}

// startRejection returns why a start is void, or "" if it is valid. The capacity check prevents a faulty decider from
// overcommitting a worker.
func (a *applier) startRejection(task *Task, w *Worker, st record.Start) string {
	switch {
	case task == nil:
		return "unknown task"
	case w == nil || w.Lost:
		return "unknown or lost worker " + st.Worker
	case st.Attempt != task.Attempt+1:
		return fmt.Sprintf("attempt %d does not follow %d", st.Attempt, task.Attempt)
	case !(record.Resources{}).Fits(st.Size):
		return "negative size"
	case !st.Size.Fits(w.Capacity.Sub(w.Committed)) && rule.Enabled(rule.Capacity):
		// Compares with the free capacity, because the sum of the committed resources and the size could overflow.
		return "worker " + st.Worker + " has insufficient free capacity"
	}
	return ""
}

func (a *applier) applyEviction(e record.Eviction) {
	task := a.Tasks[e.Task]
	if task == nil || task.Attempt != e.Attempt || lifecycle.Task.Fire(&task.State, lifecycle.EvictTask) != nil {
		a.emit(Voided{e.Task, "no such placed attempt to evict"})
		return
	}
	task.Evictions++
	a.recordTaskChange(task, e.Reason)
	a.emit(TaskTerminating{task, e.Reason})
}

func (a *applier) applyRefusal(r record.Refusal) {
	job := a.Jobs[r.Job]
	if job == nil || job.State != JobOpen {
		return
	}
	for _, id := range job.Tasks {
		if a.Tasks[id].State != lifecycle.TaskQueued || a.Tasks[id].Attempt > 0 {
			a.emit(Voided{r.Job, "job has tasks that were already placed"})
			return
		}
	}
	for _, id := range job.Tasks {
		a.stopTask(a.Tasks[id], "refused: "+r.Reason)
	}
	job.State = JobRefused
	a.recordJobChange(job, r.Reason)
	a.closeJob(job)
}

func (a *applier) applyReplica(r record.Replica) {
	job, old := a.Jobs[r.Job], a.Tasks[r.Replaces]
	if job == nil || old == nil || job.State != JobOpen || job.Cancelling || job.Spec.Kind != record.ServiceJob {
		return
	}
	a.addTask(job, len(job.Tasks), "replaces "+r.Replaces+", whose worker is silent")
}
