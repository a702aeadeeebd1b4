package dispatch

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// maxSuspendedBytes bounds what the suspended occurrences of a job add to its stored progress, so that the record stays below the 256 KB
	// that the store takes: the open occurrences need up to 203 KB.
	maxSuspendedBytes = 40 << 10
	// suspendedRangeBytes is the largest size of a stored range of suspended occurrences and of a finished range after it.
	suspendedRangeBytes = 28
)

// stepSet is a set of steps of a job, which has at most work.MaxSteps = 64.
type stepSet uint64

func (x stepSet) has(step int) bool         { return x&(1<<step) != 0 }
func (x stepSet) with(step int) stepSet     { return x | 1<<step }
func (x stepSet) without(y stepSet) stepSet { return x &^ y }

// each calls f for each step of the set in ascending order.
func (x stepSet) each(f func(step int)) {
	for x != 0 {
		f(bits.TrailingZeros64(uint64(x)))
		x &= x - 1
	}
}

// suspendedOccurrences holds the suspended occurrences of a job. None of their tasks has an active run, so that many of them have the
// same progress, of which one copy is kept.
type suspendedOccurrences struct {
	// ranges are in ascending order and do not overlap.
	ranges []suspendedRange
	// kinds holds the progress of the ranges by its stored form.
	kinds map[string]*suspendedKind
	// kindBytes is the size of the stored forms of kinds.
	kindBytes int
}

// suspendedRange is a range of suspended occurrences with the same progress, from included and to excluded.
type suspendedRange struct {
	from, to int
	kind     *suspendedKind
}

// suspendedKind is the progress that suspended occurrences share.
type suspendedKind struct {
	progress work.SuspendedProgress
	// encoded is the stored form of progress.
	encoded string
	// ready holds the steps with waiting tasks whose dependencies are done.
	ready stepSet
	// ranges counts the ranges of this kind.
	ranges int
}

// search returns the index of the range that holds an occurrence, or where it would be.
func (x *suspendedOccurrences) search(occurrence int) (int, bool) {
	i := sort.Search(len(x.ranges), func(i int) bool { return x.ranges[i].to > occurrence })
	return i, i < len(x.ranges) && x.ranges[i].from <= occurrence
}

// count returns the number of suspended occurrences.
func (x *suspendedOccurrences) count() int {
	n := 0
	for _, r := range x.ranges {
		n += r.to - r.from
	}
	return n
}

// bytes returns a bound on what the suspended occurrences add to the stored progress.
func (x *suspendedOccurrences) bytes() int { return len(x.ranges)*suspendedRangeBytes + x.kindBytes }

// bytesWith returns that bound with one more occurrence of a kind.
func (x *suspendedOccurrences) bytesWith(occurrence int, k *suspendedKind) int {
	if _, before, after := x.neighbours(occurrence, occurrence+1, k); before || after {
		return x.bytes()
	}
	return x.bytes() + suspendedRangeBytes
}

// neighbours returns where a range would be, and whether it continues a range of its kind before it and after it.
func (x *suspendedOccurrences) neighbours(from, to int, k *suspendedKind) (i int, before, after bool) {
	i, _ = x.search(from)
	before = i > 0 && x.ranges[i-1].to == from && x.ranges[i-1].kind == k
	after = i < len(x.ranges) && x.ranges[i].from == to && x.ranges[i].kind == k
	return i, before, after
}

// kindOf returns the kind of a progress, which is added if it is new.
func (x *suspendedOccurrences) kindOf(def *work.Job, p work.SuspendedProgress) *suspendedKind {
	encoded := string(work.Encode(&p))
	if k := x.kinds[encoded]; k != nil {
		return k
	}
	if x.kinds == nil {
		x.kinds = map[string]*suspendedKind{}
	}
	k := &suspendedKind{progress: p, encoded: encoded, ready: readySteps(def, p)}
	x.kinds[encoded] = k
	x.kindBytes += len(encoded)
	return k
}

// readySteps returns the steps with unfinished tasks whose dependencies are done.
func readySteps(def *work.Job, p work.SuspendedProgress) stepSet {
	var done, ready stepSet
	for i := range p.Steps {
		if p.Steps[i].AllDone && p.Steps[i].Step >= 0 {
			done = done.with(p.Steps[i].Step)
		}
	}
	for i := range def.Steps {
		waits := slices.ContainsFunc(def.Steps[i].DependsOn, func(d int) bool { return !done.has(d) })
		if !done.has(i) && !waits {
			ready = ready.with(i)
		}
	}
	return ready
}

