// Package tasks folds stream sched.<region>: jobs, tasks, workers and what is committed to them.
//
// Every reader folds the same records to the same state. Decisions that are void, because their epoch is old or
// because an earlier record contradicts them, are dropped by every reader alike.
package tasks

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/record"
)

// Limits on what a process keeps.
const (
	// maxEndedJobs bounds ended jobs kept for their accounts: about two days at 8,600 jobs a day.
	maxEndedJobs = 20_000
	// maxEndedTasks bounds the tasks of these jobs: at 1.1 KB a task they keep an entry well below 128 MB.
	maxEndedTasks = 40_000
	// maxExpired bounds the ids kept of trimmed jobs: about three weeks at 8,600 jobs a day, 1.6 MB in a snapshot.
	maxExpired = 200_000
	// maxOlder bounds the older epochs kept apart. More of them only arise when deciders change faster than their
	// authority ends; the oldest are then merged and waited for.
	maxOlder = 16
	// MaxHistory bounds the changes kept per task; the first one and the newest ones stay.
	MaxHistory = 24
	// maxFailures is how many attempts of a task may fail before the task fails.
	maxFailures = 3
)

// Change is one step in the account of a job or task.
type Change struct {
	// Offset is the record that made the change.
	Offset uint64 `cbor:"1,keyasint" json:"offset"`
	// AtMs is the writer's wall clock in Unix milliseconds.
	AtMs int64 `cbor:"2,keyasint" json:"at_ms"`
	// State is the state after the change.
	State string `cbor:"3,keyasint" json:"state"`
	// Cause says why.
	Cause string `cbor:"4,keyasint,omitempty" json:"cause"`
	// Worker is the worker concerned, if any.
	Worker string `cbor:"5,keyasint,omitempty" json:"worker,omitempty"`
	// Attempt is the attempt concerned, if any.
	Attempt uint32 `cbor:"6,keyasint,omitempty" json:"attempt,omitempty"`
	// CheckpointMs is the task's last checkpoint at the change; an attempt that starts resumes from it.
	CheckpointMs int64 `cbor:"7,keyasint,omitempty" json:"checkpoint_ms,omitempty"`
}

// Worker is a worker and what is committed to it.
type Worker struct {
	ID          string           `cbor:"1,keyasint" json:"id"`
	Zone        string           `cbor:"2,keyasint" json:"zone"`
	Rack        string           `cbor:"3,keyasint" json:"rack"`
	Capacity    record.Resources `cbor:"4,keyasint" json:"capacity"`
	Committed   record.Resources `cbor:"5,keyasint" json:"committed"`
	Incarnation uint64           `cbor:"6,keyasint" json:"incarnation"`
	// Lost is true when the worker was out of contact until all its leases ended.
	Lost bool `cbor:"7,keyasint,omitempty" json:"lost"`
	// Tasks holds the ids of tasks that the worker is committed to.
	Tasks map[string]struct{} `cbor:"8,keyasint,omitempty" json:"-"`
}

// Task is one task of a job.
type Task struct {
	ID    string              `cbor:"1,keyasint" json:"id"`
	Job   string              `cbor:"2,keyasint" json:"job"`
	State lifecycle.TaskState `cbor:"3,keyasint" json:"state"`
	// Attempt is the newest attempt; 0 before the first.
	Attempt uint32 `cbor:"4,keyasint" json:"attempt"`
	// Worker is committed to the attempt while the task is placed.
	Worker string           `cbor:"5,keyasint,omitempty" json:"worker,omitempty"`
	Size   record.Resources `cbor:"6,keyasint,omitempty" json:"size"`
	// Epoch is the epoch that placed the attempt.
	Epoch uint64 `cbor:"7,keyasint,omitempty" json:"epoch"`
	// CheckpointMs is the progress from which the next attempt resumes.
	CheckpointMs int64 `cbor:"8,keyasint,omitempty" json:"checkpoint_ms"`
	// Failures counts failed attempts.
	Failures int `cbor:"9,keyasint,omitempty" json:"failures"`
	// Evictions counts evictions.
	Evictions int `cbor:"10,keyasint,omitempty" json:"evictions"`
	// History is the account of the task.
	History []Change `cbor:"11,keyasint,omitempty" json:"history"`
	// Incarnation is the incarnation of the worker's side process for which the attempt was placed. No other run of
	// the side process may start the attempt, because it cannot know whether the earlier one did.
	Incarnation uint64 `cbor:"12,keyasint,omitempty" json:"-"`
}

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	// JobOpen jobs have tasks that are not ended.
	JobOpen JobState = "open"
	// JobFinished jobs have finished all tasks.
	JobFinished JobState = "finished"
	// JobFailed jobs have ended and some task failed or was lost.
	JobFailed JobState = "failed"
	// JobCancelled jobs were cancelled.
	JobCancelled JobState = "cancelled"
	// JobRefused jobs can never run.
	JobRefused JobState = "refused"
)

