package dispatch

import "slices"

const (
	// sizeSamples is the number of recent jobs of a queue by which a job counts as large, minSizeSamples the number from
	// which on it does.
	sizeSamples    = 64
	minSizeSamples = 20
	// largestShare and largeShare are the parts of the jobs of a queue that are smaller than its largest tenth, and than
	// the fifth below that.
	largestShare = 0.9
	largeShare   = 0.7
	// servedDecay is the weight that earlier results keep with each new one, so that about the last hundred count.
	servedDecay = 0.99
	// minServedShare is the part of the service of a queue below which its large jobs are preferred. They may not be
	// served less than half as often, and results come late.
	minServedShare = 0.6
	// preferredFactor times its loss ratio is that of a preferred job, so that small jobs that have not begun are deferred
	// before it.
	preferredFactor = 0.5
)

// sizeClass is the size of a job among the recent ones of its queue.
type sizeClass int

const (
	ordinary sizeClass = iota
	// large jobs are those of the fifth below the largest tenth.
	large
	// largest jobs are those of the largest tenth.
	largest
	sizeClasses
)

// sizeBalance compares how often the large jobs of a queue are served with the queue. An order that defers the jobs with
// the most work would otherwise never serve them while capacity does not suffice.
type sizeBalance struct {
	sizes         []float64
	next          int
	served, ended [sizeClasses]float64
}

// add adds the work of a new job and returns its class.
func (b *sizeBalance) add(coreMs float64) sizeClass {
	if len(b.sizes) < sizeSamples {
		b.sizes = append(b.sizes, coreMs)
	} else {
		b.sizes[b.next%sizeSamples] = coreMs
	}
	b.next++
	n := len(b.sizes)
	if n < minSizeSamples {
		return ordinary
	}
	sorted := slices.Sorted(slices.Values(b.sizes))
	switch {
	case coreMs >= sorted[int(largestShare*float64(n))]:
		return largest
	case coreMs >= sorted[int(largeShare*float64(n))]:
		return large
	}
	return ordinary
}

// record records whether a job was served within its objective.
func (b *sizeBalance) record(c sizeClass, served bool) {
	for i := range b.ended {
		b.served[i] *= servedDecay
		b.ended[i] *= servedDecay
	}
	b.ended[c]++
	if served {
		b.served[c]++
	}
}

// prefers reports whether jobs of a class are served too seldom.
func (b *sizeBalance) prefers(c sizeClass) bool {
	if c == ordinary || b.ended[c] < 1 {
		return false
	}
	served, ended := 0.0, 0.0
	for i := range b.ended {
		served, ended = served+b.served[i], ended+b.ended[i]
	}
	return b.served[c]/b.ended[c] < minServedShare*served/ended
}

// balance returns the size balance of a job's queue.
func (s *State) balance(j *job) *sizeBalance {
	name := j.def.Queue.Name
	if s.sizes[name] == nil {
		s.sizes[name] = &sizeBalance{}
	}
	return s.sizes[name]
}

// classifySize sets the size class of a new job.
func (s *State) classifySize(j *job) {
	if j.def.LongRunning() {
		return
	}
	coreMs := 0.0
	for i := range j.def.Steps {
		step := &j.def.Steps[i]
		coreMs += float64(step.Count) * float64(step.CPU) / 1000 * float64(s.stepMs(j, i))
	}
	j.size = s.balance(j).add(coreMs)
}

// recordServed records once whether a job was served within its objective: when it completes, or when the objective has
// passed. Scheduled jobs, whose occurrences each have an objective, do not count.
func (s *State) recordServed(j *job, completed bool) {
	late := s.now.BootMs > j.deadline()
	if j.servedRecorded || j.def.LongRunning() || j.def.Repeat > 0 || j.def.StartAtMs > 0 || !completed && !late {
		return
	}
	j.servedRecorded = true
	s.balance(j).record(j.size, !late)
}
