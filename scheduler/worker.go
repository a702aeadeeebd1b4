package scheduler

import (
	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/record"
)

// worker is a worker of the fleet, or one that is only known by a task that runs on it.
type worker struct {
	id, zone, rack string
	capacity       record.Resources
	committed      record.Resources
	// known is true after WorkerUp, up while the worker is in contact.
	known, up bool
	// tasks holds running and proposed tasks.
	tasks   []*task
	zoneRef *zone
	// bucket and place say where the worker is in the index; bucket is -1 if it is not.
	bucket, place int
	// past holds tasks that ended a short time ago, to match late reports.
	past []stay
	// reportMs is when the newest report was measured, usedCPU the processors in use then, and sinceReport what was
	// committed by starts after it.
	reportMs, usedCPU, sinceReport int64
	// seen holds the times of the newest reports, to drop repeats.
	seen     [16]int64
	seenNext int
	// stale is true when the expected slowdowns of services are to be computed again.
	stale    bool
	services []*task
	// hot and calm count reports in a row.
	hot, calm int
	evictions *rate.Limiter
	// unproven counts attempts not yet seen to run; ramp bounds it.
	unproven, ramp int
	outcomes       []outcome
	// probation is true while the worker gets one trial task at a time; trial is true while one runs.
	probation, trial     bool
	probationMs, trialMs int64
	passed               int
	// nominee is the job for which room is kept until nomineeMs.
	nominee     *job
	nomineeMs   int64
	nomineeSize record.Resources
}

func newWorker(id string) *worker {
	return &worker{id: id, zoneRef: &zone{}, ramp: startRamp, stale: true, bucket: -1}
}

// setUp changes whether the worker is in contact.
func (s *State) setUp(w *worker, up bool) {
	if w.up != up {
		w.up = up
		if up {
			s.up++
		} else {
			s.up--
		}
	}
	s.free.update(w)
}

// free is what may still be committed.
func (w *worker) free() record.Resources { return w.capacity.Sub(w.committed) }

func (s *State) workerUp(nowMs int64, e WorkerUp) {
	if e.ID == "" || !validSize(e.Capacity) {
		return
	}
	if s.firstWorkerMs == 0 {
		s.firstWorkerMs = nowMs
	}
	w := s.workers[e.ID]
	if w == nil {
		w = newWorker(e.ID)
		s.workers[e.ID] = w
		s.insertWorker(w)
	}
	if !w.known || w.capacity != e.Capacity {
		if w.known {
			s.shapeChange(nowMs, w.capacity, -1)
		}
		s.shapeChange(nowMs, e.Capacity, 1)
	}
	if !w.up {
		for _, t := range w.tasks {
			t.silent = false
		}
	}
	w.zone, w.rack, w.capacity, w.known, w.zoneRef = e.Zone, e.Rack, e.Capacity, true, s.zoneOf(e.Zone)
	s.setUp(w, true)
	s.freeGen++
}

func (s *State) workerDown(id string) {
	if w := s.workers[id]; w != nil && w.up {
		s.setUp(w, false)
		s.standingLost(w)
	}
}

func (s *State) workerGone(nowMs int64, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	for len(w.tasks) > 0 {
		t := w.tasks[len(w.tasks)-1]
		proposed := t.phase == phaseProposed
		s.release(nowMs, t)
		switch {
		case proposed:
			s.enqueue(nowMs, t)
		case t.attempt > t.ended:
			// The leases have ended, so the attempt is over even if its own end is late.
			t.ended = t.attempt
			s.standingEnded(nowMs, t, record.End{Attempt: t.attempt, Outcome: record.Lapsed, Reason: "its worker is gone"}, nowMs-t.startMs)
		}
	}
	s.setUp(w, false)
	if w.known {
		s.shapeChange(nowMs, w.capacity, -1)
	}
	delete(s.workers, id)
	s.removeWorker(w)
}

// shapeChange counts workers per capacity.
func (s *State) shapeChange(nowMs int64, capacity record.Resources, by int) {
	for _, sh := range s.shapes {
		if sh.capacity == capacity {
			sh.count, sh.lastMs = sh.count+by, nowMs
			return
		}
	}
	s.shapes = append(s.shapes, &shape{capacity: capacity, count: by, lastMs: nowMs})
}

// fitsFleet reports whether a worker of the fleet, or one that left within the settling time, is large enough.
func (s *State) fitsFleet(nowMs int64, size record.Resources) bool {
	for _, sh := range s.shapes {
		if (sh.count > 0 || nowMs-sh.lastMs < s.cfg.SettleMs) && size.Fits(sh.capacity) {
			return true
		}
	}
	return false
}
