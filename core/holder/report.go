package holder

import (
	"github.com/verbenakeel/verbenakeel/external"
)

// Limits of the measurements that a poll leaves out.
const (
	// movedPart is the part of a value, as a divisor, by which it has to move to be sent again: 5%.
	movedPart = 20
	// sampleMaxMs is the age in milliseconds from which a measurement that was sent is sent again.
	sampleMaxMs = 10_000
)

// Report is what a poll says of the attempts that the worker runs.
type Report struct {
	// Held lists the running attempts. It is empty if ByDigest, when HeldDigest stands for it.
	Held       []Renewal
	ByDigest   bool
	HeldDigest uint64
	// Usage holds measurements: all of them, or if UsagePartial those that moved. The others are as the decider knows
	// them and as old as UsageAgeMs, and UsageDigest is the digest of all attempts measured.
	Usage        []external.TaskUsage
	UsagePartial bool
	UsageAgeMs   int64
	UsageDigest  uint64
}

// sample is a measurement that the decider has.
type sample struct {
	external.TaskUsage
	// sentMs is the worker's clock when it was sent.
	sentMs int64
}

// HeldOf returns the attempts that run by a worker's status.
func HeldOf(status external.WorkerStatus) []Renewal {
	var held []Renewal
	for _, t := range status.Tasks {
		if t.State == external.TaskRunning {
			held = append(held, Renewal{t.Task, t.Attempt})
		}
	}
	return held
}

// Report returns what a poll says. Call it once for each poll. What the decider was told with a poll whose answer was not
// taken is told again, since it may not have arrived.
func (s *State) Report(p Poll) Report {
	r := Report{Held: HeldOf(p.Status)}
	if s.heldKnown {
		r.ByDigest, r.HeldDigest, r.Held = true, Digest(r.Held), nil
	}
	s.pending = make(map[string]sample)
	age, same := commonAge(p.Status.Usage)
	var measured []Renewal
	for _, u := range p.Status.Usage {
		measured = append(measured, Renewal{u.Task, u.Attempt})
		old, known := s.samples[u.Task]
		if s.usageKnown && same && known && !moved(old.TaskUsage, u) && p.Status.NowMs < old.sentMs+sampleMaxMs {
			continue
		}
		delete(s.samples, u.Task)
		s.pending[u.Task] = sample{u, p.Status.NowMs}
		r.Usage = append(r.Usage, u)
	}
	r.UsagePartial = s.usageKnown && same
	if r.UsagePartial {
		r.UsageAgeMs, r.UsageDigest = age, Digest(measured)
	}
	return r
}

// commonAge returns the age of all measurements, or false if they differ.
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

func moved(old, u external.TaskUsage) bool {
	return old.Attempt != u.Attempt || far(old.Used.CPUMilli, u.Used.CPUMilli) || far(old.Used.MemoryMB, u.Used.MemoryMB) ||
		far(old.Used.Accelerators, u.Used.Accelerators) || far(old.SpeedMilli, u.SpeedMilli) || far(old.LatencyP99Us, u.LatencyP99Us)
}

func far(old, v int64) bool {
	d := v - old
	if d < 0 {
		d = -d
	}
	return d*movedPart > max(old, 0)
}

// told notes what the decider knows after a reply was taken.
func (s *State) told(p Poll, r Reply) {
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
