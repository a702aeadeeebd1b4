package main

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["progress"] = playProgress }

// recordBytes is record_bytes of the deployment, the largest record that the store takes.
const recordBytes = 262_144

const (
	// pastRuns is the number of runs of a job that is due each second and began half a day ago.
	pastRuns = 43_200
	// poisonAmong is the number of ordinary jobs that come before it within 3 s.
	poisonAmong = 20
	// progressTime is how long the job is left alone before another client hands in its own.
	progressTime = 45 * time.Second
)

// playProgress has a job of two steps that is due each second and began half a day ago. With trouble its second step can never be
// done: it requires a label that no worker has. The store refuses records over its limit.
func playProgress(w *world, trouble bool) (string, error) {
	var largest, refused atomic.Int64
	w.setIntercept(func(rw http.ResponseWriter, r *http.Request, body []byte, _ http.Handler) bool {
		if r.URL.Path != "/-/log-append" {
			return false
		}
		for rest := body; len(rest) >= 4; {
			n := int64(binary.BigEndian.Uint32(rest))
			largest.Store(max(largest.Load(), n))
			if n > recordBytes {
				if refused.Add(1) == 1 {
					w.rec("store: a record of %d bytes for %s is refused; the most is %d", n, r.URL.Query().Get("topic"), recordBytes)
				}
				rw.WriteHeader(http.StatusBadRequest)
				return true
			}
			rest = rest[4+n:]
		}
		return false
	})
	fronts, workers, err := w.small(3, 8)
	if err != nil {
		return "", err
	}
	for _, k := range workers {
		k.mu.Lock()
		k.quiet = true
		k.mu.Unlock()
	}
	requires := ""
	if trouble {
		w.rec("trouble: the second step of the job can never be done (poison)")
		requires = `,"requires":"nobody"`
	}
	body := fmt.Sprintf(`{"spec":"ms=1 cpu=10","steps":[{"count":1,"cpu":10,"mem_mb":1,"est_ms":1},{"count":1,"cpu":10,"mem_mb":1,"est_ms":1,"depends_on":[0]%s}],"repeat_count":%d,"interval_ms":1000,"start_at_ms":%d}`,
		requires, pastRuns, time.Now().UnixMilli()-pastRuns*1000)
	// Of the jobs that come within 3 s a share of less than 0.05 is never done.
	for i := range poisonAmong {
		if !w.submit(fronts[i%len(fronts)], fmt.Sprintf("%016x", 0xd000+i), ordinary(300)) {
			return "", fmt.Errorf("an ordinary job was not accepted")
		}
		time.Sleep(100 * time.Millisecond)
	}
	const first = "00000000000000b1"
	if !w.submit(fronts[0], first, body) {
		w.rec("check: the job was refused, which the pages allow")
		return "", nil
	}
	for at := time.Now(); time.Since(at) < progressTime; {
		time.Sleep(5 * time.Second)
		starts := 0
		for _, k := range workers {
			starts += k.startsOf(first)
		}
		w.rec("check: %d starts of the job; the largest record has %d bytes, %d appends were refused", starts, largest.Load(), refused.Load())
	}
	w.recordRuns(workers, first)
	return w.judgeLost(fronts[1], workers, workers, ordinary(300))
}

// recordRuns records which tasks of a job were run, in place of a line for each start.
func (w *world) recordRuns(workers []*worker, id string) {
	type tally struct{ tasks, starts, lowest, highest int }
	steps := map[int]*tally{}
	for _, k := range workers {
		k.mu.Lock()
		for task, starts := range k.starts {
			var occurrence, step, index int
			if n, _ := fmt.Sscanf(task, id+".%d.%d.%d", &occurrence, &step, &index); n != 3 {
				continue
			}
			if steps[step] == nil {
				steps[step] = &tally{lowest: occurrence, highest: occurrence}
			}
			t := steps[step]
			t.tasks, t.starts = t.tasks+1, t.starts+starts
			t.lowest, t.highest = min(t.lowest, occurrence), max(t.highest, occurrence)
		}
		k.mu.Unlock()
	}
	for step := range 2 {
		if t := steps[step]; t != nil {
			w.rec("run: step %d of %s: %d tasks with %d starts, of the occurrences %d to %d", step, id, t.tasks, t.starts, t.lowest, t.highest)
		} else {
			w.rec("run: step %d of %s: none", step, id)
		}
	}
}
