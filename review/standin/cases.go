package main

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// cases holds the cases by name.
var cases = map[string]reviewCase{
	"occurrences": {labels: plainLabels(6), play: playOccurrences},
	"many-ends":   {labels: plainLabels(3), play: playManyEnds},
	"pending":     {labels: oneOfKindB(), play: playPending},
	"same-id":     {labels: oneOfKindB(), play: playSameID},
	"evacuation":  {labels: oneOfKindB(), play: playEvacuation},
	"gang":        {labels: plainLabels(6), play: playGang},
	"orders-done": {labels: oneOfKindB(), play: playOrdersDone},
}

// plainLabels returns the labels of n workers of one kind, three in a rack.
func plainLabels(n int) [][]string {
	var list [][]string
	for i := range n {
		list = append(list, []string{"a", fmt.Sprintf("r1-%d", i/3+1)})
	}
	return list
}

// oneOfKindB returns the labels of seven workers, of which the last is of another kind.
func oneOfKindB() [][]string { return append(plainLabels(6), []string{"b", "r1-3"}) }

// doneTasks returns the tasks of a job that a worker has listed as done.
func (d *deployment) doneTasks(id string) map[string]bool {
	done := map[string]bool{}
	for _, e := range d.runs.of(id + ".") {
		if e.kind == "end" && e.outcome == "done" {
			done[e.task] = true
		}
	}
	return done
}

// missing returns the tasks of a job that are not done.
func missing(id string, job submission, done map[string]bool) []string {
	var list []string
	for k := range max(job.RepeatCount, 1) {
		for s := range job.Steps {
			for i := range job.Steps[s].Count {
				if task := fmt.Sprintf("%s.%d.%d.%d", id, k, s, i); !done[task] {
					list = append(list, task)
				}
			}
		}
	}
	return list
}

// playOccurrences hands in a job with two occurrences that overlap, and kills the decider while the first occurrence is in its
// first step and the second has begun.
func playOccurrences(d *deployment, trouble bool) ([]string, error) {
	const id = "a0c0000000000001"
	start := time.Now().Add(2 * time.Second)
	job := submission{Spec: "nightly plan", RepeatCount: 2, StartAtMs: start.UnixMilli(), IntervalMs: 3000, Steps: []step{
		{Count: 4, CPU: 1800, MemMB: 1024, EstMs: 7000},
		{Count: 4, CPU: 1800, MemMB: 1024, EstMs: 1000, DependsOn: []int{0}},
	}}
	if err := d.submit(id, job); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(start.Add(4500 * time.Millisecond)))
	if trouble {
		m := d.decider()
		if m == nil {
			return nil, errors.New("find the decider: no append under a condition was seen")
		}
		if err := m.killAndRestart(); err != nil {
			return nil, err
		}
	}
	completed := d.awaitState(id, "completed", 40*time.Second)
	left := missing(id, job, d.doneTasks(id))
	switch {
	case completed && len(left) > 0:
		return []string{fmt.Sprintf("MIXED: job %s is shown as completed, and these of its tasks have not ended done: %s", id, strings.Join(left, " "))}, nil
	case !completed:
		return []string{fmt.Sprintf("LOST: job %s is not completed 40 s later, with the workers free; these tasks have not ended done: %s", id, strings.Join(left, " "))}, nil
	}
	return nil, nil
}

// playManyEnds runs a wide step whose tasks end while the store is down.
func playManyEnds(d *deployment, trouble bool) ([]string, error) {
	const id = "a0c0000000000002"
	job := submission{Spec: "small sums", Steps: []step{{Count: 2100, CPU: 20, MemMB: 40, EstMs: 8000, spread: 3500 * time.Millisecond}}}
	if err := d.submit(id, job); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		d.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		d.store.setDown(false)
	}
	if !d.awaitState(id, "completed", 40*time.Second) {
		return nil, errors.New("wait for the job: it is not completed 40 s later")
	}
	time.Sleep(2 * time.Second)
	return d.startsAfterDone(id), nil
}

