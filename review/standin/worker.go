package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatEvery is the interval between the heartbeats of a worker.
	heartbeatEvery = 1500 * time.Millisecond
	// maxLease is the longest lease that a worker grants.
	maxLease = 10 * time.Second
	// stopTime is the time that a stop takes.
	stopTime = 50 * time.Millisecond
	// listedEnds is the number of ends that a worker lists in one answer.
	listedEnds = 500
	// checkpointEvery is the work after which a task produces a new checkpoint.
	checkpointEvery = 2 * time.Second
	// startup is the time after which a task that lasts is at work.
	startup = 400 * time.Millisecond
)

// taskSize is what a worker knows of a task from its spec.
type taskSize struct {
	// saves is true for a task that checkpoints its progress, every checkpointEvery of work.
	saves      bool
	cpu, memMB int64
	// duration is how long the task works, spread by how much that differs between the tasks of a step.
	duration, spread time.Duration
}

// worker is a stand-in of the platform's worker on the machine of a side process. It guards its capacity.
type worker struct {
	rec      *record
	runs     *runLog
	machine  string
	zone     string
	labels   []string
	cpu, mem int64
	// address is where it accepts calls, control where it sends heartbeats.
	address, control string
	// size returns the size of a task.
	size func(task string) taskSize
	// late returns for how long the start of a run gets no answer; it is carried out after that. 0 means that it is answered.
	late func(task string, run int) time.Duration

	server *http.Server

	mu sync.Mutex
	// up is false while the worker is crashed.
	up bool
	// life counts incarnations.
	life      int
	id        string
	born      int64
	bootedAt  time.Time
	seq       int64
	fence     uint64
	running   map[runKey]*activeRun
	ended     []endedRun
	forgotten int
	highest   map[string]int
	changed   chan struct{}
	died      chan struct{}
}

// runKey names a run of a task.
type runKey struct {
	task string
	run  int
}

type activeRun struct {
	size     taskSize
	started  time.Time
	lease    time.Time
	stopping bool
	// saved is the checkpoint that the start carried.
	saved string
}

// checkpoint returns the newest checkpoint of a run.
func (r *activeRun) checkpoint(key runKey) string {
	if n := time.Since(r.started) / checkpointEvery; r.size.saves && n > 0 {
		return fmt.Sprintf("%s-%d-%d", key.task[strings.LastIndex(key.task, ".")+1:], key.run, n)
	}
	return r.saved
}

type endedRun struct {
	task  string
	run   int
	how   string
	saved string
}

func newWorker(rec *record, runs *runLog, machine, zone string, labels []string, address, control string) (*worker, error) {
	w := &worker{rec: rec, runs: runs, machine: machine, zone: zone, labels: labels, cpu: 16000, mem: 64000, address: address, control: control}
	if err := w.listen(); err != nil {
		return nil, err
	}
	return w, nil
}

// listen accepts calls of the side process.
func (w *worker) listen() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("listen for the calls of a side process: %w", err)
	}
	w.server = serve(ln, http.HandlerFunc(w.serveHTTP))
	return nil
}

// boot starts an incarnation of the worker with a new id.
func (w *worker) boot() { w.bootAs(fmt.Sprintf("i-%s-%d", w.machine, w.life+1), 0) }

// bootAs starts an incarnation of the worker with the id, which sends its first heartbeat after a pause.
func (w *worker) bootAs(id string, pause time.Duration) {
	w.mu.Lock()
	w.life++
	w.up, w.id, w.bootedAt = true, id, time.Now()
	w.born, w.seq, w.fence, w.forgotten = w.bootedAt.UnixMilli(), 0, 0, 0
	w.running, w.ended, w.highest = map[runKey]*activeRun{}, nil, map[string]int{}
	w.changed, w.died = make(chan struct{}), make(chan struct{})
	life, born := w.life, w.born
	w.mu.Unlock()
	w.rec.printf("worker %s: starts as %s, born %d", w.machine, id, born)
	go func() {
		time.Sleep(pause)
		w.sendHeartbeats(life)
	}()
	go w.tick(life)
}

// crash ends the process of the worker: its connections are reset and new ones refused, until it boots.
func (w *worker) crash() {
	w.die("its connections are reset")
	_ = w.server.Close()
}

// crashDark ends the incarnation, and the machine leaves connections unanswered until the worker boots.
func (w *worker) crashDark() { w.die("its machine answers nothing") }

