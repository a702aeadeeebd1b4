// Package work defines queues, jobs and their progress, and the form in which they are stored.
package work

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Limits of a submission.
const (
	// maxSpec bounds a spec in bytes, as the platform documents.
	maxSpec = 4000
	// MaxSteps and maxTasks bound the steps and the tasks of a job, so that one progress record fits the store's limit of 256 KB.
	MaxSteps = 64
	maxTasks = 8000
	// maxSize bounds each resource amount and duration of a task, so that sums cannot overflow.
	maxSize = 1 << 40
	// maxRepeat bounds the occurrences of a scheduled job: one a minute for more than a year.
	maxRepeat = 1_000_000
	// MaxOpenOccurrences and MaxOpenTasks bound the unfinished occurrences of a job that are open at once, and their tasks, so that
	// memory and progress record stay bounded. One occurrence may have more tasks. Further ones wait until others have finished or are
	// suspended.
	MaxOpenOccurrences = 1000
	MaxOpenTasks       = 4000
	// maxCores bounds the published size of a process in cores.
	maxCores = 1024
)

// Queue is a queue of jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix route requests to the queue.
	Host   string `cbor:"-"`
	Prefix string `cbor:"-"`
	// Service names the workers that run its tasks.
	Service string `cbor:"2,keyasint"`
	// Priority 0 is the highest.
	Priority int `cbor:"3,keyasint"`
	// Attempts is the number of failed attempts after which a task fails.
	Attempts int `cbor:"4,keyasint"`
	// Stretch times the critical path, plus TargetMs, is the completion time objective.
	Stretch  float64 `cbor:"5,keyasint"`
	TargetMs int64   `cbor:"6,keyasint"`
	// TimeoutMs is the time that a caller waits for a response.
	TimeoutMs int64 `cbor:"-"`
	// Advice is set if only workers that the adviser names may run the queue's steps.
	Advice *Advice `cbor:"7,keyasint,omitempty"`
}

// Advice is the adviser's configuration for a queue.
type Advice struct {
	// ValidMs is how long a ticket is valid.
	ValidMs int64 `cbor:"1,keyasint"`
	// DecideMs is how long the adviser takes for a call, and EachMs how much longer for each worker that the call names, both
	// in milliseconds. Records of earlier versions have neither.
	DecideMs float64 `cbor:"2,keyasint,omitempty"`
	EachMs   float64 `cbor:"3,keyasint,omitempty"`
}

// CallMs returns how long the adviser takes for a call that names workers, in milliseconds.
func (a *Advice) CallMs(workers int) float64 { return a.DecideMs + a.EachMs*float64(workers) }

// Service is a pool of workers.
type Service struct {
	Name string
	// Spare means that the service's instances are switched off.
	Spare bool
}

// Config is a version of the platform's configuration.
type Config struct {
	// Version increases with each change.
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBody bounds the body of a request in bytes.
	MaxBody int
}

// OperatorChange is a change that the operator has written to the store.
type OperatorChange interface{ operatorChange() }

// ConfigChanged is a new configuration.
type ConfigChanged struct{ Config *Config }

// ZoneEvacuated takes an availability zone out of service or returns it to service.
type ZoneEvacuated struct {
	Zone      string
	Evacuated bool
}

// MaintenanceRequested requests maintenance of instances.
type MaintenanceRequested struct {
	Number    int64
	Instances []string
	// MaxDown is the maximum number of instances that may be down at once.
	MaxDown int
	// Duration is the time limit of the maintenance.
	Duration time.Duration
}

func (ConfigChanged) operatorChange()        {}
func (ZoneEvacuated) operatorChange()        {}
func (MaintenanceRequested) operatorChange() {}

