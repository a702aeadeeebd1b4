package scheduler

import (
	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/record"
)

// worker is a worker of the fleet, or one that is only known from a task that runs on it.
type worker struct {
	id, zone, rack string
	capacity       record.Resources
	committed      record.Resources
	// known is true after WorkerUp, up while the worker is in contact.
	known, up bool
	// tasks holds the running and proposed tasks.
	tasks   []*task
	zoneRef *zone
	// bucket and bucketSlot are the position of the worker in the free index; bucket is -1 if it is not in the index.
	bucket, bucketSlot int
	// pastRuns holds recently ended runs, to match late reports.
	pastRuns []pastRun
	// reportMs is when the newest report was measured, usedCPU the processors in use then, and sinceReport what later
	// starts committed.
	reportMs, usedCPU, sinceReport int64
	// reportTimes holds the measurement times of the newest reports, to drop repeats.
	reportTimes    [16]int64
	nextReportTime int
	// stale is true if the expected slowdowns of services have to be computed again.
	stale    bool
	services []*task
	// slowReports and normalReports count consecutive reports.
	slowReports, normalReports int
	evictions                  *rate.Limiter
	// unverified counts the attempts not yet known to run; startWindow bounds it.
	unverified, startWindow int
	outcomes                []outcome
	// probation is true while the worker gets one trial task at a time; trial is true while one runs.
	probation, trial     bool
	probationMs, trialMs int64
	passed               int
	// nominee is the job for which nomineeSize of the free capacity is reserved until nomineeMs.
	nominee     *job
	nomineeMs   int64
	nomineeSize record.Resources
}

func newWorker(id string) *worker {
	return &worker{id: id, zoneRef: &zone{}, startWindow: initialStartWindow, stale: true, bucket: -1}
}

// setUp sets whether the worker is in contact.
func (s *State) setUp(w *worker, up bool) {
	if w.up != up {
		w.up = up
		if up {
			s.workersUp++
		} else {
			s.workersUp--
		}
	}
	s.free.update(w)
}

// free returns the capacity that is not committed.
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
			t.lostAlerted = false
		}
	}
	w.zone, w.rack, w.capacity, w.known, w.zoneRef = e.Zone, e.Rack, e.Capacity, true, s.zoneOf(e.Zone)
	s.setUp(w, true)
	s.capacityGen++
}

func (s *State) workerDown(id string) {
	if w := s.workers[id]; w != nil && w.up {
		s.setUp(w, false)
		s.alertLongRunningLost(w)
	}
}

func (s *State) workerRemoved(nowMs int64, id string) {
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
			// The leases have expired, so the attempt has ended even if the event of its end is late.
			t.ended = t.attempt
			s.longRunningEnded(nowMs, t, record.End{Attempt: t.attempt, Outcome: record.LeaseExpired, Reason: "its worker is gone"}, nowMs-t.startMs)
		}
	}
	s.setUp(w, false)
	if w.known {
		s.shapeChange(nowMs, w.capacity, -1)
	}
	delete(s.workers, id)
	s.removeWorker(w)
}

// shapeChange changes the number of workers with the given capacity.
func (s *State) shapeChange(nowMs int64, capacity record.Resources, by int) {
	for _, sh := range s.shapes {
		if sh.capacity == capacity {
			sh.count, sh.lastMs = sh.count+by, nowMs
			return
		}
	}
	s.shapes = append(s.shapes, &shape{capacity: capacity, count: by, lastMs: nowMs})
}

// fitsFleet reports whether a worker of the fleet, or one that was removed within SettleMs, is large enough.
func (s *State) fitsFleet(nowMs int64, size record.Resources) bool {
	for _, sh := range s.shapes {
		if (sh.count > 0 || nowMs-sh.lastMs < s.cfg.SettleMs) && size.Fits(sh.capacity) {
			return true
		}
	}
	return false
}
