package scheduler

import (
	"container/heap"
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
)

// riskCheckMs is the minimum time between two deadline checks of one job.
const riskCheckMs = 5_000

// riskEntry is a job whose deadline is checked at atMs.
type riskEntry struct {
	job  *job
	atMs int64
}

type riskHeap []riskEntry

func (h riskHeap) Len() int      { return len(h) }
func (h riskHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h riskHeap) Less(a, b int) bool {
	if h[a].atMs != h[b].atMs {
		return h[a].atMs < h[b].atMs
	}
	return h[a].job.rec.ID < h[b].job.rec.ID
}
func (h *riskHeap) Push(x any) { *h = append(*h, x.(riskEntry)) }
func (h *riskHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = riskEntry{}
	*h = old[:len(old)-1]
	return e
}

// watchDeadline schedules the deadline check of a job for the time from which it is at risk.
func (s *State) watchDeadline(j *job) {
	if j.rec.DeadlineMs > 0 && j.rec.Kind == record.BatchJob && !j.riskWatched {
		j.riskWatched = true
		heap.Push(&s.risks, riskEntry{j, j.latestStartMs - s.cfg.RiskMarginMs})
	}
}

// checkRisks raises an alert for each job that is expected to miss its deadline, before it does.
func (s *State) checkRisks(nowMs int64) {
	for n := 0; n < s.cfg.ChecksPerCall && len(s.risks) > 0 && s.risks[0].atMs <= nowMs; n++ {
		j := s.risks[0].job
		if s.jobs[j.rec.ID] != j || j.cancelled || j.refusal != "" || j.riskAlert {
			heap.Pop(&s.risks)
			continue
		}
		reason := s.lateReason(nowMs, j)
		if reason == "" && nowMs < j.rec.DeadlineMs {
			s.risks[0].atMs = nowMs + riskCheckMs
			heap.Fix(&s.risks, 0)
			continue
		}
		heap.Pop(&s.risks)
		if reason != "" {
			j.riskAlert = true
			s.alert(Alert{Code: AlertDeadlineRisk, Job: j.rec.ID, Message: reason})
		}
	}
}

// lateReason returns why the job is expected to miss its deadline; empty if it is not.
func (s *State) lateReason(nowMs int64, j *job) string {
	run := j.expectedRunMs()
	// A job may have many tasks; the check stops at the first that is expected to be late.
	for _, t := range j.tasks {
		switch {
		case t.phase == phaseQueued || t.phase == phaseDelayed:
			need := max(run-t.checkpointMs, 0)
			if nowMs+need > j.rec.DeadlineMs {
				return fmt.Sprintf("%s waits (%s) and needs %d s, the deadline is in %d s", t.id, j.why, need/1000,
					(j.rec.DeadlineMs-nowMs)/1000)
			}
		case t.phase == phaseRunning:
			left := t.remainingMs(nowMs) * fullShare / max(t.speedMilli(), 100)
			if nowMs+left > j.rec.DeadlineMs {
				return fmt.Sprintf("%s runs and is expected to need %d s more, the deadline is in %d s", t.id, left/1000,
					(j.rec.DeadlineMs-nowMs)/1000)
			}
		}
	}
	return ""
}

// speedMilli returns the mean speed of the running attempt.
func (t *task) speedMilli() int64 {
	if t.speedCount == 0 {
		return fullShare
	}
	return t.speedSum / t.speedCount
}