// add adds a range of occurrences, none of which is suspended.
func (x *suspendedOccurrences) add(from, to int, k *suspendedKind) {
	i, before, after := x.neighbours(from, to, k)
	switch {
	case before && after:
		x.ranges[i-1].to = x.ranges[i].to
		x.ranges = slices.Delete(x.ranges, i, i+1)
		k.ranges--
	case before:
		x.ranges[i-1].to = to
	case after:
		x.ranges[i].from = from
	default:
		x.ranges = slices.Insert(x.ranges, i, suspendedRange{from, to, k})
		k.ranges++
	}
}

// remove removes an occurrence and returns its progress. It reports false if the occurrence is not suspended.
func (x *suspendedOccurrences) remove(occurrence int) (work.SuspendedProgress, bool) {
	i, ok := x.search(occurrence)
	if !ok {
		return work.SuspendedProgress{}, false
	}
	r := &x.ranges[i]
	k := r.kind
	switch {
	case r.to-r.from == 1:
		x.ranges = slices.Delete(x.ranges, i, i+1)
		k.ranges--
		x.dropUnused(k)
	case r.from == occurrence:
		r.from++
	case r.to == occurrence+1:
		r.to--
	default:
		rest := suspendedRange{occurrence + 1, r.to, k}
		r.to = occurrence
		x.ranges = slices.Insert(x.ranges, i+1, rest)
		k.ranges++
	}
	return k.progress, true
}

// dropUnused drops a kind that has no range.
func (x *suspendedOccurrences) dropUnused(k *suspendedKind) {
	if k.ranges == 0 {
		delete(x.kinds, k.encoded)
		x.kindBytes -= len(k.encoded)
	}
}

// suspendedProgress returns the progress of an open occurrence without active runs in the form that is kept while it is suspended.
// Checkpoints are not part of it: its tasks start from their beginning once it is resumed.
func (j *job) suspendedProgress(occurrence int) work.SuspendedProgress {
	var p work.SuspendedProgress
	for i := range j.def.Steps {
		if sp := j.stage(occurrence, i).suspendedStep(); sp.AllDone || sp.Done != nil || sp.Run > 0 {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

func (st *stage) suspendedStep() work.SuspendedStep {
	sp := work.SuspendedStep{Step: st.index, AllDone: st.done == len(st.tasks)}
	if sp.AllDone {
		return sp
	}
	if st.done > 0 {
		sp.Done = make([]byte, (len(st.tasks)+7)/8)
	}
	run := st.gangRun
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.phase == done {
			sp.Done[i/8] |= 1 << (i % 8)
			continue
		}
		run = max(run, t.run)
		if len(t.failed) > 0 {
			sp.Failed = append(sp.Failed, work.FailedRuns{Index: i, Runs: slices.Clone(t.failed)})
			run = max(run, slices.Max(t.failed))
		}
	}
	sp.Run = roundedRun(run)
	return sp
}

// roundedRun returns the next power of two, so that occurrences whose tasks were started a different number of times have the same
// progress. Run numbers only have to rise.
func roundedRun(run int) int {
	if run <= 1 {
		return run
	}
	return 1 << bits.Len(uint(run-1))
}

// restoreSuspended applies the progress of a suspended occurrence to its stages. A damaged record may name steps and tasks that the job
// does not have.
func (j *job) restoreSuspended(occurrence int, p work.SuspendedProgress) {
	for _, sp := range p.Steps {
		st := j.stage(occurrence, sp.Step)
		if st == nil {
			continue
		}
		for i := range st.tasks {
			if sp.AllDone || i/8 < len(sp.Done) && sp.Done[i/8]&(1<<(i%8)) != 0 {
				st.restoreDone(&st.tasks[i])
			} else {
				st.tasks[i].run = sp.Run
			}
		}
		st.gangRun = sp.Run
		for _, f := range sp.Failed {
			if f.Index >= 0 && f.Index < len(st.tasks) && st.tasks[f.Index].phase != done {
				st.tasks[f.Index].failed = slices.Clone(f.Runs)
			}
		}
	}
}
