package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/record"
)

// noisyWorker returns a state with a service and a batch task that slows it on one worker, and their starts.
func noisyWorker(t *testing.T) (*State, record.Start, record.Start) {
	s := fleetState(1, "a")
	svc := batchJob("a", "svc", 1)
	svc.Kind, svc.RunMs, svc.Class = record.ServiceJob, 0, "svc"
	queue(s, 60_000, svc)
	noisy := batchJob("a", "noisy", 1)
	noisy.Checkpoint, noisy.RunMs = true, 600_000
	queue(s, 60_000, noisy)
	starts := confirm(s, 60_000, s.Decide(60_000))
	assert.Equal(t, len(starts), 2)
	if starts[0].Task != "a/svc#0" {
		starts[0], starts[1] = starts[1], starts[0]
	}
	return s, starts[0], starts[1]
}

func report(s *State, now, measured int64, us int64, starts ...record.Start) {
	rep := UsageReported{Worker: starts[0].Worker, MeasuredMs: measured}
	for _, st := range starts {
		sm := Sample{Task: st.Task, Attempt: st.Attempt, Used: st.Size, SpeedMilli: 1000}
		if st.Task == "a/svc#0" {
			sm.LatencyP99Us = us
		}
		rep.Samples = append(rep.Samples, sm)
	}
	s.Apply(now, rep)
}

// Guards against evicting a task before it was throttled, against a reaction to a single report, and against repeated
// evictions while the interference persists.
func TestInterferenceIsThrottledBeforeEviction(t *testing.T) {
	s, svc, noisy := noisyWorker(t)
	now := int64(61_000)
	for ; now < 101_000; now += 2000 {
		report(s, now, now-1000, 9000, svc, noisy)
		assert.Equal(t, len(s.Decide(now)), 0)
	}
	var shares []int64
	evicted := 0
	for ; now < 400_000; now += 2000 {
		report(s, now, now-1000, 90_000, svc, noisy)
		for _, d := range s.Decide(now) {
			switch d := d.(type) {
			case ThrottleTask:
				if len(shares) == 0 || shares[len(shares)-1] != d.ShareMilli {
					shares = append(shares, d.ShareMilli)
				}
				assert.Equal(t, evicted, 0)
			case EvictTask:
				if evicted == 0 {
					end(s, now, noisy, record.Checkpointed)
				}
				evicted++
			}
		}
	}
	assert.DeepEqual(t, shares, []int64{500, 250})
	assert.Equal(t, evicted, 1)
}

// Guards against a throttle that is never lifted, and against one that changes with each report.
func TestThrottleIsLiftedAfterNormalReports(t *testing.T) {
	s, svc, noisy := noisyWorker(t)
	now := int64(61_000)
	for ; now < 101_000; now += 2000 {
		report(s, now, now-1000, 9000, svc, noisy)
	}
	changes := 0
	for i := 0; now < 200_000; now += 2000 {
		us := int64(9000)
		if i++; i <= 3 {
			us = 90_000
		}
		report(s, now, now-1000, us, svc, noisy)
		for _, d := range s.Decide(now) {
			if th, ok := d.(ThrottleTask); ok && th.Reason != "repeated" {
				changes++
			}
		}
	}
	assert.Equal(t, s.tasks[noisy.Task].shareMilli, int64(fullShare))
	assert.Equal(t, changes, 2)
}

// Guards against attributing a latency to a task that started after the measurement, and against a reaction to old or
// repeated reports.
func TestReportsAreMatchedToTheirTime(t *testing.T) {
	s, svc, noisy := noisyWorker(t)
	w := s.workers[svc.Worker]
	report(s, 70_000, 69_000, 9000, svc)
	before := len(s.tasks[svc.Task].job.class.slowdownBy)
	report(s, 70_000, 59_000, 90_000, svc, noisy)
	assert.Equal(t, len(s.tasks[svc.Task].job.class.slowdownBy), before, "a report of a time before the start changed the estimates")
	report(s, 71_000, 70_500, 90_000, svc, noisy)
	hot := w.slowReports
	report(s, 71_100, 70_500, 90_000, svc, noisy)
	assert.Equal(t, w.slowReports, hot, "a repeated report was counted")
	report(s, 72_000, 70_400, 90_000, svc, noisy)
	assert.Equal(t, w.slowReports, hot, "an older report was counted")
	report(s, 300_000, 72_000, 90_000, svc, noisy)
	assert.Equal(t, w.reportMs, int64(70_500), "a report beyond its largest age was used")
}

// Guards against evacuating a zone faster than the others have free capacity, not in the order of deadline risk, or
// with its services.
func TestZoneOutIsEvacuatedByRisk(t *testing.T) {
	s := fleetState(2, "a")
	place := func(name, worker string, cpu, deadline int64, kind record.JobKind) {
		j := batchJob("a", name, 1)
		j.Size.CPUMilli, j.DeadlineMs, j.Kind, j.RunMs = cpu, deadline, kind, 600_000
		queue(s, 50_000, j)
		s.Apply(50_000, TaskStarted{record.Start{Task: j.ID + "#0", Attempt: 1, Worker: worker, Size: j.Size}})
	}
	place("late", "w00", 4000, 3_000_000, record.BatchJob)
	place("soon", "w00", 4000, 2_000_000, record.BatchJob)
	place("svc", "w00", 1000, 0, record.ServiceJob)
	place("other", "w01", 10_000, 0, record.BatchJob)
	s.Apply(60_000, ZoneChanged{Zone: "a", Out: true})
	got := evictions(s.Decide(60_000))
	assert.Equal(t, len(got), 1, "the other zone has free capacity for one: %v", got)
	assert.Equal(t, got[0].Task, "a/soon#0")
}

