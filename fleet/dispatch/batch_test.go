package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// appendBytes returns the size of the records of a batch.
func (b *Batch) appendBytes() int {
	n := 0
	for _, r := range b.Schedule {
		n += recordBytes(r)
	}
	return n
}

// Guards against an append that the store refuses for good, so that nobody's work is started any more: the progress of many jobs together
// takes more than one append may hold. No start may be ordered before the progress that names it is stored.
func TestBatchFitsOneAppend(t *testing.T) {
	sim := newConnectedSimulation(t, 4)
	sim.options.MaxAppendBytes = 64 << 10
	sim.state.options = sim.options
	const jobs, tasks = 20, 800
	for n := range jobs {
		sim.submit(&work.Job{ID: jobID(n + 1), Steps: []work.Step{{Count: tasks, CPU: 1, MemMB: 1, EstMs: 60_000}}})
	}
	s := sim.state
	s.Step(sim.at(), Place{})
	assert.Equal(t, len(s.pendingStarts), jobs*tasks)
	started, batches := 0, 0
	for ; batches < 100; batches++ {
		b := s.Collect()
		if b.Empty() {
			break
		}
		assert.Assert(t, b.appendBytes() <= sim.options.MaxAppendBytes, "%d bytes", b.appendBytes())
		sim.record(b)
		started += sim.checkStarts(t, s.Step(sim.at(), Committed{Batch: b}))
	}
	for range jobs * tasks {
		if started == jobs*tasks {
			break
		}
		// The side processes have answered what they got, and have room for more.
		for _, w := range s.sortedWorkers {
			info := *w.info
			started += sim.checkStarts(t, s.Step(sim.at(), Reported{Instance: w.instance, Report: &link.Report{Worker: &info, LeaseLeftMs: 4000, OrdersReceived: w.ordersSent}}))
		}
	}
	assert.Assert(t, batches > 1)
	assert.Equal(t, started, jobs*tasks)
}

// checkStarts checks the starts that are ordered by an event, and returns their number.
func (sim *simulation) checkStarts(t *testing.T, eff Effects) int {
	t.Helper()
	n := 0
	for _, o := range eff.Orders {
		n += len(o.Orders.Starts)
		for _, st := range o.Orders.Starts {
			sim.checkRecorded(t, st)
		}
	}
	return n
}

// checkRecorded checks that the stored progress of a job names a run that is started.
func (sim *simulation) checkRecorded(t *testing.T, st link.Start) {
	t.Helper()
	name, _ := work.ParseTaskName(st.Task)
	p, err := work.DecodeProgress(sim.stored[name.Job])
	assert.NilError(t, err)
	for _, sp := range p.Stages {
		for _, tp := range sp.Tasks {
			if sp.Occurrence == name.Occurrence && sp.Step == name.Step && tp.Index == name.Index {
				assert.Assert(t, tp.Run == st.Run && tp.Worker > 0)
				return
			}
		}
	}
	t.Fatalf("%s run %d is started and not on record", st.Task, st.Run)
}

// Guards against an end that is acknowledged before it is stored, where the progress of its job is left for a later append: the task would
// run again after a change of the decider (TWICE).
func TestEndsAreAcknowledgedAfterAllProgress(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	sim.options.MaxAppendBytes = 1
	sim.state.options = sim.options
	for n := range 3 {
		sim.submit(&work.Job{ID: jobID(n + 1), Steps: []work.Step{{Count: 1, CPU: 1, MemMB: 1, EstMs: 60_000}, {Count: 1, CPU: 1, DependsOn: []int{0}}}})
	}
	s := sim.state
	s.Step(sim.at(), Place{})
	for b := s.Collect(); !b.Empty(); b = s.Collect() {
		s.Step(sim.at(), Committed{Batch: b})
	}
	for n := range 3 {
		tk := &s.jobs[jobID(n+1)].stages[0].tasks[0]
		s.handleCompletions(tk.worker, []link.Completion{{Number: tk.worker.lastCompletion + 1, Task: tk.name().String(), Run: tk.run, Outcome: link.Done}})
	}
	stored := 0
	for {
		b := s.Collect()
		if len(b.Schedule) == 0 {
			break
		}
		stored++
		assert.Equal(t, len(b.Schedule), 1)
		assert.Equal(t, len(b.acks) > 0, stored == 3, "after %d records", stored)
	}
	assert.Equal(t, stored, 3)
}

// Guards against one job that keeps the progress of all others from being stored, as its own is larger than the store takes.
func TestOversizedProgressFailsItsJobOnly(t *testing.T) {
	sim := newConnectedSimulation(t, 4)
	sim.soundTasks = true
	sim.options.MaxRecordBytes = 16 << 10
	sim.state.options = sim.options
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 3000, CPU: 1, MemMB: 1, EstMs: 60_000}}})
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 10, CPU: 1, MemMB: 1, EstMs: 100}}})
	for range 200 {
		sim.advance()
	}
	for n, want := range []work.JobState{work.Failed, work.Completed} {
		p, err := work.DecodeProgress(sim.stored[jobID(n+1)])
		assert.NilError(t, err)
		assert.Equal(t, p.State, want, "job %d", n+1)
	}
	for _, sw := range sim.workers {
		assert.Equal(t, len(sw.runs), 0)
	}
}

// Guards against checkpoints that the store refuses together with everything else that is appended: their text is as long as the workers
// make it.
func TestCheckpointsFitARecord(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 3000, CPU: 1, MemMB: 1, EstMs: 60_000, Checkpointable: true}}})
	s := sim.state
	tasks := s.jobs[jobID(1)].stages[0].tasks
	for i := range tasks {
		s.setCheckpoint(&tasks[i], fmt.Sprint(i)+strings.Repeat("x", 200))
	}
	s.setCheckpoint(&tasks[0], strings.Repeat("x", 1<<20))
	for b := s.Collect(); !b.Empty(); b = s.Collect() {
		assert.Assert(t, b.appendBytes() <= s.maxAppendBytes())
		for _, r := range b.Schedule {
			assert.Assert(t, recordBytes(r) <= defaultMaxRecordBytes, "%s takes %d bytes", r.Key, recordBytes(r))
			if strings.HasPrefix(r.Key, work.PrefixCheckpoints) {
				var c work.Checkpoints
				assert.NilError(t, work.Decode(r.Value, &c))
				assert.Assert(t, len(c.Tasks) > 1000)
			}
		}
	}
}

// Guards against names of images, which are as long as clients make them, in a record that the store refuses together with everything else.
func TestOversizedModelIsNotStored(t *testing.T) {
	for _, length := range []int{10, 60_000} {
		sim := newConnectedSimulation(t, 1)
		s := sim.state
		for n := range 10 {
			s.interference.bestEffort.add(fmt.Sprint(n)+strings.Repeat("x", length), sim.now)
		}
		s.interference.changed, s.interference.storedMs = true, 0
		stored := 0
		for _, r := range s.Collect().Schedule {
			assert.Assert(t, recordBytes(r) <= defaultMaxRecordBytes, "%s takes %d bytes", r.Key, recordBytes(r))
			if r.Key == work.KeyInterference {
				stored++
			}
		}
		assert.Equal(t, stored == 1, length == 10)
	}
}
