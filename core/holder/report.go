package holder

import (
	"github.com/verbenakeel/verbenakeel/external"
)

// Conditions under which a poll leaves out a measurement that the decider has.
const (
	// changeDivisor is the relative change, as a divisor, above which a value is sent again: 1/20 is 5%.
	changeDivisor = 20
	// maxSampleAgeMs is the age in milliseconds from which a measurement is sent again even if it has not changed.
	maxSampleAgeMs = 10_000
)

// Report is the part of a poll that describes the attempts that the worker runs.
type Report struct {
	// Held lists the running attempts. If ByDigest is true, it is empty and HeldDigest is sent in its place.
	Held       []AttemptRef
	ByDigest   bool
	HeldDigest uint64
	// Usage holds all measurements or, if UsagePartial is true, those that changed. The others have the values that the
	// decider has stored and the age UsageAgeMs. UsageDigest is the digest of all measured attempts.
	Usage        []external.TaskUsage
	UsagePartial bool
	UsageAgeMs   int64
	UsageDigest  uint64
}

// sample is a measurement that was sent to the decider.
type sample struct {
	external.TaskUsage
	// sentMs is the worker's clock when it was sent.
	sentMs int64
}

// RunningAttempts returns the running attempts of a worker's status.
func RunningAttempts(status external.WorkerStatus) []AttemptRef {
	var held []AttemptRef
	for _, t := range status.Tasks {
		if t.State == external.TaskRunning {
			held = append(held, AttemptRef{t.Task, t.Attempt})
		}
	}
	return held
}

// Report returns the report of a poll. Call it once for each poll. Measurements that were sent with a poll without an
// accepted reply are sent again, since the poll may have been lost.
func (s *State) Report(p Poll) Report {
	r := Report{Held: RunningAttempts(p.Status)}
	if s.heldKnown {
		r.ByDigest, r.HeldDigest, r.Held = true, Digest(r.Held), nil
	}
	s.pending = make(map[string]sample)
	age, sameAge := commonAge(p.Status.Usage)
	var measured []AttemptRef
	for _, u := range p.Status.Usage {
		measured = append(measured, AttemptRef{u.Task, u.Attempt})
		old, known := s.samples[u.Task]
		if s.usageKnown && sameAge && known && !changed(old.TaskUsage, u) && p.Status.NowMs < old.sentMs+maxSampleAgeMs {
			continue
		}
		delete(s.samples, u.Task)
		s.pending[u.Task] = sample{u, p.Status.NowMs}
		r.Usage = append(r.Usage, u)
	}
	r.UsagePartial = s.usageKnown && sameAge
	if r.UsagePartial {
		r.UsageAgeMs, r.UsageDigest = age, Digest(measured)
	}
	return r
}

// commonAge returns the age of all measurements, or false if their ages differ.
func commonAge(list []external.TaskUsage) (int64, bool) {
	for _, u := range list {
		if u.AgeMs != list[0].AgeMs {
			return 0, false
		}
	}
	if len(list) == 0 {
		return 0, true
	}
	return list[0].AgeMs, true
}

func changed(old, u external.TaskUsage) bool {
	return old.Attempt != u.Attempt ||
		differs(old.Used.CPUMilli, u.Used.CPUMilli) || differs(old.Used.MemoryMB, u.Used.MemoryMB) ||
		differs(old.Used.Accelerators, u.Used.Accelerators) || differs(old.SpeedMilli, u.SpeedMilli) ||
		differs(old.LatencyP99Us, u.LatencyP99Us)
}

func differs(old, v int64) bool {
	d := v - old
	if d < 0 {
		d = -d
	}
	return d*changeDivisor > max(old, 0)
}

// updateAcknowledged records what the decider has stored, as stated by an accepted reply.
func (s *State) updateAcknowledged(p Poll, r Reply) {
	s.heldKnown, s.usageKnown = r.HeldKnown, r.UsageKnown
	if !s.usageKnown {
		clear(s.samples)
	}
	measured := make(map[string]bool, len(p.Status.Usage))
	for _, u := range p.Status.Usage {
		measured[u.Task] = true
	}
	for task, v := range s.pending {
		s.samples[task] = v
	}
	for task := range s.samples {
		if !measured[task] {
			delete(s.samples, task)
		}
	}
	s.pending = nil
}
