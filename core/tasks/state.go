// Package tasks is the replicated state machine of stream sched.<region>: jobs, tasks, workers and the resources committed
// on them.
//
// Applying the records is deterministic, so every reader reaches the same state. Decisions of an old epoch and decisions
// that conflict with an earlier record are void; every reader rejects the same ones.
package tasks

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/record"
)

// Limits on the state that a process retains.
const (
	// maxEndedJobs is the maximum number of ended jobs kept with their history: about two days at 8,600 jobs a day.
	maxEndedJobs = 20_000
	// maxEndedTasks is the maximum number of tasks of these jobs: at 1.1 KB a task, an entry stays well below 128 MB.
	maxEndedTasks = 40_000
	// maxTombstones is the maximum number of tombstones of trimmed jobs: about three weeks at 8,600 jobs a day, 1.6 MB in a
	// snapshot.
	maxTombstones = 200_000
	// maxOlderEpochs is the maximum number of older epochs kept separately. It is exceeded only when deciders change faster
	// than their authority ends; the oldest are then merged, and a new decider waits out their authority.
	maxOlderEpochs = 16
	// MaxHistory is the maximum number of changes kept per job or task: the first one and the newest ones.
	MaxHistory = 24
	// maxTaskFailures is the number of failed attempts at which a batch task fails.
	maxTaskFailures = 3
)

// Change is one state change in the history of a job or task.
type Change struct {
	// Offset is the log offset of the record that made the change.
	Offset uint64 `cbor:"1,keyasint" json:"offset"`
	// AtMs is the writer's wall clock in Unix milliseconds.
	AtMs int64 `cbor:"2,keyasint" json:"at_ms"`
	// State is the state after the change.
	State string `cbor:"3,keyasint" json:"state"`
	// Cause is the reason for the change.
	Cause string `cbor:"4,keyasint,omitempty" json:"cause"`
	// Worker is the worker of the attempt, if any.
	Worker string `cbor:"5,keyasint,omitempty" json:"worker,omitempty"`
	// Attempt is the number of the attempt, if any.
	Attempt uint32 `cbor:"6,keyasint,omitempty" json:"attempt,omitempty"`
	// CheckpointMs is the task's last checkpoint at the time of the change; an attempt that starts resumes from it.
	CheckpointMs int64 `cbor:"7,keyasint,omitempty" json:"checkpoint_ms,omitempty"`
}

// Worker is a worker with the resources and tasks committed to it.
type Worker struct {
	ID          string           `cbor:"1,keyasint" json:"id"`
	Zone        string           `cbor:"2,keyasint" json:"zone"`
	Rack        string           `cbor:"3,keyasint" json:"rack"`
	Capacity    record.Resources `cbor:"4,keyasint" json:"capacity"`
	Committed   record.Resources `cbor:"5,keyasint" json:"committed"`
	Incarnation uint64           `cbor:"6,keyasint" json:"incarnation"`
	// Lost is true if the worker was unresponsive until all its leases had expired.
	Lost bool `cbor:"7,keyasint,omitempty" json:"lost"`
	// Tasks holds the ids of the tasks placed on the worker.
	Tasks map[string]struct{} `cbor:"8,keyasint,omitempty" json:"-"`
}

// Task is one task of a job.
type Task struct {
	ID    string              `cbor:"1,keyasint" json:"id"`
	Job   string              `cbor:"2,keyasint" json:"job"`
	State lifecycle.TaskState `cbor:"3,keyasint" json:"state"`
	// Attempt is the newest attempt; 0 before the first.
	Attempt uint32 `cbor:"4,keyasint" json:"attempt"`
	// Worker is where the attempt is placed; empty while the task is not placed.
	Worker string           `cbor:"5,keyasint,omitempty" json:"worker,omitempty"`
	Size   record.Resources `cbor:"6,keyasint,omitempty" json:"size"`
	// Epoch is the epoch whose decider placed the attempt.
	Epoch uint64 `cbor:"7,keyasint,omitempty" json:"epoch"`
	// CheckpointMs is the checkpointed progress from which the next attempt resumes.
	CheckpointMs int64 `cbor:"8,keyasint,omitempty" json:"checkpoint_ms"`
	// Failures counts failed attempts.
	Failures int `cbor:"9,keyasint,omitempty" json:"failures"`
	// Evictions counts evictions.
	Evictions int `cbor:"10,keyasint,omitempty" json:"evictions"`
	// History holds the changes of the task, oldest first.
	History []Change `cbor:"11,keyasint,omitempty" json:"history"`
	// Incarnation is the incarnation of the worker's side process for which the attempt was placed. No other incarnation
	// may start the attempt, because it cannot know whether the earlier one did.
	Incarnation uint64 `cbor:"12,keyasint,omitempty" json:"-"`
}

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	// JobOpen jobs have tasks that have not ended.
	JobOpen JobState = "open"
	// JobFinished jobs have finished all tasks.
	JobFinished JobState = "finished"
	// JobFailed jobs have ended, and at least one task failed.
	JobFailed JobState = "failed"
	// JobCancelled jobs were cancelled.
	JobCancelled JobState = "cancelled"
	// JobRefused jobs were rejected by the scheduler because they can never run.
	JobRefused JobState = "refused"
)

