package scheduler

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/record"
)

// zone is an availability zone.
type zone struct {
	name string
	out  bool
	// sinceMs is when the zone was last taken out or brought back; 0 if never.
	sinceMs int64
	// leaving holds tasks to evict while the zone is out, most at risk first.
	leaving []*task
	// staying holds tasks that are given EvacStayMs to end where they are.
	staying []*task
	// moving holds tasks evicted from the zone that have not started elsewhere.
	moving []*task
	// nextMs is when the next eviction is due if the other zones have no room.
	nextMs int64
}

func (s *State) zoneOf(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{name: name}
		s.zones[name] = z
		i := sort.Search(len(s.zoneOrder), func(i int) bool { return s.zoneOrder[i].name >= name })
		s.zoneOrder = append(s.zoneOrder, nil)
		copy(s.zoneOrder[i+1:], s.zoneOrder[i:])
		s.zoneOrder[i] = z
	}
	return z
}

func (s *State) zoneChanged(nowMs int64, e ZoneChanged) {
	if e.Zone == "" {
		return
	}
	z := s.zoneOf(e.Zone)
	if z.out == e.Out {
		return
	}
	z.out, z.sinceMs, z.leaving, z.staying, z.moving, z.nextMs = e.Out, nowMs, nil, nil, nil, nowMs
	s.freeGen++
	for _, w := range s.order {
		if w.zone != z.name {
			continue
		}
		w.ramp = min(w.ramp, startRamp)
		s.free.update(w)
		if !z.out {
			continue
		}
		for _, t := range w.tasks {
			if t.phase == phaseRunning && t.job != nil && t.job.rec.Kind != record.ServiceJob {
				z.leaving = append(z.leaving, t)
			}
		}
	}
	sort.SliceStable(z.leaving, func(a, b int) bool { return leavesBefore(z.leaving[a], z.leaving[b]) })
}

// leavesBefore orders tasks of a zone that is out: standing tasks first, then by latest start.
func leavesBefore(a, b *task) bool {
	if as, bs := a.job.rec.Kind == record.StandingJob, b.job.rec.Kind == record.StandingJob; as != bs {
		return as
	}
	if a.job.rec.Urgent != b.job.rec.Urgent {
		return a.job.rec.Urgent
	}
	if a.job.latestStartMs != b.job.latestStartMs {
		return a.job.latestStartMs < b.job.latestStartMs
	}
	return a.id < b.id
}

// evacuate evicts work from zones that are out, most at risk first, as fast as the other zones have room for it. When
// they have none, a task that keeps its progress still leaves every EvacEveryMs: the zone may go at any moment, and
// what was not checkpointed by then is lost.
func (s *State) evacuate(nowMs int64) {
	for _, z := range s.zoneOrder {
		if z.staying != nil && nowMs-z.sinceMs >= s.cfg.EvacStayMs {
			z.leaving, z.staying = append(z.leaving, z.staying...), nil
		}
		if !z.out || len(z.leaving) == 0 {
			continue
		}
		room := s.roomElsewhere()
		kept := z.moving[:0]
		for _, t := range z.moving {
			if t.phase != phaseIdle && (t.worker == nil || t.worker.zone == z.name) {
				room = room.Sub(t.size)
				kept = append(kept, t)
			}
		}
		z.moving = kept
		for n := 0; n < s.cfg.EvacPerCall && len(z.leaving) > 0; n++ {
			t := z.leaving[0]
			if t.phase != phaseRunning || t.worker == nil || t.worker.zone != z.name || t.evictMs != 0 {
				z.leaving = z.leaving[1:]
				continue
			}
			if s.mayStay(nowMs, z, t) {
				z.leaving = z.leaving[1:]
				z.staying = append(z.staying, t)
				continue
			}
			if !t.size.Fits(room) {
				if nowMs < z.nextMs || !t.job.rec.Checkpoint {
					break
				}
				z.nextMs = nowMs + s.cfg.EvacEveryMs
			}
			z.leaving = z.leaving[1:]
			if t.job.rec.Kind == record.BatchJob && t.remainingMs(nowMs) < s.cfg.MinStayMs && !t.job.rec.Checkpoint {
				// It may end before the zone goes; evicting it would lose its work for certain.
				continue
			}
			room = room.Sub(t.size)
			z.moving = append(z.moving, t)
			s.evict(nowMs, t, "its zone is taken out of service")
		}
	}
}

// mayStay reports whether a task of a zone that is out gets time to end there: a batch task that is expected to end within
// EvacStayMs of the order.
func (s *State) mayStay(nowMs int64, z *zone, t *task) bool {
	left := z.sinceMs + s.cfg.EvacStayMs - nowMs
	return left > 0 && t.job.rec.Kind == record.BatchJob && t.remainingMs(nowMs) <= left
}

// roomElsewhere is the free room on workers in contact in zones that are not out.
func (s *State) roomElsewhere() record.Resources {
	var sum record.Resources
	for _, w := range s.order {
		if w.known && w.up && !w.zoneRef.out && !w.probation {
			sum = sum.Add(w.free())
		}
	}
	return sum
}

// excludeFilling lets a zone that came back fill gradually.
func excludeFilling(p *placing, w *worker) string {
	z := w.zoneRef
	passed := p.nowMs - z.sinceMs
	if z.sinceMs == 0 || passed >= p.s.cfg.ZoneFillMs || len(w.tasks) == 0 {
		return ""
	}
	allowed := w.capacity.CPUMilli * max(passed, 0) / p.s.cfg.ZoneFillMs
	if w.committed.CPUMilli+p.size.CPUMilli > allowed {
		return "its zone came back and fills gradually"
	}
	return ""
}
