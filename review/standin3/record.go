package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps what is checked.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
	// startsOf counts the starts of each job, lastRunOf is when a run of a job last began or ended, endsOf counts its ends by how.
	startsOf  map[string]int
	lastRunOf map[string]time.Time
	endsOf    map[string]map[string]int
	// doneOf holds the tasks of each job of which a run has ended done.
	doneOf map[string]map[string]bool
	// spans holds all runs in the order in which they began.
	spans []*span
	// runLines are written only for the first runs of a job.
	runLines map[string]int
}

// span is the time in which a run works.
type span struct {
	task, worker string
	run          int
	began, ended time.Time
}

// endOr returns when the run ended, or now if it works on.
func (s *span) endOr(now time.Time) time.Time {
	if s.ended.IsZero() {
		return now
	}
	return s.ended
}

// maxRunLines is the number of starts and of ends of a job that are written one by one.
const maxRunLines = 12

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: out, began: time.Now(), startsOf: map[string]int{}, lastRunOf: map[string]time.Time{}, endsOf: map[string]map[string]int{}, doneOf: map[string]map[string]bool{}, runLines: map[string]int{}}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

func (r *record) write(line string) {
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), line)
}

func (r *record) runLine(job, kind, line string) {
	r.runLines[job+kind]++
	if n := r.runLines[job+kind]; n <= maxRunLines {
		r.write(line)
	} else if n == maxRunLines+1 {
		r.write(fmt.Sprintf("(further lines of this kind for job %s are left out)", job))
	}
}

func (r *record) started(w *worker, task string, x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, _, _ := parseTask(task)
	r.startsOf[job]++
	x.span = &span{task: task, worker: w.id, run: x.number, began: time.Now()}
	r.spans = append(r.spans, x.span)
	r.lastRunOf[job] = time.Now()
	r.runLine(job, "start", fmt.Sprintf("%s starts %s run %d", w.id, task, x.number))
}

func (r *record) ended(w *worker, task string, x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, _, _ := parseTask(task)
	r.lastRunOf[job] = time.Now()
	x.span.ended = time.Now()
	if r.endsOf[job] == nil {
		r.endsOf[job] = map[string]int{}
	}
	r.endsOf[job][how]++
	if how == "done" {
		if r.doneOf[job] == nil {
			r.doneOf[job] = map[string]bool{}
		}
		r.doneOf[job][task] = true
	}
	r.runLine(job, "end", fmt.Sprintf("%s ends %s run %d: %s", w.id, task, x.number, how))
}

// runsOf returns how many runs of a job have begun, how they have ended, of how many tasks one has ended done, and when the last one began or
// ended.
func (r *record) runsOf(job string) (starts int, ends string, done int, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsOf[job], fmt.Sprint(r.endsOf[job]), len(r.doneOf[job]), r.lastRunOf[job]
}
