package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/record"
)

var (
	smallTask   = record.Resources{CPUMilli: 300, MemoryMB: 500}
	wholeWorker = record.Resources{CPUMilli: 16_000, MemoryMB: 60_000}
)

// Ticks of warm-up and of measurement per size of the fake region.
const (
	warmTicks    = 100
	measureTicks = 200
)

// measurePollCost measures the CPU time of one poll against the number of held tasks, with and without usage samples.
func (r *runner) measurePollCost(context.Context) error {
	const rounds = 50
	for _, n := range []int{0, 10, 20, 40} {
		f, err := newRegion(20, r.Seed)
		if err != nil {
			return err
		}
		if n > 0 {
			f.placeTasks(n, smallTask)
		}
		for _, usage := range []bool{false, true} {
			us := 0.0
			for range rounds {
				f.runTicks(1)
				for _, h := range f.workers {
					p := h.nextPoll(usage)
					us += cpuMicros(func() { f.step(core.AnswerRequested{Poll: p}) })
				}
			}
			name, unit := "decider.poll.held", "held tasks"
			if usage {
				name, unit = "decider.poll.usage", "held tasks with a sample each"
			}
			r.add(name, unit, "us per poll", float64(n), us/float64(rounds*len(f.workers)))
		}
	}
	return nil
}

// measureDecider measures the CPU time of a scheduling cycle against one dimension at a time: workers, running tasks, queued
// jobs and ended jobs.
func (r *runner) measureDecider(context.Context) error {
	for _, workers := range []int{60, 120, 240, 480} {
		f, err := newRegion(workers, r.Seed)
		if err != nil {
			return err
		}
		f.placeTasks(17, smallTask)
		r.measureTicks(f, "decider.tick.workers", "workers with 17 tasks each", float64(workers), 0)
	}
	for _, held := range []int{1, 10, 20, 40} {
		f, err := newRegion(100, r.Seed)
		if err != nil {
			return err
		}
		f.placeTasks(held, smallTask)
		r.measureTicks(f, "decider.tick.tasks", "running tasks on 100 workers", float64(100*held), 0)
	}
	for _, queued := range []int{0, 1000, 2000, 4000} {
		f, err := newRegion(100, r.Seed)
		if err != nil {
			return err
		}
		f.placeTasks(1, wholeWorker)
		for range queued {
			f.submit(1, 60_000, smallTask)
		}
		r.measureTicks(f, "decider.tick.queued", "queued jobs without room", float64(queued), 0)
	}
	for _, ended := range []int{0, 5000, 10_000, 20_000} {
		f, err := newRegion(100, r.Seed)
		if err != nil {
			return err
		}
		f.addEndedJobs(ended)
		r.measureTicks(f, "decider.tick.ended", "ended jobs kept", float64(ended), 0)
	}
	return r.measureStartCost()
}

// addEndedJobs submits and cancels n jobs, so that the region keeps them as ended.
func (f *fakeRegion) addEndedJobs(n int) {
	for range n {
		f.jobs++
		job := batchJob(customerName(f.jobs), fmt.Sprintf("old-%d", f.jobs), 1)
		f.applyRecord(core.RegionStream, record.Record{Submits: []record.Job{job}, Cancels: []record.Cancel{{Job: job.ID, By: "slopes"}}})
	}
}

// measureTicks measures ticks in which jobsPerTick jobs arrive, after a warm-up, and returns the cost of the measured ticks.
func (r *runner) measureTicks(f *fakeRegion, name, unit string, x float64, jobsPerTick int) regionCost {
	for phase, ticks := range []int{warmTicks, measureTicks} {
		if phase == 1 {
			f.cost = regionCost{}
		}
		for range ticks {
			for range jobsPerTick {
				f.submit(1, 2000, smallTask)
			}
			f.runTicks(1)
		}
	}
	c := f.cost
	r.add(name+".mean", unit, "us per tick", x, c.tickUs/c.ticks)
	r.add(name+".max", unit, "us, longest tick", x, c.maxTickUs)
	return c
}

// measureStartCost measures all work of the decider against the rate of task starts, at the size of one region.
func (r *runner) measureStartCost() error {
	for _, perTick := range []int{1, 2, 4, 8} {
		f, err := newRegion(240, r.Seed)
		if err != nil {
			return err
		}
		f.placeTasks(10, smallTask)
		c := r.measureTicks(f, "decider.tick.starts", "jobs submitted/s at 240 workers", float64(perTick)*float64(time.Second/tickEvery), perTick)
		seconds := measureTicks * tickEvery.Seconds()
		x := c.starts / seconds
		const unit = "task starts/s at 240 workers"
		r.add("decider.start.cpu", unit, "ms of processor time per s, polls included", x, (c.tickUs+c.applyUs+c.pollUs)/seconds/1000)
		r.add("decider.start.fold", unit, "ms of processor time per s to encode, decode and fold batches", x, c.applyUs/seconds/1000)
		r.add("decider.start.batch_bytes", unit, "B/s", x, c.batchBytes/seconds)
		r.add("decider.start.batches", unit, "appends/s", x, c.batches/seconds)
		r.add("decider.start.polls", unit, "polls/s", x, c.polls/seconds)
	}
	return nil
}
