package dispatch

import (
	"math"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/estimate"
)

const (
	// durationTTLMs is how long the estimate of a stage is used: its tasks report progress every 450 ms.
	durationTTLMs = 200
	// minProgress is the progress in percent that has to be seen of a run for its duration to be derived from it. Progress
	// comes in whole percent and with the delays of two reports.
	minProgress = 15
	// maxSamples bounds the durations that are kept for a stage, and those derived from progress: tasks are alike, so that more
	// tell no more.
	maxSamples = 64
	// minSiblings is the number of tasks of the same step on other workers that a run is compared with.
	minSiblings = 2
	// soundFactor times the baseline is the duration up to which a task shows that its worker is sound.
	soundFactor = 1.4
	// unlearnedSpreads is the number of spreads by which a run has to exceed its declared duration to be slow if neither its
	// kind nor its step tells more, as a declared duration may be a fifth of the real one.
	unlearnedSpreads = 2
)

// durationSample is the duration of a task on a worker.
type durationSample struct {
	worker *worker
	ms     int64
}

// durationKey returns the kind of a step of a job.
func durationKey(j *job, index int) estimate.Key {
	step := &j.def.Steps[index]
	return estimate.Key{Queue: j.def.Queue.Name, Step: index, Image: step.Image, BestEffort: step.BestEffort}
}

// stepMs returns how long a task of a step is expected to take in milliseconds, by its kind alone.
func (s *State) stepMs(j *job, index int) int64 {
	step := &j.def.Steps[index]
	if s.options.Durations == DurationsDeclared || step.LongRunning {
		return estimateMs(step)
	}
	return s.durations.Duration(durationKey(j, index), estimateMs(step)).MeanMs
}

// taskMs returns how long a task of a stage is expected to take in milliseconds.
func (s *State) taskMs(st *stage) int64 {
	if s.options.Durations == DurationsDeclared || st.step.LongRunning {
		return estimateMs(st.step)
	}
	if st.durationMs == 0 || s.now.BootMs-st.durationMs >= durationTTLMs {
		declaredMs := estimateMs(st.step)
		st.duration = s.durations.Duration(durationKey(st.job, st.index), declaredMs).WithSiblings(declaredMs, durationsOf(s.stageSamples(st)))
		st.durationMs = s.now.BootMs
	}
	return st.duration.MeanMs
}

// stageSamples returns the durations of the tasks of a stage that ended, or whose progress shows their duration.
func (s *State) stageSamples(st *stage) []durationSample {
	list := slices.Clone(st.samples)
	if st.waiting+st.done == len(st.tasks) {
		return list
	}
	most := len(list) + maxSamples
	for i := range st.tasks {
		if len(list) == most {
			break
		}
		if t := &st.tasks[i]; t.phase == running && !t.wasThrottled && t.worker.health.slowdownFactor() == 1 {
			if ms, ok := t.projectedMs(); ok {
				list = append(list, durationSample{t.worker, ms})
			}
		}
	}
	return list
}

func durationsOf(samples []durationSample) []int64 {
	list := make([]int64, len(samples))
	for i, d := range samples {
		list[i] = d.ms
	}
	return list
}

// projectedMs returns the duration of a run that its progress since it was first listed shows.
func (t *task) projectedMs() (int64, bool) {
	ageMs, percent := t.worker.lastReportMs-t.startedMs, t.percent-t.firstPercent
	if t.startedMs == 0 || ageMs < minSpeedSampleMs || percent < minProgress {
		return 0, false
	}
	return ageMs * 100 / int64(percent), true
}

// remainingTaskMs returns the time in milliseconds that the rest of a task is expected to take, by its own progress if that
// shows it, else by the estimate of its stage.
func (s *State) remainingTaskMs(t *task) float64 {
	left := float64(100 - t.percent) // in percent; divided last, so that whole milliseconds stay whole
	if s.options.Durations == DurationsLearned && t.phase == running && !t.wasThrottled && !t.stage.step.LongRunning {
		if ms, ok := t.projectedMs(); ok {
			return float64(ms) * left / 100
		}
	}
	return float64(s.taskMs(t.stage)) * left / 100
}

// recordDuration records how long a run that ended as done took. It counts from when the start was ordered, as a run is
// first listed up to one report after its start. Runs that were throttled, resumed or on a slow worker do not count.
func (s *State) recordDuration(w *worker, t *task) {
	if t.orderedMs == 0 || t.wasThrottled || t.resumed || w.health.slowdownFactor() > 1 || t.stage.step.LongRunning || len(t.stage.samples) >= maxSamples {
		return
	}
	t.stage.samples = append(t.stage.samples, durationSample{w, max(s.now.BootMs-t.orderedMs, 1)})
	t.stage.durationMs = 0
}

// learnStage records the median duration of the tasks of a stage that is done. Its tasks are alike, so that they count as
// one observation.
func (s *State) learnStage(st *stage) {
	if st.done < len(st.tasks) || len(st.samples) == 0 {
		return
	}
	s.durations.Observe(durationKey(st.job, st.index), estimateMs(st.step), estimate.Median(durationsOf(st.samples)), s.now.BootMs)
}

// updateObjective applies the estimates to the objective and the paths of a job.
func (s *State) updateObjective(j *job) {
	if s.options.Durations == DurationsDeclared || len(j.open) == 0 {
		return
	}
	latest := j.open[len(j.open)-1]
	j.computeObjective(func(i int) int64 { return s.taskMs(j.stage(latest, i)) })
}

// baseline is how long a run on a sound worker would take.
type baseline struct {
	ms int64
	// fromOrder is true if ms counts from when a start was ordered, not from when the run was listed.
	fromOrder bool
	// soundHere is true if another task of the step shows that the worker is sound: a long task is long by itself.
	soundHere bool
}

// baseline returns what the speed of a run on a worker is compared with: tasks of the same step on other workers, or what
// was learned of such steps with its spread, so that a wrong declared duration does not make a sound worker look slow.
func (s *State) baseline(t *task, w *worker) baseline {
	st := t.stage
	b := baseline{ms: estimateMs(st.step)}
	if s.options.Durations == DurationsDeclared || st.step.LongRunning {
		return b
	}
	var elsewhere, here []int64
	for _, d := range s.stageSamples(st) {
		if d.worker != w {
			elsewhere = append(elsewhere, d.ms)
		}
	}
	for _, d := range st.samples {
		if d.worker == w {
			here = append(here, d.ms)
		}
	}
	if len(elsewhere) >= minSiblings {
		b.ms, b.fromOrder = estimate.Median(elsewhere), true
		b.soundHere = len(here) > 0 && float64(slices.Min(here)) <= soundFactor*float64(b.ms)
		return b
	}
	e, spreads := s.durations.Duration(durationKey(st.job, st.index), b.ms), 1.0
	if e.Weight == 0 {
		spreads = unlearnedSpreads
	}
	b.ms, b.fromOrder = int64(math.Ceil(float64(e.MeanMs)*math.Exp(spreads*e.Spread))), true
	return b
}