func (w *worker) die(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range w.sortedRuns() {
		w.runs.add(w, "end", key.task, key.run, "gone")
	}
	w.up, w.running = false, map[runKey]*activeRun{}
	close(w.died)
	w.rec.printf("worker %s: crashes, %s", w.machine, how)
}

func (w *worker) isLife(life int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.life == life
}

func (w *worker) sendHeartbeats(life int) {
	client := &http.Client{Timeout: time.Second}
	for w.isLife(life) {
		w.mu.Lock()
		w.seq++
		body := encode(map[string]any{"service": serviceName, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": w.labels,
			"clock_ms": w.clockMs(), "seq": w.seq, "born": w.born})
		id, seq := w.id, w.seq
		w.mu.Unlock()
		if seq == 1 {
			w.rec.printf("worker %s: sends its first heartbeat", id)
		}
		pause := heartbeatEvery
		resp, err := client.Post("http://"+w.control+"/-/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
		if err != nil {
			pause = heartbeatEvery / 5
		} else {
			_ = resp.Body.Close()
		}
		time.Sleep(pause)
	}
}

// clockMs returns the worker's own clock.
func (w *worker) clockMs() int64 { return 100_000 + time.Since(w.bootedAt).Milliseconds() }

// tick ends runs that are done or whose lease has expired.
func (w *worker) tick(life int) {
	for w.isLife(life) {
		w.mu.Lock()
		w.settle()
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *worker) settle() {
	now := time.Now()
	for _, key := range w.sortedRuns() {
		r := w.running[key]
		done := r.started.Add(r.size.duration)
		switch {
		case now.After(done) && done.Before(r.lease):
			w.end(key, "done")
		case now.After(r.lease):
			w.end(key, "lapsed")
		}
	}
}

// sortedRuns returns the active runs in the order of their names.
func (w *worker) sortedRuns() []runKey {
	keys := make([]runKey, 0, len(w.running))
	for key := range w.running {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, k int) bool {
		return keys[i].task < keys[k].task || keys[i].task == keys[k].task && keys[i].run < keys[k].run
	})
	return keys
}

func (w *worker) end(key runKey, how string) {
	r := w.running[key]
	delete(w.running, key)
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.ended = append(w.ended, endedRun{key.task, key.run, how, r.checkpoint(key)})
	w.runs.add(w, "end", key.task, key.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// call is the body of a call, with the fields of all paths.
type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Fence      uint64 `json:"fence"`
	DeadlineMs int64  `json:"deadline_ms"`
	SeenUpto   int    `json:"seen_upto"`
	WaitMs     int64  `json:"wait_ms"`
	// Checkpointed is the checkpoint to resume from.
	Checkpointed string `json:"checkpointed"`
}

func (w *worker) serveHTTP(rw http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	up, life, died := w.up, w.life, w.died
	w.mu.Unlock()
	if !up {
		<-r.Context().Done() // the machine is silent; the call is never carried out
		return
	}
	carryOut := func() (int, map[string]any) { return w.carryOut(life, r.URL.Path, &c) }
	if want := r.Header.Get("Verbenakeel-Expect-Instance"); want != "" && want != w.currentID() {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/run-start" && w.late != nil {
		if delay := w.late(c.Task, c.Run); delay > 0 {
			w.rec.printf("worker %s: leaves the start of %s run %d unanswered", w.machine, c.Task, c.Run)
			time.Sleep(delay)
			if w.isLife(life) {
				status, answer := carryOut()
				w.rec.printf("worker %s: carries out the start of %s run %d late: %d %s", w.machine, c.Task, c.Run, status, encode(answer))
			}
			panic(http.ErrAbortHandler)
		}
	}
	status, answer := carryOut()
	if r.URL.Path == "/-/hold" && status == http.StatusOK {
		w.awaitEnd(r, time.Duration(min(c.WaitMs, 2000))*time.Millisecond)
		answer = w.lists()
	}
	select {
	case <-died:
		panic(http.ErrAbortHandler)
	default:
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(encode(answer))
}

func (w *worker) currentID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// carryOut carries out a call and returns its answer. A life that has ended carries out nothing, and its connections end.
func (w *worker) carryOut(life int, path string, c *call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != life {
		return http.StatusServiceUnavailable, nil
	}
	w.settle()
	answer := map[string]any{"clock_ms": w.clockMs(), "born": w.born}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if c.Fence < w.fence {
		return refuse("fence")
	}
	w.fence = c.Fence
	switch path {
	case "/-/run-start":
		w.extend(c.DeadlineMs)
		switch {
		case w.running[runKey{c.Task, c.Run}] != nil:
			return http.StatusOK, answer
		case c.Run <= w.highest[c.Task]:
			return refuse("old")
		case c.DeadlineMs <= w.clockMs():
			return refuse("late")
		}
		size := w.size(c.Task)
		if !w.hasRoom(size) {
			return refuse("room")
		}
		w.running[runKey{c.Task, c.Run}] = &activeRun{size: size, started: time.Now(), lease: w.leaseEnd(c.DeadlineMs), saved: c.Checkpointed}
		w.runs.add(w, "start", c.Task, c.Run, c.Checkpointed)
	case "/-/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		for key, r := range w.running {
			if key.task == c.Task && key.run <= c.Run && !r.stopping {
				r.stopping = true
				time.AfterFunc(stopTime, func() { w.finishStop(life, key) })
			}
		}
	case "/-/hold":
		w.extend(c.DeadlineMs)
		for ; w.forgotten < min(c.SeenUpto, len(w.ended)); w.forgotten++ {
			e := w.ended[w.forgotten]
			w.runs.add(w, "noted", e.task, e.run, e.how)
		}
	case "/-/pace":
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// breakGang ends the runs of a gang of which a member has ended.
func (w *worker) breakGang(prefix string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range w.sortedRuns() {
		if strings.HasPrefix(key.task, prefix) {
			w.end(key, "broken")
		}
	}
}

func (w *worker) finishStop(life int, key runKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == life && w.running[key] != nil {
		w.end(key, "stopped")
	}
}

func (w *worker) leaseEnd(deadlineMs int64) time.Time {
	left := min(time.Duration(deadlineMs-w.clockMs())*time.Millisecond, maxLease)
	return time.Now().Add(left)
}

// extend extends the leases of all runs; a deadline never shortens one.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := w.leaseEnd(deadlineMs)
	for _, r := range w.running {
		if until.After(r.lease) {
			r.lease = until
		}
	}
}

func (w *worker) hasRoom(size taskSize) bool {
	cpu, mem := size.cpu, size.memMB
	for _, r := range w.running {
		cpu, mem = cpu+r.size.cpu, mem+r.size.memMB
	}
	return cpu <= w.cpu && mem <= w.mem
}

// awaitEnd waits until an end is listed that was not forgotten.
func (w *worker) awaitEnd(r *http.Request, wait time.Duration) {
	w.mu.Lock()
	listed, changed, died := len(w.ended) > w.forgotten, w.changed, w.died
	w.mu.Unlock()
	if listed || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-died:
	case <-r.Context().Done():
	}
}

// lists returns the running runs and the first ends that were not forgotten.
func (w *worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for key, r := range w.running {
		percent := min(100*time.Since(r.started)/max(r.size.duration, startup), 99)
		running = append(running, []any{key.task, key.run, r.checkpoint(key), int64(percent), r.size.cpu})
	}
	for i := w.forgotten; i < len(w.ended) && len(ended) < listedEnds; i++ {
		e := w.ended[i]
		ended = append(ended, []any{i + 1, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clock_ms": w.clockMs(), "born": w.born, "running": running, "ended": ended}
}

// runLog holds what happened to runs on all workers, in its order.
type runLog struct {
	rec *record

	mu     sync.Mutex
	events []runEvent
}

// runEvent is the start, the end or the taking note of the end of a run.
type runEvent struct {
	at     time.Time
	worker string
	// life tells the lives of a worker apart, which may have one id.
	life    int
	kind    string
	task    string
	run     int
	outcome string
}

func (l *runLog) add(w *worker, kind, task string, run int, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, runEvent{time.Now(), w.id, w.life, kind, task, run, outcome})
	l.rec.printf("worker %s: %s %s run %d %s", w.id, kind, task, run, outcome)
}

// of returns the events of the tasks whose names begin with a prefix.
func (l *runLog) of(prefix string) []runEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []runEvent
	for _, e := range l.events {
		if strings.HasPrefix(e.task, prefix) {
			list = append(list, e)
		}
	}
	return list
}

// isFree reports whether the worker has room for a task twice over, with less than half of its room in use.
func (w *worker) isFree(size taskSize) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := int64(0)
	for _, r := range w.running {
		used += r.size.cpu
	}
	twice := taskSize{cpu: 2 * size.cpu, memMB: 2 * size.memMB}
	return w.up && 2*used < w.cpu && w.hasRoom(twice)
}