// startsAfterDone returns the tasks of a job of which a run was started after one had ended done whose end was taken note of.
func (d *deployment) startsAfterDone(id string) []string {
	events := d.runs.of(id + ".")
	noted := map[string]bool{}
	lapsed := map[string]bool{}
	for _, e := range events {
		key := fmt.Sprint(e.worker, e.life, e.task, e.run)
		if e.kind == "noted" && e.outcome == "done" {
			noted[key] = true
		}
		if e.kind == "end" && e.outcome == "lapsed" {
			lapsed[e.worker] = true
		}
	}
	ended := map[string]runEvent{}
	var broken []string
	for _, e := range events {
		key := fmt.Sprint(e.worker, e.life, e.task, e.run)
		if e.kind == "end" && e.outcome == "done" && noted[key] && !lapsed[e.worker] {
			ended[e.task] = e
		}
		if first, ok := ended[e.task]; ok && e.kind == "start" {
			broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts on %s %d ms after run %d ended done on %s, and that end is taken note of",
				e.task, e.run, e.worker, e.at.Sub(first.at).Milliseconds(), first.run, first.worker))
		}
	}
	sort.Strings(broken)
	if len(broken) > 5 {
		broken = append(broken[:5], fmt.Sprintf("TWICE: and %d more", len(broken)-5))
	}
	return broken
}

// playPending loses the only worker of a kind for good while jobs come that require it, and asks for the length of the queue.
func playPending(d *deployment, trouble bool) ([]string, error) {
	const (
		jobs = 4
		// visible and slack are the time after which a job that has not begun has to be counted.
		visible, slack = 3 * time.Second, 2 * time.Second
	)
	job := submission{Spec: "sheet", Steps: []step{{Count: 2, CPU: 1000, MemMB: 512, EstMs: 800, Requires: "b"}}}
	if trouble {
		d.workers[len(d.workers)-1].crashDark()
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("a0c000000000010%d", i)
		if err := d.submit(id, job); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	time.Sleep(visible + slack + time.Second)
	waiting := 0
	for _, id := range ids {
		begun := false
		for _, e := range d.runs.of(id + ".") {
			begun = begun || e.kind == "start"
		}
		if !begun {
			waiting++
		}
	}
	d.rec.printf("judge: %d of %d jobs have not begun", waiting, jobs)
	var broken []string
	for _, m := range d.entries {
		pending, err := d.pending(m)
		if err != nil {
			return nil, err
		}
		if 2*pending < waiting {
			broken = append(broken, fmt.Sprintf("MIXED: %s gives %d as pending, and %d jobs that were accepted over 5 s before have not begun", m.name, pending, waiting))
		}
	}
	return broken, nil
}

// playOrdersDone crashes a worker while starts are on their way to it. After it is back, one start gets no answer and is carried
// out late.
func playOrdersDone(d *deployment, trouble bool) ([]string, error) {
	const (
		before, after = "a0c0000000000201", "a0c0000000000202"
		// crash is how long the worker is away, late how long the start is held up.
		crash, late = 600 * time.Millisecond, 3 * time.Second
	)
	w := d.workers[len(d.workers)-1]
	tasks := func(n int) submission {
		return submission{Spec: "sheet", Steps: []step{{Count: n, CPU: 500, MemMB: 256, EstMs: 800, Requires: "b"}}}
	}
	w.late = func(task string, run int) time.Duration {
		if trouble && strings.HasPrefix(task, after) && run == 1 {
			return late
		}
		return 0
	}
	if trouble {
		w.crash()
	}
	if err := d.submit(before, tasks(12)); err != nil {
		return nil, err
	}
	time.Sleep(crash)
	if trouble {
		if err := w.listen(); err != nil {
			return nil, err
		}
		w.boot()
	}
	if !d.awaitState(before, "completed", 20*time.Second) {
		return nil, errors.New("wait for the job of before: it is not completed 20 s later")
	}
	if err := d.submit(after, tasks(1)); err != nil {
		return nil, err
	}
	if d.awaitState(after, "completed", 30*time.Second) {
		return nil, nil
	}
	return d.lost(after, w)
}

// lost reports a job that is not completed as lost if the rule's conditions hold: for 3 s nothing of it runs, the only worker
// that may run its tasks has room for one twice over, and less than half of the room is in use there and everywhere.
func (d *deployment) lost(id string, only *worker) ([]string, error) {
	const span = 3 * time.Second
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		active := map[string]bool{}
		for _, e := range d.runs.of(id + ".") {
			key := fmt.Sprint(e.worker, e.life, e.task, e.run)
			active[key] = e.kind == "start" || e.kind != "end" && active[key]
		}
		for key, runs := range active {
			if runs {
				return nil, fmt.Errorf("judge job %s: it is late, but %s runs", id, key)
			}
		}
		size := d.taskSize(id + ".0.0.0")
		for _, w := range d.workers {
			if (w == only || w.zone == only.zone) && !w.isFree(size) || w != only && !w.isFree(taskSize{}) {
				return nil, fmt.Errorf("judge job %s: worker %s is not free", id, w.machine)
			}
		}
	}
	return []string{fmt.Sprintf("LOST: job %s was accepted over 30 s ago, nothing of it has run for 3 s, and worker %s, which may run it, has room for it twice over", id, only.machine)}, nil
}

