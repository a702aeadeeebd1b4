package main

import (
	"fmt"
	"time"
)

func init() { cases["schedule"] = playSchedule }

// occurrences and intervalMs are those of a job that runs once a minute for a year.
const (
	occurrences = 525_600
	intervalMs  = 60_000
	// endsAllowed is the number of ends in a day from which a process counts, machinesAllowed the number of such machines.
	endsAllowed     = 3
	machinesAllowed = 2
)

// playSchedule hands in a job that runs once a minute for a year. With trouble its start time is 0, which clients leave out, so
// that all of its runs are due.
func playSchedule(w *world, trouble bool) (string, error) {
	fronts, _, err := w.small(3, 2)
	if err != nil {
		return "", err
	}
	start := fmt.Sprintf(`,"start_at_ms":%d`, time.Now().UnixMilli())
	if trouble {
		w.rec("trouble: the job has no start time, so that its runs are due from 1970 on")
		start = ""
	}
	body := fmt.Sprintf(`{"spec":"ms=300","steps":[{"count":1,"cpu":500,"mem_mb":100,"est_ms":300}],"repeat_count":%d,"interval_ms":%d%s}`, occurrences, intervalMs, start)
	if !w.submit(fronts[0], "00000000000000b1", body) {
		w.rec("check: the job was refused, which the pages allow")
		return "", nil
	}
	time.Sleep(30 * time.Second)
	const other = "00000000000000c1"
	accepted := w.submit(fronts[1], other, ordinary(300))
	served := accepted && w.completes(fronts[1], other, finish+idleLimit)
	machines := 0
	for _, n := range fronts {
		n.mu.Lock()
		w.rec("check: the process on %s was killed %d times because of its memory; the most was %d MB of %d", n.name, n.killed, n.peakMB, n.memoryMB)
		if n.killed >= endsAllowed {
			machines++
		}
		n.mu.Unlock()
	}
	w.rec("check: another client's job was accepted: %v, and completed within %v: %v", accepted, finish+idleLimit, served)
	if machines >= machinesAllowed {
		return fmt.Sprintf("Fault: on %d of 5 machines the process was killed %d times or more because of its memory; a later job of another client completed: %v", machines, endsAllowed, served), nil
	}
	return "", nil
}
