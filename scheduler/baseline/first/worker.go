package first

import (
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// worker is a worker of the fleet, or one that is only known by a task that runs on it.
type worker struct {
	id, zone, rack string
	capacity       record.Resources
	committed      record.Resources
	// known is true after WorkerUp, up while the worker is in contact.
	known, up bool
	// tasks holds running and proposed tasks.
	tasks []*task
}

// free is what may still be committed.
func (w *worker) free() record.Resources { return w.capacity.Sub(w.committed) }

func (s *State) workerUp(nowMs int64, e scheduler.WorkerUp) {
	if e.ID == "" || !validSize(e.Capacity) {
		return
	}
	if s.firstWorkerMs == 0 {
		s.firstWorkerMs = nowMs
	}
	w := s.workers[e.ID]
	if w == nil {
		w = &worker{id: e.ID}
		s.workers[e.ID] = w
		s.insertWorker(w)
	}
	if !w.known || w.capacity != e.Capacity {
		if w.known {
			s.shapeChange(nowMs, w.capacity, -1)
		}
		s.shapeChange(nowMs, e.Capacity, 1)
	}
	w.zone, w.rack, w.capacity, w.known, w.up = e.Zone, e.Rack, e.Capacity, true, true
	s.zoneOf(e.Zone)
	s.freeGen++
}

func (s *State) workerDown(_ int64, id string) {
	if w := s.workers[id]; w != nil {
		w.up = false
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
		s.release(t)
		if proposed {
			s.enqueue(t)
		}
	}
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
