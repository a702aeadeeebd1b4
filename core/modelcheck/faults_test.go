package modelcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// Phases of a run: faults begin within faultTime; then all faults end and the system has recoveryTime to recover.
const (
	faultTime    = 90 * time.Second
	recoveryTime = modelMax + 100*time.Second
)

// fault is one fault or client action injected into a run.
type fault struct {
	kind   faultKind
	at     time.Duration
	length time.Duration
	// a and b select the affected entries, side processes, zones or jobs, depending on kind.
	a, b int
}

type faultKind int

const (
	cutEntryLog faultKind = iota
	cutEntries
	cutSide
	pauseEntry
	pauseSide
	pauseWorker
	crashEntry
	crashSide
	crashInstance
	crashAll
	logDown
	slowNetwork
	resignEntry
	zoneOut
	zoneIn
	raceZone
	contractChange
	submitJob
	submitService
	cancelJob
	faultKinds
)

// scenario describes one run of the model.
type scenario struct {
	seed      uint64
	loss, dup float64
	faults    []fault
}

var zoneNames = []string{"a", "b"}

// run executes the scenario and returns the world with its history.
func (sc scenario) run() *world {
	w := newWorld(sc.seed)
	for i := range 3 {
		w.addEntry(i, zoneNames[i%2])
	}
	for i := range 4 {
		w.addWorker(i, zoneNames[i%2])
	}
	w.after(time.Second, func() {
		w.entries[0].change(record.ConfigChange{Contract: &record.Contract{
			Customer: "h", Priority: record.Standard, MaxTasks: 100, MaxQueued: 100,
			Guaranteed: record.Resources{CPUMilli: 16000, MemoryMB: 16000}, Burst: record.Resources{CPUMilli: 16000, MemoryMB: 16000},
		}})
	})
	w.loss, w.dup = sc.loss, sc.dup
	for i, f := range sc.faults {
		w.after(f.at, func() { w.inject(i, f) })
	}
	w.runUntil(faultTime)
	w.endFaults()
	w.runUntil(faultTime + recoveryTime)
	w.recordFinalStates()
	return w
}

func (w *world) endFaults() {
	w.loss, w.dup, w.slow, w.logDown = 0, 0, 0, 0
	clear(w.cuts)
	for _, e := range w.entries {
		e.pausedUntil = 0
	}
	for _, s := range w.sides {
		s.pausedUntil, s.worker.pausedUntil = 0, 0
	}
	w.after(time.Second, w.restoreZones)
}

// restoreZones brings all zones back into service. It repeats, because a change made from an outdated revision is rejected.
func (w *world) restoreZones() {
	for _, z := range zoneNames {
		if w.entries[0].state.Config.ZoneOut(z) {
			w.entries[0].setZone(z, false, false)
		}
	}
	w.after(4*time.Second, w.restoreZones)
}

func (w *world) cut(a, b *node, d time.Duration) { w.cuts[cutKey(a.id, b.id)] = w.now + d }

// inject starts a fault.
func (w *world) inject(i int, f fault) {
	e, o := w.entries[f.a%3], w.entries[f.b%3]
	s := w.sides[f.a%4]
	switch f.kind {
	case cutEntryLog:
		w.cut(e.node, w.logNode, f.length)
	case cutEntries:
		w.cut(e.node, o.node, f.length)
	case cutSide:
		w.cut(s.node, o.node, f.length)
	case pauseEntry:
		e.pausedUntil = w.now + f.length
	case pauseSide:
		s.pausedUntil = w.now + f.length
	case pauseWorker:
		s.worker.pausedUntil = w.now + f.length
	case crashEntry:
		e.crash()
	case crashSide:
		s.boot()
	case crashInstance:
		s.worker.crash()
		s.boot()
	case crashAll:
		for _, e := range w.entries {
			e.crash()
		}
		for _, s := range w.sides {
			s.boot()
		}
	case logDown:
		w.logDown = w.now + f.length
	case slowNetwork:
		w.slow = 0.05
		w.after(f.length, func() { w.slow = 0 })
	case resignEntry:
		e.resign()
	default:
		w.injectWork(i, f)
	}
}