// Step is a step of a job.
type Step struct {
	// Count is the number of its tasks.
	Count int `cbor:"1,keyasint"`
	// CPU is in thousandths of a core, MemMB in MB, GPU in accelerators; all are per task.
	CPU   int64 `cbor:"2,keyasint,omitempty"`
	MemMB int64 `cbor:"3,keyasint,omitempty"`
	GPU   int64 `cbor:"4,keyasint,omitempty"`
	// EstMs is a rough estimate of a task's duration in milliseconds.
	EstMs int64 `cbor:"5,keyasint,omitempty"`
	// DependsOn lists steps that must complete first.
	DependsOn      []int `cbor:"6,keyasint,omitempty"`
	Checkpointable bool  `cbor:"7,keyasint,omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `cbor:"8,keyasint,omitempty"`
	// RackLocal means that the tasks are slower when spread over several racks.
	RackLocal bool `cbor:"9,keyasint,omitempty"`
	// Requires is a label that a worker needs to run the tasks.
	Requires string `cbor:"10,keyasint,omitempty"`
	// Rack is the rack of the input data; the tasks are slower on other racks.
	Rack string `cbor:"11,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int  `cbor:"12,keyasint,omitempty"`
	Speculative  bool `cbor:"13,keyasint,omitempty"`
	// LongRunning tasks are long-running: they run until the job is cancelled.
	LongRunning bool `cbor:"14,keyasint,omitempty"`
	// Image names the program that the tasks run.
	Image string `cbor:"15,keyasint,omitempty"`
	// TargetMs is the tail latency target of a latency-critical task; 0 for other tasks.
	TargetMs int64 `cbor:"16,keyasint,omitempty"`
	// BestEffort tasks are best-effort: they use only CPU time that other tasks leave idle.
	BestEffort bool `cbor:"17,keyasint,omitempty"`
	// MaxUnavailable is the maximum number of tasks that may be unavailable at once by the system's own actions.
	MaxUnavailable int `cbor:"18,keyasint,omitempty"`
}