// Job is a job and its tasks.
type Job struct {
	Spec  record.Job `cbor:"1,keyasint" json:"spec"`
	State JobState   `cbor:"2,keyasint" json:"state"`
	// Tasks holds the ids of the job's tasks, replicas added later included.
	Tasks []string `cbor:"3,keyasint" json:"tasks"`
	// Open is the number of tasks that have not ended.
	Open int `cbor:"4,keyasint" json:"open"`
	// FailedTasks is the number of tasks that failed.
	FailedTasks int `cbor:"5,keyasint,omitempty" json:"bad"`
	// Cancelling is true once a cancellation was applied.
	Cancelling bool `cbor:"6,keyasint,omitempty" json:"cancelling"`
	// History holds the changes of the job, oldest first.
	History []Change `cbor:"7,keyasint" json:"history"`
}

// State is the state of a region's jobs, tasks and workers at one log offset.
type State struct {
	// Next is the first offset that is not applied yet.
	Next uint64 `cbor:"1,keyasint"`
	// Epoch is the offset of the newest decider claim; 0 for none.
	Epoch uint64 `cbor:"2,keyasint"`
	// Decider is the newest decider claim, with the witness updated by later records.
	Decider record.DeciderClaim `cbor:"3,keyasint"`
	// DeciderID and DeciderIncarnation identify the writer of the claim.
	DeciderID          string `cbor:"4,keyasint"`
	DeciderIncarnation uint64 `cbor:"5,keyasint"`
	// Workers, Jobs and Tasks are indexed by id.
	Workers map[string]*Worker `cbor:"6,keyasint"`
	Jobs    map[string]*Job    `cbor:"7,keyasint"`
	Tasks   map[string]*Task   `cbor:"8,keyasint"`
	// EndedJobs holds the ids of ended jobs, oldest first, for trimming.
	EndedJobs []string `cbor:"9,keyasint"`
	// Writers holds the newest incarnation and sequence number of each writer, so that repeated records are dropped.
	Writers record.Sequences `cbor:"10,keyasint"`
	// Learned is the scheduler's exported statistics as of the newest snapshot.
	Learned []byte `cbor:"11,keyasint,omitempty"`
	// OlderEpochs holds the epochs before Epoch whose deciders may still act.
	OlderEpochs []record.OlderEpoch `cbor:"12,keyasint,omitempty"`
	// ResignedEpoch is the newest epoch whose decider resigned.
	ResignedEpoch uint64 `cbor:"13,keyasint,omitempty"`
	// Tombstones holds hashes of the ids of trimmed jobs, oldest first, so that the ids are not reused and queries for them
	// can be answered with "expired".
	Tombstones []uint64 `cbor:"14,keyasint,omitempty"`

	// endedTasks counts the tasks of the jobs in Ended.
	endedTasks int
	// openServices holds the ids of service jobs that have not ended.
	openServices map[string]struct{}
	tombstoneSet map[uint64]struct{}
}

// New returns an empty state.
func New() *State {
	return &State{
		Next: 1, Workers: make(map[string]*Worker), Jobs: make(map[string]*Job), Tasks: make(map[string]*Task),
		Writers: make(record.Sequences), tombstoneSet: make(map[uint64]struct{}),
		openServices: make(map[string]struct{}),
	}
}

// Reindex rebuilds what a snapshot does not hold: derived indexes, and maps that decode as nil because they were empty.
func (s *State) Reindex() {
	for _, w := range s.Workers {
		if w.Tasks == nil {
			w.Tasks = make(map[string]struct{})
		}
	}
	s.openServices = make(map[string]struct{})
	for id, job := range s.Jobs {
		if job.State == JobOpen && job.Spec.Kind == record.ServiceJob {
			s.openServices[id] = struct{}{}
		}
	}
	s.endedTasks = 0
	for _, id := range s.EndedJobs {
		s.endedTasks += len(s.Jobs[id].Tasks)
	}
	s.tombstoneSet = make(map[uint64]struct{}, len(s.Tombstones))
	for _, h := range s.Tombstones {
		s.tombstoneSet[h] = struct{}{}
	}
}

// JobExpired reports whether a job with the id ended and was trimmed.
func (s *State) JobExpired(id string) bool {
	_, ok := s.tombstoneSet[xxhash.Sum64String(id)]
	return ok
}

// TaskID returns the id of a job's task.
func TaskID(job string, index int) string {
	return job + "#" + strconv.Itoa(index)
}

// WorkerIDs returns the ids of all workers, sorted.
func (s *State) WorkerIDs() []string {
	return sortedKeys(s.Workers)
}

// OpenServices returns the ids of the service jobs that have not ended, sorted.
func (s *State) OpenServices() []string {
	return sortedKeys(s.openServices)
}

// JobIDs returns the ids of all jobs, sorted.
func (s *State) JobIDs() []string {
	return sortedKeys(s.Jobs)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// String returns a one-line summary of the state.
func (s *State) String() string {
	return fmt.Sprintf("epoch %d, %d workers, %d jobs, %d tasks", s.Epoch, len(s.Workers), len(s.Jobs), len(s.Tasks))
}