// injectWork injects an action of an operator or customer.
func (w *world) injectWork(i int, f fault) {
	e, o, z := w.entries[f.a%3], w.entries[f.b%3], zoneNames[f.b%2]
	switch f.kind {
	case zoneOut:
		e.setZone(z, true, f.a%2 == 0)
	case zoneIn:
		e.setZone(z, false, false)
	case raceZone:
		e.setZone(z, true, false)
		o.setZone(z, false, false)
		e.setZone(z, true, false)
	case contractChange:
		v := e.state.Config.Contracts["h"]
		if v != nil {
			c := v.Contract
			c.MaxQueued++
			e.change(record.ConfigChange{Base: v.Revision, Contract: &c})
			o.change(record.ConfigChange{Base: v.Revision, Contract: &c})
		}
	case submitJob:
		e.submit(record.Job{
			ID: fmt.Sprintf("h/j%d", i), Customer: "h", Kind: record.BatchJob, Class: fmt.Sprint(i), Tasks: 1 + f.b%3, RunMs: 1000 + f.length.Milliseconds(),
			Size: record.Resources{CPUMilli: 1000, MemoryMB: 500}, Checkpoint: f.a%2 == 0,
		})
	case submitService:
		e.submit(record.Job{
			ID: fmt.Sprintf("h/s%d", i), Customer: "h", Kind: record.ServiceJob, Tasks: 1,
			Size: record.Resources{CPUMilli: 500, MemoryMB: 500},
		})
	case cancelJob:
		e.submits.write(record.Record{Cancels: []record.Cancel{{Job: fmt.Sprintf("h/j%d", f.b), By: "model"}}}, func(uint64, bool) {})
	}
}

// recordFinalStates records the final state of every job, taken from the entry that has applied most of the log.
func (w *world) recordFinalStates() {
	best := w.entries[0]
	for _, e := range w.entries {
		if e.state.Region.Next > best.state.Region.Next {
			best = e
		}
		w.addEvent(history.RevisionReported{At: w.now, Process: e.process(), Revision: e.state.Config.Revision})
	}
	for _, id := range best.state.Region.JobIDs() {
		if !w.accepted[id] {
			// The entry that submitted the job crashed before it received the acceptance.
			w.addEvent(history.JobAccepted{At: 0, Job: id, Kind: best.state.Region.Jobs[id].Spec.Kind})
		}
		w.addEvent(history.JobState{At: w.now, Job: id, State: jobAccount(best.state.Region, best.state.Region.Jobs[id])})
	}
	for _, s := range w.sides {
		s.worker.advance()
	}
	w.markUnreportedLapsed(best.state.Region)
	best.recordZoneHistory()
}

// markUnreportedLapsed marks ended attempts as lapsed whose end never reached a decider, because the worker crashed or was
// cut off until the lease expired. The log records those attempts as lapsed, and their tasks correctly run again.
func (w *world) markUnreportedLapsed(region *tasks.State) {
	lapsed := map[string]bool{}
	for id, t := range region.Tasks {
		for _, c := range t.History {
			if strings.HasPrefix(c.Cause, string(record.LeaseExpired)) {
				lapsed[fmt.Sprint(id, c.Attempt)] = true
			}
		}
	}
	for i, e := range w.events {
		if end, ok := e.(history.AttemptEnd); ok && lapsed[fmt.Sprint(end.Task, end.Attempt)] {
			end.Outcome = record.LeaseExpired
			w.events[i] = end
		}
	}
}

func jobAccount(region *tasks.State, job *tasks.Job) history.JobAccount {
	switch job.State {
	case tasks.JobFinished:
		return history.JobFinished
	case tasks.JobFailed:
		return history.JobFailed
	case tasks.JobCancelled:
		return history.JobCancelled
	case tasks.JobRefused:
		return history.JobRefused
	}
	for _, id := range job.Tasks {
		if region.Tasks[id].State == lifecycle.TaskQueued {
			return history.JobWaiting
		}
	}
	return history.JobRunning
}

// unfinished returns the batch jobs still open at the end of the run, long after all faults have ended.
func (w *world) unfinished() []string {
	var open []string
	for _, e := range w.events {
		if s, ok := e.(history.JobState); ok && (s.State == history.JobWaiting || s.State == history.JobRunning) && s.Job[:3] == "h/j" {
			open = append(open, s.Job)
		}
	}
	return open
}
