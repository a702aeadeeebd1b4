package soak

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"
)

// checker watches what workers and callers see.
type checker struct {
	mu sync.Mutex
	// at holds the worker on which a task works.
	at map[string]string
	// noted holds tasks whose end as done was forgotten by its worker on orders.
	noted map[string]bool
	// failed holds the failed runs of a task that were forgotten.
	failed map[string]int
	done   map[string]bool
	starts int
	// jobs holds what callers know of jobs.
	jobs     map[string]*submission
	problems []string
}

// submission is what a caller knows of a job.
type submission struct {
	// steps holds the number of tasks of each step; each step depends on the one before.
	steps []int
	// accepted is true after a 2xx, rejected after nothing but 429 and 503.
	accepted, unknown bool
	cancelled         time.Time
}

const (
	// attempts is how often a task may fail.
	attempts = 3
	// cancelBound is how long after the acknowledgement of its cancelling a job's tasks may start. Processes are paused and
	// the store is away for up to 5 s, so the bound holds only for runs that start long after.
	cancelBound = 20 * time.Second
)

func newChecker() *checker {
	return &checker{at: map[string]string{}, noted: map[string]bool{}, failed: map[string]int{}, done: map[string]bool{}, jobs: map[string]*submission{}}
}

func (c *checker) problem(format string, args ...any) {
	if len(c.problems) < 20 {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

// started checks that a run may start.
func (c *checker) started(worker, task string, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if other := c.at[task]; other != "" {
		c.problem("TWICE: %s run %d starts on %s while it works on %s", task, run, worker, other)
	}
	if c.noted[task] {
		c.problem("TWICE: %s run %d starts on %s after its end as done was taken note of", task, run, worker)
	}
	if c.failed[task] >= attempts {
		c.problem("BUDGET: %s run %d starts after %d failures", task, run, c.failed[task])
	}
	c.at[task] = worker
	var job string
	var occurrence, step, index int
	if n, err := fmt.Sscanf(strings.ReplaceAll(task, ".", " "), "%s %d %d %d", &job, &occurrence, &step, &index); n != 4 || err != nil {
		c.problem("UNASKED: %s has no name of a task", task)
		return
	}
	s := c.jobs[job]
	if s == nil || step >= len(s.steps) || index >= s.steps[step] {
		c.problem("UNASKED: nobody asked for %s", task)
		return
	}
	if !s.cancelled.IsZero() && time.Since(s.cancelled) > cancelBound {
		c.problem("UNASKED: %s starts %s after its cancelling", task, time.Since(s.cancelled))
	}
	for i := 0; step > 0 && i < s.steps[step-1]; i++ {
		if before := fmt.Sprintf("%s.%d.%d.%d", job, occurrence, step-1, i); !c.done[before] {
			c.problem("ORDER: %s starts before %s is done", task, before)
		}
	}
}

// ended notes the end of a run.
func (c *checker) ended(task string, _ int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.at, task)
	if how == "done" {
		c.done[task] = true
	}
}

// forgotten notes that the system told a worker to forget an end.
func (c *checker) forgotten(task string, _ int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch how {
	case "done":
		c.noted[task] = true
	case "failed":
		c.failed[task]++
	}
}

// plan draws how long a run takes and how it ends from its name.
func (c *checker) plan(task string, run int) (time.Duration, string) {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, task, run)
	v := h.Sum32()
	how := "done"
	if v%17 == 0 {
		how = "failed"
	}
	return time.Duration(200+v%1500) * time.Millisecond, how
}

// answered notes the answer to a submission; status 0 stands for none.
func (c *checker) answered(job string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[job]
	switch {
	case status >= 200 && status < 300:
		s.accepted = true
	case status != 429 && status != 503:
		s.unknown = true
	}
}

// refusals checks that nothing runs of jobs all of whose submissions were refused.
func (c *checker) refusals() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.done {
		job, _, _ := strings.Cut(task, ".")
		if s := c.jobs[job]; s != nil && !s.accepted && !s.unknown {
			c.problem("REFUSED: %s ran although its job was refused", task)
		}
	}
}
