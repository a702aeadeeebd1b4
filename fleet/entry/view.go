package entry

import (
	"strings"
	"sync"

	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// view is what an entry knows of jobs, by the store.
type view struct {
	log logevent.Logger

	mu   sync.Mutex
	jobs map[string]*viewed
	// early holds cancellations and progress that were read before their submission: the topics are read side by side.
	early map[string]*viewed
	// learned is the newest record of what deciders have learned of interference; nil if there is none.
	learned []byte
	// taken receives submissions and cancellations for the decider, if set.
	taken func(id string, v viewed)
}

// viewed is one job.
type viewed struct {
	job       *work.Job
	cancelled bool
	state     work.JobState
	// progress is the stored progress of a job that is not over, or that may still have runs at work.
	progress []byte
}

func newView(log logevent.Logger) *view {
	return &view{log: log, jobs: map[string]*viewed{}, early: map[string]*viewed{}}
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

// pending counts the jobs of a queue of which no task was started.
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
func (v *view) all() map[string]viewed {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make(map[string]viewed, len(v.jobs))
	for id, j := range v.jobs {
		all[id] = *j
	}
	return all
}

// interference returns what deciders have learned of interference, or nil.
func (v *view) interference() *work.Interference {
	v.mu.Lock()
	data := v.learned
	v.mu.Unlock()
	if len(data) == 0 {
		return nil
	}
	var in work.Interference
	if err := work.Decode(data, &in); err != nil {
		// The decider learns it anew.
		v.log.Log(logevent.RecordUnreadable, logevent.Str("key", work.KeyInterference), logevent.Err(err))
		return nil
	}
	return &in
}

// entry returns the account of a job, which may not have been submitted yet as far as this entry knows.
func (v *view) entry(id string) *viewed {
	if j := v.jobs[id]; j != nil {
		return j
	}
	if v.early[id] == nil {
		v.early[id] = &viewed{}
	}
	return v.early[id]
}

// applyJobs takes records of submissions and cancellations.
func (v *view) applyJobs(records []work.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		switch id := strings.TrimPrefix(r.Key, work.PrefixSubmission); {
		case strings.HasPrefix(r.Key, work.PrefixSubmission):
			v.submitted(id, r)
		case strings.HasPrefix(r.Key, work.PrefixCancellation):
			v.cancelledJob(strings.TrimPrefix(r.Key, work.PrefixCancellation), r)
		}
	}
}

func (v *view) submitted(id string, r work.Record) {
	if len(r.Value) == 0 {
		delete(v.jobs, id)
		delete(v.early, id)
		return
	}
	if v.jobs[id] != nil {
		return // a submission that was sent again
	}
	job := &work.Job{}
	if err := work.Decode(r.Value, job); err != nil || job.ID != id {
		v.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
		return
	}
	e := v.entry(id)
	delete(v.early, id)
	e.job = job
	v.jobs[id] = e
	v.tell(id, e)
}

func (v *view) cancelledJob(id string, r work.Record) {
	if len(r.Value) == 0 {
		return
	}
	e := v.entry(id)
	if !e.cancelled {
		e.cancelled = true
		if e.job != nil {
			v.tell(id, e)
		}
	}
}

func (v *view) tell(id string, e *viewed) {
	if v.taken != nil {
		v.taken(id, *e)
	}
}

// applyProgress takes records of the decider and returns the newest claim among them, or nil.
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
			v.learned = r.Value
			continue
		}
		if id, ok := strings.CutPrefix(r.Key, work.PrefixProgress); ok {
			v.progressed(id, r)
		}
	}
	return newest
}

func (v *view) progressed(id string, r work.Record) {
	if len(r.Value) == 0 {
		delete(v.early, id)
		return
	}
	var state struct {
		State work.JobState `cbor:"1,keyasint"`
	}
	if err := work.Decode(r.Value, &state); err != nil || state.State > work.Cancelled {
		v.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
		return
	}
	e := v.entry(id)
	e.state, e.progress = state.State, r.Value
}