// Job is an accepted job.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// Repeat is the number of occurrences of a scheduled job; 0 for other jobs. Occurrence k is due at StartAtMs + k x
	// IntervalMs, in Unix milliseconds.
	Repeat     int   `cbor:"5,keyasint,omitempty"`
	StartAtMs  int64 `cbor:"6,keyasint,omitempty"`
	IntervalMs int64 `cbor:"7,keyasint,omitempty"`
	// AcceptedMs is the wall clock of the accepting entry in Unix milliseconds. It is used only to order jobs.
	AcceptedMs int64 `cbor:"8,keyasint"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// LongRunning reports whether the job is long-running, that is, runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

var jobIDPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// ValidID reports whether id is a valid job ID.
func ValidID(id string) bool { return jobIDPattern.MatchString(id) }

// Check returns an error that names the first invalid field of j, or nil.
func Check(j *Job) error {
	if len(j.Spec) > maxSpec {
		return errdefs.Field("spec", fmt.Sprintf("has %d bytes", len(j.Spec)), fmt.Sprintf("send at most %d", maxSpec))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errdefs.Field("steps", fmt.Sprintf("has %d entries", len(j.Steps)), fmt.Sprintf("send 1 to %d", MaxSteps))
	}
	if j.Repeat < 0 || j.IntervalMs < 0 || j.StartAtMs < 0 {
		return errdefs.Field("repeat", "is negative", "send numbers from 0 on")
	}
	if j.Repeat > maxRepeat || j.IntervalMs > maxSize || j.StartAtMs > maxSize<<8 {
		return errdefs.Field("repeat", "is out of range", fmt.Sprintf("send at most %d occurrences", maxRepeat))
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		name := fmt.Sprintf("steps[%d]", i)
		if s.Count < 1 || s.Count > maxTasks {
			return errdefs.Field(name+".count", strconv.Itoa(s.Count), fmt.Sprintf("send 1 to %d", maxTasks))
		}
		for _, v := range []int64{s.CPU, s.MemMB, s.GPU, s.EstMs, s.TargetMs, int64(s.MaxPerWorker), int64(s.MaxUnavailable)} {
			if v < 0 || v > maxSize {
				return errdefs.Field(name, "has a size out of range", "send numbers from 0 on")
			}
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return errdefs.Field(name+".depends_on", strconv.Itoa(d), "name earlier steps")
			}
		}
		tasks += s.Count
	}
	if tasks > maxTasks {
		return errdefs.Field("steps", fmt.Sprintf("have %d tasks", tasks), fmt.Sprintf("send at most %d", maxTasks))
	}
	if j.IntervalMs == 0 && j.Repeat > maxTasks/tasks {
		return errdefs.Field("interval_ms", fmt.Sprintf("is 0, so that %d occurrences are due at once", j.Repeat), fmt.Sprintf("send at most %d tasks at once", maxTasks))
	}
	if j.LongRunning() && j.Repeat > j.MaxOpen() {
		return errdefs.Field("repeat", fmt.Sprintf("is %d, and occurrences of a long-running job do not end", j.Repeat), fmt.Sprintf("send at most %d", j.MaxOpen()))
	}
	return nil
}

// MaxOpen returns how many unfinished occurrences of the job may be open at once.
func (j *Job) MaxOpen() int { return min(max(MaxOpenTasks/j.Tasks(), 1), MaxOpenOccurrences) }

// Tasks returns the number of tasks of one occurrence, at least 1.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return max(n, 1)
}

// CheckAddress returns an error if another process could not use a published address, or nil.
func CheckAddress(a *ProcessAddress) error {
	if ap, err := netip.ParseAddrPort(a.Address); err != nil || ap.Port() == 0 {
		return errdefs.Field("address", fmt.Sprintf("%.100q is not an IP address and port", a.Address), "publish the address of the listener")
	}
	if !(a.Cores >= 0 && a.Cores <= maxCores) {
		return errdefs.Field("cores", fmt.Sprint(a.Cores), fmt.Sprintf("publish 0 to %d", maxCores))
	}
	return nil
}

// InRange reports whether a reported amount, such as the memory of a worker, can be used in sums.
func InRange(v int64) bool { return v >= 0 && v <= maxSize }

// TaskName identifies a task of a job. Occurrence is 0 for a job that is not repeated.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the task ID that workers use.
func (n TaskName) String() string {
	b := make([]byte, 0, len(n.Job)+16)
	b = append(b, n.Job...)
	for _, v := range [...]int{n.Occurrence, n.Step, n.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(v), 10)
	}
	return string(b)
}

// ParseTaskName parses a task ID.
func ParseTaskName(s string) (TaskName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	n := TaskName{Job: parts[0]}
	for i, into := range []*int{&n.Occurrence, &n.Step, &n.Index} {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskName{}, false
		}
		*into = v
	}
	return n, true
}

// JobState is the state of a job.
type JobState uint8

// States of jobs.
const (
	Queued JobState = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the state's name.
func (s JobState) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether the state is terminal.
func (s JobState) Final() bool { return s >= Completed }

// Checkpoints holds the stored checkpoints of a job.
type Checkpoints struct {
	Tasks []TaskCheckpoint `cbor:"1,keyasint"`
}

// TaskCheckpoint is the newest stored checkpoint of a task that has not completed. All members of a gang have the same;
// earlier versions stored different ones.
type TaskCheckpoint struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	Checkpoint              string
}

// Claim is a claim to be the decider.
type Claim struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Instance is the entry that claims.
	Instance string `cbor:"2,keyasint"`
	// Nonce distinguishes claims of one entry.
	Nonce uint64 `cbor:"3,keyasint"`
	// Resigned means that the entry has resigned as the decider and another entry may claim at once.
	Resigned bool `cbor:"4,keyasint,omitempty"`
}

// ProcessAddress is the address at which an entry or a side process accepts connections.
type ProcessAddress struct {
	Instance string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	Zone     string `cbor:"3,keyasint"`
	// Cores is the CPU limit of an entry in cores; 0 for side processes.
	Cores float64 `cbor:"4,keyasint,omitempty"`
}

// Encode returns the stored form of v, which is one of this package's types. It panics if v cannot be encoded.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// Decode decodes the stored form into v.
func Decode(data []byte, v any) error {
	if err := cbor.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, errdefs.New(errdefs.Incompatible, err.Error(), "upgrade this process"))
	}
	return nil
}
