package work

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Progress is the stored progress of a job.
type Progress struct {
	State JobState `cbor:"1,keyasint"`
	// Workers lists the instances that Tasks refers to.
	Workers []string `cbor:"2,keyasint,omitempty"`
	// Stages holds the steps of which a task was started. A step that is absent has not started, whether its occurrence is
	// before or after those that are named; it is not done.
	Stages []StageProgress `cbor:"3,keyasint,omitempty"`
	// Closed holds, in ascending order, occurrences that Stages does not name and that are finished or suspended. It is used only for jobs
	// of which not all occurrences are kept; earlier versions use it for large records.
	Closed []OccurrenceRange `cbor:"4,keyasint,omitempty"`
	// Suspended holds what the suspended occurrences of Closed have done.
	Suspended []SuspendedProgress `cbor:"5,keyasint,omitempty"`
}

// OccurrenceRange is a range of occurrences with the same progress, From included and To excluded.
type OccurrenceRange struct {
	From, To int
	// Progress is one more than the index in Progress.Suspended; 0 if all tasks have completed.
	Progress int
}

// MarshalCBOR encodes a range of finished occurrences as an array of two numbers, and one of suspended occurrences as an array of three.
// Versions that do not know suspended occurrences cannot decode the latter, so that they leave the job alone instead of running completed
// tasks again.
func (r OccurrenceRange) MarshalCBOR() ([]byte, error) {
	if r.Progress == 0 {
		return cbor.Marshal([2]int{r.From, r.To})
	}
	return cbor.Marshal([3]int{r.From, r.To, r.Progress})
}

// UnmarshalCBOR decodes both forms of MarshalCBOR.
func (r *OccurrenceRange) UnmarshalCBOR(data []byte) error {
	var fields []int
	if err := cbor.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) != 2 && len(fields) != 3 {
		return fmt.Errorf("a range of occurrences has %d numbers, not 2 or 3", len(fields))
	}
	*r = OccurrenceRange{From: fields[0], To: fields[1]}
	if len(fields) == 3 {
		r.Progress = fields[2]
	}
	return nil
}

// SuspendedProgress is what each of several occurrences has done. None of their tasks has an active run.
type SuspendedProgress struct {
	// Steps holds the steps of which a task was started, in ascending order.
	Steps []SuspendedStep `cbor:"1,keyasint,omitempty"`
}

// SuspendedStep is the progress of a step of suspended occurrences.
type SuspendedStep struct {
	_    struct{} `cbor:",toarray"`
	Step int
	// AllDone is true if all tasks have completed. Done is a bitmap of those that have if only some have.
	AllDone bool
	Done    []byte
	// Run is at least the highest run number of the tasks that have not completed.
	Run int
	// Failed holds the failed runs of tasks that have not completed.
	Failed []FailedRuns
}

// FailedRuns holds the numbers of the failed runs of a task.
type FailedRuns struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Runs  []int
}

// Check returns an error if the progress refers to what it does not hold, or nil.
func (p *Progress) Check() error {
	for _, r := range p.Closed {
		if r.Progress < 0 || r.Progress > len(p.Suspended) {
			return errdefs.New(errdefs.Invalid, fmt.Sprintf("the occurrences %d to %d have progress %d of %d", r.From, r.To-1, r.Progress, len(p.Suspended)), "cancel the job and submit it again")
		}
	}
	return nil
}

// DecodeProgress decodes and checks the stored progress of a job.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := Decode(data, p); err != nil {
		return nil, err
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("decode the progress of a job: %w", err)
	}
	return p, nil
}

// HasActiveRuns reports whether a run may still be active.
func (p *Progress) HasActiveRuns() bool {
	for _, st := range p.Stages {
		for _, t := range st.Tasks {
			if t.Worker > 0 {
				return true
			}
		}
	}
	return false
}

// StageProgress is the progress of a step of one occurrence.
type StageProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	// Done is a bitmap of the tasks that have completed.
	Done []byte
	// Tasks holds the tasks that were started or failed and have not completed.
	Tasks []TaskProgress
}

// TaskProgress is the stored progress of a task that has not completed.
type TaskProgress struct {
	_     struct{} `cbor:",toarray"`
	Index int
	// Run is the number of the newest run.
	Run int
	// Failed holds the numbers of failed runs.
	Failed []int
	// Worker is one more than the index in Workers of the instance on which Run may be active; 0 if Run has ended.
	Worker int
	// Checkpoint is the newest known checkpoint in records of earlier versions; later ones store Checkpoints.
	Checkpoint string
}
