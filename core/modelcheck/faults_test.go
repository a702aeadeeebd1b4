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

// Times of a run: faults begin within faultTime, then everything heals and settles.
const (
	faultTime  = 90 * time.Second
	settleTime = modelMax + 100*time.Second
)

// fault is one disturbance of a run.
type fault struct {
	kind   faultKind
	at     time.Duration
	length time.Duration
	a, b   int
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

// scenario is one run of the model.
type scenario struct {
	seed      uint64
	loss, dup float64
	faults    []fault
}

var zones = []string{"a", "b"}

// run plays a scenario and returns its history.
func (sc scenario) run() *world {
	w := newWorld(sc.seed)
	for i := range 3 {
		w.addEntry(i, zones[i%2])
	}
	for i := range 4 {
		w.addWorker(i, zones[i%2])
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
	w.heal()
	w.runUntil(faultTime + settleTime)
	w.account()
	return w
}

func (w *world) heal() {
	w.loss, w.dup, w.slow, w.logDown = 0, 0, 0, 0
	clear(w.cuts)
	for _, e := range w.entries {
		e.pausedUntil = 0
	}
	for _, s := range w.sides {
		s.pausedUntil, s.worker.pausedUntil = 0, 0
	}
	w.after(time.Second, w.bringBack)
}

// bringBack brings all zones back. A change may be made from a version that is old by then, so it is made again.
func (w *world) bringBack() {
	for _, z := range zones {
		if w.entries[0].state.Config.ZoneOut(z) {
			w.entries[0].setZone(z, false, false)
		}
	}
	w.after(4*time.Second, w.bringBack)
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

// injectWork injects what operators and customers do.
func (w *world) injectWork(i int, f fault) {
	e, o, z := w.entries[f.a%3], w.entries[f.b%3], zones[f.b%2]
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

// account notes the last account of every job from the entry that has read most.
func (w *world) account() {
	best := w.entries[0]
	for _, e := range w.entries {
		if e.state.Region.Next > best.state.Region.Next {
			best = e
		}
		w.note(history.RevisionSeen{At: w.now, Process: e.process(), Revision: e.state.Config.Revision})
	}
	for _, id := range best.state.Region.JobIDs() {
		if !w.accepted[id] {
			// The entry that sent the job crashed before it learned of the acceptance.
			w.note(history.JobAccepted{At: 0, Job: id, Kind: best.state.Region.Jobs[id].Spec.Kind})
		}
		w.note(history.JobState{At: w.now, Job: id, State: accountOf(best.state.Region, best.state.Region.Jobs[id])})
	}
	for _, s := range w.sides {
		s.worker.advance()
	}
	w.lapseUnreported(best.state.Region)
	best.zoneHistory()
}

// lapseUnreported corrects ends that no decider learned of, because the worker crashed or was cut off until the lease
// ended: by the record those attempts lapsed, and their tasks rightly run again.
func (w *world) lapseUnreported(region *tasks.State) {
	lapsed := map[string]bool{}
	for id, t := range region.Tasks {
		for _, c := range t.History {
			if strings.HasPrefix(c.Cause, string(record.Lapsed)) {
				lapsed[fmt.Sprint(id, c.Attempt)] = true
			}
		}
	}
	for i, e := range w.events {
		if end, ok := e.(history.AttemptEnd); ok && lapsed[fmt.Sprint(end.Task, end.Attempt)] {
			end.Outcome = record.Lapsed
			w.events[i] = end
		}
	}
}

func accountOf(region *tasks.State, job *tasks.Job) history.JobAccount {
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

// unfinished returns batch jobs that are still open at the end, although everything healed long before.
func (w *world) unfinished() []string {
	var open []string
	for _, e := range w.events {
		if s, ok := e.(history.JobState); ok && (s.State == history.JobWaiting || s.State == history.JobRunning) && s.Job[:3] == "h/j" {
			open = append(open, s.Job)
		}
	}
	return open
}