// Guards against evicting a task that is about to end in a zone that is taken out of service, and against leaving it
// there without a limit.
func TestTaskMayFinishInAZoneThatIsOut(t *testing.T) {
	s := fleetState(2, "a")
	for name, runMs := range map[string]int64{"short": 25_000, "long": 600_000} {
		j := batchJob("a", name, 1)
		j.RunMs, j.Checkpoint = runMs, true
		queue(s, 60_000, j)
		s.Apply(60_000, TaskStarted{record.Start{Task: j.ID + "#0", Attempt: 1, Worker: "w00", Size: j.Size}})
	}
	s.Apply(61_000, ZoneChanged{Zone: "a", Out: true})
	got := evictions(s.Decide(61_000))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task, "a/long#0")
	s.Apply(62_000, TaskEnded{record.End{Task: "a/long#0", Attempt: 1, Outcome: record.Stopped}})
	stay := DefaultConfig().EvacGraceMs
	for now := int64(62_000); now < 61_000+stay; now += 500 {
		assert.Equal(t, len(evictions(s.Decide(now))), 0, "at %d", now)
	}
	// The task runs longer than expected.
	got = evictions(s.Decide(61_000 + stay))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task, "a/short#0")
}

// Guards against adding load to a zone at once after it was brought back, and against moving running tasks there.
func TestRestoredZoneIsLoadedGradually(t *testing.T) {
	s := fleetState(3, "a")
	s.Apply(50_000, ZoneChanged{Zone: "a", Out: true})
	s.Apply(60_000, ZoneChanged{Zone: "a"})
	j := batchJob("a", "j", 60)
	s.classOf(60_000, &j).measured = minSizeTasks
	queue(s, 60_000, j)
	for _, w := range s.workerOrder {
		w.startWindow = maxStartWindow
	}
	out := run(s, 60_000, 62_000)
	assert.Equal(t, len(evictions(out)), 0)
	early := s.workers["w00"].committed.CPUMilli
	assert.Assert(t, early > 0 && early <= 2000, "%d millicores after 2 s", early)
	run(s, 62_100, 95_000)
	assert.Equal(t, s.workers["w00"].committed.CPUMilli, int64(16_000))
}

// Guards against a task with strong interference that never starts because every worker runs a service, and against
// starting it at once.
func TestInterferingTaskStartsInBoundedTime(t *testing.T) {
	s, svc, noisy := noisyWorker(t)
	s.Apply(61_000, TaskEnded{record.End{Task: noisy.Task, Attempt: 1, Outcome: record.Finished}})
	s.tasks[svc.Task].job.class.setSlowdown(s.classOf(1, &record.Job{Customer: "a", Class: "c", Kind: record.BatchJob}), 1)
	queue(s, 62_000, batchJob("a", "j", 1))
	run(s, 62_000, 300_000)
	assert.Assert(t, s.tasks["a/j#0"].phase == phaseQueued)
	assert.Equal(t, s.WaitReason("a/j"), "no worker has room: 1 of 1 workers: a service there would be slowed too much")
	run(s, 300_100, 800_000)
	assert.Assert(t, s.tasks["a/j#0"].phase == phaseRunning)
}

// Guards against additional interference with a service at the peak of its load, where the same slowdown adds the most
// latency.
func TestSlowdownLimitIsLowerAtHighLoad(t *testing.T) {
	s, svc, noisy := noisyWorker(t)
	s.Apply(61_000, TaskEnded{record.End{Task: noisy.Task, Attempt: 1, Outcome: record.Finished}})
	batch := s.classOf(1, &record.Job{Customer: "a", Class: "c", Kind: record.BatchJob})
	now := int64(62_000)
	load := func(cpuMilli, us, until int64) {
		for ; now < until; now += 2000 {
			s.Apply(now, UsageReported{Worker: svc.Worker, MeasuredMs: now, Samples: []Sample{{Task: svc.Task, Attempt: 1,
				Used: record.Resources{CPUMilli: cpuMilli}, LatencyP99Us: us, SpeedMilli: 1000}}})
		}
		s.tasks[svc.Task].job.class.setSlowdown(batch, 0.5)
	}
	load(400, 10_000, 300_000)
	load(800, 14_000, 340_000)
	queue(s, now, batchJob("a", "peak", 1))
	assert.Equal(t, len(confirm(s, now, s.Decide(now))), 0)
	assert.Equal(t, s.WaitReason("a/peak"), "no worker has room: 1 of 1 workers: a service there would be slowed too much")
	load(400, 10_000, 380_000)
	assert.Equal(t, len(confirm(s, now, s.Decide(now))), 1)
}
