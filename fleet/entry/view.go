package entry

import (
	"sort"
	"strings"
	"sync"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// view is an entry's in-memory view of the jobs in the store.
type view struct {
	log logevent.Logger

	mu   sync.Mutex
	jobs map[string]*jobView
	// unsubmitted holds cancellations and progress read before the submission: the topics are read independently.
	unsubmitted map[string]*jobView
	// interferenceRecord is the newest stored interference estimate; nil if there is none.
	interferenceRecord []byte
	// backlog is the expected wait of new work.
	backlog backlogView
	// excluded holds the jobs that deciders leave out because loading them panicked.
	excluded map[string]bool
	// onJobChange notifies the decider of submissions and cancellations, if set.
	onJobChange func(id string, v jobView)
}

// jobView is the view of one job.
type jobView struct {
	job       *work.Job
	cancelled bool
	// cancelledMs is when the cancellation was first read, in boot time.
	cancelledMs int64
	state       work.JobState
	// progress is the stored progress of a job that has not finished, or that may still have active runs, and checkpoints
	// the stored checkpoints of its tasks.
	progress, checkpoints []byte
}

func newView(log logevent.Logger) *view {
	return &view{log: log, jobs: map[string]*jobView{}, unsubmitted: map[string]*jobView{}, excluded: map[string]bool{},
		backlog: backlogView{log: log}}
}

// get returns a job's state.
func (v *view) get(id string) (work.JobState, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	j := v.jobs[id]
	if j == nil {
		return 0, false
	}
	if !j.state.Final() && j.cancelled {
		return work.Cancelled, true
	}
	return j.state, true
}

// pending returns the number of jobs of a queue of which no task has started.
func (v *view) pending(queue string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, j := range v.jobs {
		if j.state == work.Queued && !j.cancelled && j.job.Queue.Name == queue {
			n++
		}
	}
	return n
}

// all returns all jobs.
func (v *view) all() map[string]jobView {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make(map[string]jobView, len(v.jobs))
	for id, j := range v.jobs {
		all[id] = *j
	}
	return all
}

// exclude makes deciders leave out a job.
func (v *view) exclude(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.excluded[id] = true
}

func (v *view) isExcluded(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.excluded[id]
}

// interference returns the stored interference estimate, or nil.
func (v *view) interference() *work.Interference {
	v.mu.Lock()
	data := v.interferenceRecord
	v.mu.Unlock()
	if len(data) == 0 {
		return nil
	}
	var in work.Interference
	if err := work.Decode(data, &in); err != nil {
		// The decider starts without estimates and learns them again.
		v.log.Log(logevent.RecordUnreadable, logevent.Str("key", work.KeyInterference), logevent.Err(err))
		return nil
	}
	return &in
}

// jobEntry returns the view of a job. Its submission may not have been read yet.
func (v *view) jobEntry(id string) *jobView {
	if j := v.jobs[id]; j != nil {
		return j
	}
	if v.unsubmitted[id] == nil {
		v.unsubmitted[id] = &jobView{}
	}
	return v.unsubmitted[id]
}

// applyJobs applies records of submissions and cancellations.
func (v *view) applyJobs(records []work.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		switch id := strings.TrimPrefix(r.Key, work.PrefixSubmission); {
		case strings.HasPrefix(r.Key, work.PrefixSubmission):
			v.applySubmission(id, r)
		case strings.HasPrefix(r.Key, work.PrefixCancellation):
			v.applyCancellation(strings.TrimPrefix(r.Key, work.PrefixCancellation), r)
		}
	}
}

func (v *view) applySubmission(id string, r work.Record) {
	if len(r.Value) == 0 {
		delete(v.jobs, id)
		delete(v.unsubmitted, id)
		delete(v.excluded, id)
		return
	}
	if v.jobs[id] != nil {
		return // a repeated submission
	}
	job := &work.Job{}
	err := work.Decode(r.Value, job)
	if err == nil && job.ID != id {
		err = errdefs.Field("id", job.ID, "store a job under its own key")
	}
	if err == nil {
		// A size out of range or a step that depends on itself would end every decider.
		err = work.Check(job)
	}
	if err != nil {
		v.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
		return
	}
	e := v.jobEntry(id)
	delete(v.unsubmitted, id)
	e.job = job
	v.jobs[id] = e
	v.notifyDecider(id, e)
}

func (v *view) applyCancellation(id string, r work.Record) {
	if len(r.Value) == 0 {
		if e := v.unsubmitted[id]; e != nil && e.progress == nil {
			delete(v.unsubmitted, id)
		}
		return
	}
	e := v.jobEntry(id)
	if !e.cancelled {
		e.cancelled, e.cancelledMs = true, clock.BootMs()
		if e.job != nil {
			v.notifyDecider(id, e)
		}
	}
}

func (v *view) notifyDecider(id string, e *jobView) {
	if v.onJobChange != nil {
		v.onJobChange(id, *e)
	}
}

// applyProgress applies records of the decider and returns the newest claim among them, or nil.
func (v *view) applyProgress(records []work.Record) *work.Claim {
	v.mu.Lock()
	defer v.mu.Unlock()
	var newest *work.Claim
	for _, r := range records {
		if r.Key == work.KeyClaim {
			claim := &work.Claim{}
			if err := work.Decode(r.Value, claim); err != nil {
				v.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
				continue
			}
			newest = claim
			continue
		}
		if r.Key == work.KeyInterference {
			v.interferenceRecord = r.Value
			continue
		}
		if r.Key == work.KeyBacklog {
			v.backlog.apply(r)
			continue
		}
		if id, ok := strings.CutPrefix(r.Key, work.PrefixProgress); ok {
			v.applyJobProgress(id, r)
		}
		if id, ok := strings.CutPrefix(r.Key, work.PrefixCheckpoints); ok {
			v.applyCheckpoints(id, r)
		}
	}
	return newest
}

func (v *view) applyJobProgress(id string, r work.Record) {
	if len(r.Value) == 0 {
		delete(v.unsubmitted, id)
		return
	}
	var state struct {
		State work.JobState `cbor:"1,keyasint"`
	}
	if err := work.Decode(r.Value, &state); err != nil || state.State > work.Cancelled {
		v.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
		return
	}
	e := v.jobEntry(id)
	e.state, e.progress = state.State, r.Value
	if e.state.Final() {
		e.checkpoints = nil
	}
}

func (v *view) applyCheckpoints(id string, r work.Record) {
	if len(r.Value) == 0 {
		return // the tombstone of the progress precedes it
	}
	if e := v.jobEntry(id); !e.state.Final() {
		e.checkpoints = r.Value
	}
}

// orphanedCancellationTTLMs is how long a cancellation without a submission is kept. A submission that was on its way is stored within
// seconds.
const orphanedCancellationTTLMs = 600_000

// orphanedCancellations returns the jobs of which a cancellation is stored for long and no submission.
func (v *view) orphanedCancellations(nowMs int64) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, j := range v.unsubmitted {
		if j.cancelled && j.progress == nil && nowMs-j.cancelledMs >= orphanedCancellationTTLMs {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// orphans returns the jobs of which progress is stored but no submission. It is complete once both topics were read to
// their end.
func (v *view) orphans() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, j := range v.unsubmitted {
		if j.progress != nil && j.state.Final() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