// playSameID crashes a worker that is back at once under its id, while short tasks are sent to it.
func playSameID(d *deployment, trouble bool) ([]string, error) {
	const (
		// firstHeartbeat is the pause between the start of the worker and its first heartbeat. On the bench a worker that
		// crashed had registered 0.05 to 0.50 s after its end was over.
		firstHeartbeat = 400 * time.Millisecond
		// restart is how long the worker is away.
		restart = 300 * time.Millisecond
	)
	w := d.workers[len(d.workers)-1]
	short := submission{Spec: "stamp", Steps: []step{{Count: 3, CPU: 500, MemMB: 128, EstMs: 200, Requires: "b"}}}
	id := func(i int) string { return fmt.Sprintf("a0c00000000003%02d", i) }
	for i := range 30 {
		if i == 15 && trouble {
			w.crash()
			time.Sleep(restart)
			if err := w.listen(); err != nil {
				return nil, err
			}
			w.bootAs(w.id, firstHeartbeat)
		}
		if err := d.submit(id(i), short); err != nil {
			return nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	var broken []string
	for i := range 30 {
		if !d.awaitState(id(i), "completed", 20*time.Second) {
			return nil, fmt.Errorf("wait for job %s: it is not completed 20 s later", id(i))
		}
	}
	time.Sleep(time.Second)
	for i := range 30 {
		broken = append(broken, d.startsAfterDone(id(i))...)
	}
	return broken, nil
}

// playEvacuation evacuates a zone and takes it back while the store forgets its history. Then a job comes that only a worker of
// that zone can run.
func playEvacuation(d *deployment, trouble bool) ([]string, error) {
	const (
		id = "a0c0000000000401"
		// quiet is how long readers hear nothing before the history is deleted.
		quiet = time.Second
	)
	w := d.workers[len(d.workers)-1]
	key := "evacuate/" + w.zone
	d.rec.printf("operator: puts op/%s", key)
	d.store.put("keyed.op", key, encode(map[string]any{"zone": w.zone}))
	time.Sleep(6 * time.Second)
	takeBack := func() {
		d.rec.printf("operator: removes op/%s", key)
		d.store.put("keyed.op", key, nil)
	}
	if trouble {
		d.store.loseHistory("keyed.op", quiet, takeBack)
	} else {
		takeBack()
	}
	time.Sleep(6 * time.Second)
	if err := d.submit(id, submission{Spec: "sheet", Steps: []step{{Count: 2, CPU: 1000, MemMB: 512, EstMs: 800, Requires: "b"}}}); err != nil {
		return nil, err
	}
	if d.awaitState(id, "completed", 30*time.Second) {
		return nil, nil
	}
	return d.lost(id, w)
}

// playGang crashes a worker that runs a member of a gang, and looks at the checkpoints with which the gang starts again.
func playGang(d *deployment, trouble bool) ([]string, error) {
	const id = "a0c0000000000501"
	job := submission{Spec: "model", Steps: []step{{Count: 6, CPU: 9000, MemMB: 4096, EstMs: 9000, Gang: true, Saves: true}}}
	if err := d.submit(id, job); err != nil {
		return nil, err
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		d.workers[0].crash()
		for _, w := range d.workers[1:] {
			w.breakGang(id + ".")
		}
		time.Sleep(time.Second)
		if err := d.workers[0].listen(); err != nil {
			return nil, err
		}
		d.workers[0].boot()
	}
	if !d.awaitState(id, "completed", 40*time.Second) {
		return nil, errors.New("wait for the gang: it is not completed 40 s later")
	}
	carried := map[int]map[string]bool{}
	for _, e := range d.runs.of(id + ".") {
		if e.kind == "start" {
			if carried[e.run] == nil {
				carried[e.run] = map[string]bool{}
			}
			carried[e.run][e.outcome] = true
		}
	}
	var broken []string
	for run, values := range carried {
		if len(values) > 1 {
			broken = append(broken, fmt.Sprintf("UNASKED: the members of run %d of the gang are started with %d different checkpoints", run, len(values)))
		}
	}
	return broken, nil
}