// Job is a job and its tasks.
type Job struct {
	Spec  record.Job `cbor:"1,keyasint" json:"spec"`
	State JobState   `cbor:"2,keyasint" json:"state"`
	// Tasks holds the ids of the job's tasks, replicas added later included.
	Tasks []string `cbor:"3,keyasint" json:"tasks"`
	// Open counts tasks that are not ended.
	Open int `cbor:"4,keyasint" json:"open"`
	// Bad counts tasks that failed or were lost and not replaced.
	Bad int `cbor:"5,keyasint,omitempty" json:"bad"`
	// Cancelling is true once a cancel is on record.
	Cancelling bool `cbor:"6,keyasint,omitempty" json:"cancelling"`
	// History is the account of the job.
	History []Change `cbor:"7,keyasint" json:"history"`
}

// State is the region at one offset.
type State struct {
	// Next is the first offset not folded.
	Next uint64 `cbor:"1,keyasint"`
	// Epoch is the offset of the newest decider claim; 0 for none.
	Epoch uint64 `cbor:"2,keyasint"`
	// Decider is the newest claim, with its witness as changed since.
	Decider record.DeciderClaim `cbor:"3,keyasint"`
	// DeciderID and DeciderIncarnation name the writer of the claim.
	DeciderID          string `cbor:"4,keyasint"`
	DeciderIncarnation uint64 `cbor:"5,keyasint"`
	// Workers, Jobs and Tasks by id.
	Workers map[string]*Worker `cbor:"6,keyasint"`
	Jobs    map[string]*Job    `cbor:"7,keyasint"`
	Tasks   map[string]*Task   `cbor:"8,keyasint"`
	// Ended holds ended jobs, oldest first, for trimming.
	Ended []string `cbor:"9,keyasint"`
	// Writers drops repeated records.
	Writers record.Sequences `cbor:"10,keyasint"`
	// Learned is the scheduler's digest at the newest snapshot.
	Learned []byte `cbor:"11,keyasint,omitempty"`
	// Older holds epochs before Epoch whose deciders may still act.
	Older []record.OlderEpoch `cbor:"12,keyasint,omitempty"`
	// Resigned is the newest epoch whose decider resigned.
	Resigned uint64 `cbor:"13,keyasint,omitempty"`
	// Expired holds hashes of the ids of jobs that were trimmed, oldest first, so that their ids are not used again
	// and an account can say "expired".
	Expired []uint64 `cbor:"14,keyasint,omitempty"`

	// endedTasks counts the tasks of the jobs in Ended.
	endedTasks int
	// services holds the ids of service jobs that have not ended.
	services map[string]struct{}
	expired  map[uint64]struct{}
}

// New returns an empty state.
func New() *State {
	return &State{
		Next: 1, Workers: make(map[string]*Worker), Jobs: make(map[string]*Job), Tasks: make(map[string]*Task),
		Writers: make(record.Sequences), expired: make(map[uint64]struct{}),
		services: make(map[string]struct{}),
	}
}

// Reindex fixes maps that decode as nil when they were empty.
func (s *State) Reindex() {
	for _, w := range s.Workers {
		if w.Tasks == nil {
			w.Tasks = make(map[string]struct{})
		}
	}
	s.services = make(map[string]struct{})
	for id, job := range s.Jobs {
		if job.State == JobOpen && job.Spec.Kind == record.ServiceJob {
			s.services[id] = struct{}{}
		}
	}
	s.endedTasks = 0
	for _, id := range s.Ended {
		s.endedTasks += len(s.Jobs[id].Tasks)
	}
	s.expired = make(map[uint64]struct{}, len(s.Expired))
	for _, h := range s.Expired {
		s.expired[h] = struct{}{}
	}
}

// JobExpired reports whether a job with the id ended and its account was trimmed.
func (s *State) JobExpired(id string) bool {
	_, ok := s.expired[xxhash.Sum64String(id)]
	return ok
}

// TaskID returns the id of a job's task.
func TaskID(job string, index int) string {
	return job + "#" + strconv.Itoa(index)
}

// WorkerIDs returns the ids of all workers in order.
func (s *State) WorkerIDs() []string {
	return sortedKeys(s.Workers)
}

// OpenServices returns the ids of service jobs that have not ended, in order.
func (s *State) OpenServices() []string {
	return sortedKeys(s.services)
}

// JobIDs returns the ids of all jobs in order.
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

// String summarizes the state.
func (s *State) String() string {
	return fmt.Sprintf("epoch %d, %d workers, %d jobs, %d tasks", s.Epoch, len(s.Workers), len(s.Jobs), len(s.Tasks))
}
