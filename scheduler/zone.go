package scheduler

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/record"
)

// zone is an availability zone.
type zone struct {
	name string
	out  bool
	// sinceMs is when the zone was last taken out of service or brought back; 0 if never.
	sinceMs int64
	// toEvict holds the tasks to evict while the zone is out of service, most at risk first.
	toEvict []*task
	// inGrace holds the tasks that may finish in the zone within EvacGraceMs.
	inGrace []*task
	// evicted holds the tasks evicted from the zone that have not started elsewhere.
	evicted []*task
	// nextMs is when the next eviction is due if the other zones have no free capacity.
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
	z.out, z.sinceMs, z.toEvict, z.inGrace, z.evicted, z.nextMs = e.Out, nowMs, nil, nil, nil, nowMs
	s.capacityGen++
	for _, w := range s.workerOrder {
		if w.zone != z.name {
			continue
		}
		w.startWindow = min(w.startWindow, initialStartWindow)
		s.free.update(w)
		if !z.out {
			continue
		}
		for _, t := range w.tasks {
			if t.phase == phaseRunning && t.job != nil && t.job.rec.Kind != record.ServiceJob {
				z.toEvict = append(z.toEvict, t)
			}
		}
	}
	sort.SliceStable(z.toEvict, func(a, b int) bool { return evictsBefore(z.toEvict[a], z.toEvict[b]) })
}

// evictsBefore orders the tasks of a zone that is out of service: long-running tasks first, then urgent ones, then by
// latest start.
func evictsBefore(a, b *task) bool {
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

// evacuate evicts tasks from zones that are out of service, most at risk first, at the rate at which the other zones
// have free capacity for them. If they have none, a task with checkpoints is still evicted every EvacIntervalMs: the
// zone may fail at any time, and progress without a checkpoint is then lost.
func (s *State) evacuate(nowMs int64) {
	for _, z := range s.zoneOrder {
		if z.inGrace != nil && nowMs-z.sinceMs >= s.cfg.EvacGraceMs {
			z.toEvict, z.inGrace = append(z.toEvict, z.inGrace...), nil
		}
		if !z.out || len(z.toEvict) == 0 {
			continue
		}
		available := s.capacityElsewhere()
		kept := z.evicted[:0]
		for _, t := range z.evicted {
			if t.phase != phaseIdle && (t.worker == nil || t.worker.zone == z.name) {
				available = available.Sub(t.size)
				kept = append(kept, t)
			}
		}
		z.evicted = kept
		for n := 0; n < s.cfg.EvacPerCall && len(z.toEvict) > 0; n++ {
			t := z.toEvict[0]
			if t.phase != phaseRunning || t.worker == nil || t.worker.zone != z.name || t.evictMs != 0 {
				z.toEvict = z.toEvict[1:]
				continue
			}
			if s.inGracePeriod(nowMs, z, t) {
				z.toEvict = z.toEvict[1:]
				z.inGrace = append(z.inGrace, t)
				continue
			}
			if !t.size.Fits(available) {
				if nowMs < z.nextMs || !t.job.rec.Checkpoint {
					break
				}
				z.nextMs = nowMs + s.cfg.EvacIntervalMs
			}
			z.toEvict = z.toEvict[1:]
			if t.job.rec.Kind == record.BatchJob && t.remainingMs(nowMs) < s.cfg.MinStayMs && !t.job.rec.Checkpoint {
				// The task may end before the zone fails; an eviction would lose its work for certain.
				continue
			}
			available = available.Sub(t.size)
			z.evicted = append(z.evicted, t)
			s.evict(nowMs, t, "its zone is taken out of service")
		}
	}
}

// inGracePeriod reports whether a task of a zone that is out of service may finish there: a batch task that is expected
// to end within EvacGraceMs of the time when the zone was taken out.
func (s *State) inGracePeriod(nowMs int64, z *zone, t *task) bool {
	left := z.sinceMs + s.cfg.EvacGraceMs - nowMs
	return left > 0 && t.job.rec.Kind == record.BatchJob && t.remainingMs(nowMs) <= left
}

// capacityElsewhere returns the free capacity of workers in contact in zones that are in service.
func (s *State) capacityElsewhere() record.Resources {
	var sum record.Resources
	for _, w := range s.workerOrder {
		if w.known && w.up && !w.zoneRef.out && !w.probation {
			sum = sum.Add(w.free())
		}
	}
	return sum
}

// excludeRampUp adds load gradually to a zone that was brought back.
func excludeRampUp(p *placement, w *worker) string {
	z := w.zoneRef
	passed := p.nowMs - z.sinceMs
	if z.sinceMs == 0 || passed >= p.s.cfg.ZoneRampUpMs || len(w.tasks) == 0 {
		return ""
	}
	allowed := w.capacity.CPUMilli * max(passed, 0) / p.s.cfg.ZoneRampUpMs
	if w.committed.CPUMilli+p.size.CPUMilli > allowed {
		return "its zone came back and fills gradually"
	}
	return ""
}
