package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxEndedRows is the number of ended runs that a worker lists at once.
const maxEndedRows = 500

// worker is an application worker. It guards its capacity, and one lease holds for everything that runs on it.
type worker struct {
	id, service, addr, control, zone string
	labels                           []string
	cpu, memMB                       int64
	born                             int64
	rec                              *record
	// step returns what a task asks for and how long it works, or false if no client has sent its job.
	step func(task, spec string) (taskSize, bool)

	began    time.Time
	mu       sync.Mutex
	seq      int64
	draining bool
	fence    uint64
	lease    time.Time
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	seenUpto int64
	wake     chan struct{}
	over     bool
	server   *http.Server
	// beatAfter is when the first heartbeat comes.
	beatAfter time.Duration
	// holding makes starts go without an answer; held are those that were not carried out yet.
	holding bool
	held    []lateCall
}

// lateCall is a start without an answer.
type lateCall struct {
	call
	sent time.Time
}

// hold begins or ceases to leave starts unanswered.
func (w *worker) hold(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holding = on
}

// heldCalls returns the starts without an answer.
func (w *worker) heldCalls() []lateCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

// carryOut carries out a start whose caller has given up.
func (w *worker) carryOut(c lateCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Fence < w.fence {
		w.rec.note("it is refused, as its fence is lower than one that the worker has seen")
		return
	}
	w.fence = c.Fence
	if reason := w.begin(&c.call); reason != "" {
		w.rec.note("it is refused: %s", reason)
	}
}

type taskSize struct {
	cpu, memMB int64
	work       time.Duration
	fills      bool
	// fails makes each run end as failed.
	fails bool
}

type run struct {
	number  int
	size    taskSize
	started time.Time
	timer   *time.Timer
	span    *span
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// start listens and sends heartbeats until close.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.began, w.born = time.Now(), time.Now().UnixMilli()
	w.runs, w.highest, w.wake = map[string]*run{}, map[string]int{}, make(chan struct{})
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	go w.beat()
	go w.watchLease()
	return nil
}

// close ends the worker's process and all that runs on it.
func (w *worker) close() {
	w.mu.Lock()
	w.over = true
	for _, r := range w.runs {
		r.timer.Stop()
		r.span.ended = time.Now()
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// beat sends heartbeats to the control address of the worker's machine.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	time.Sleep(w.beatAfter)
	for !w.isOver() {
		w.mu.Lock()
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
			"cold_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": w.labels,
			"clock_ms": w.clockMs(), "seq": w.seq, "born": w.born})
		w.mu.Unlock()
		resp, err := client.Post("http://"+w.control+"/-/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
		pause := heartbeatMs * time.Millisecond
		if err != nil {
			pause = 300 * time.Millisecond
		} else {
			_ = resp.Body.Close()
		}
		time.Sleep(pause)
	}
}

func (w *worker) clockMs() int64 { return 100_000 + time.Since(w.began).Milliseconds() }

// watchLease ends everything that runs when the lease expires.
func (w *worker) watchLease() {
	for !w.isOver() {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.lease.IsZero() && time.Now().After(w.lease) {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run and lists its end. The caller holds mu.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.ends = append(w.ends, end{int64(len(w.ends) + 1), task, r.number, how})
	w.rec.ended(w, task, r, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// extend extends the lease up to a deadline on the worker's clock, and at most by the longest lease. It never shortens.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	left := min(time.Duration(deadlineMs-w.clockMs())*time.Millisecond, holdMaxMs*time.Millisecond)
	if until := time.Now().Add(left); until.After(w.lease) {
		w.lease = until
	}
}

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	SeenUpto   int64  `json:"seen_upto"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Verbenakeel-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.holding && r.URL.Path == "/-/run-start" {
		w.held = append(w.held, lateCall{c, time.Now()})
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if c.Fence < w.fence {
		w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	w.fence = c.Fence
	reason := ""
	switch r.URL.Path {
	case "/-/run-start":
		reason = w.begin(&c)
	case "/-/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		if have := w.runs[c.Task]; have != nil && have.number <= c.Run {
			w.end(c.Task, "stopped")
		}
	case "/-/hold":
		w.extend(c.DeadlineMs)
		w.seenUpto = max(w.seenUpto, min(c.SeenUpto, int64(len(w.ends))))
		w.mu.Unlock()
		w.list(rw, r, &c)
		return
	case "/-/pace":
	default:
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	w.mu.Unlock()
	if reason != "" {
		w.refuse(rw, reason)
		return
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": reason})
}

// begin starts a run, or returns why it does not. The caller holds mu.
func (w *worker) begin(c *call) string {
	if have := w.runs[c.Task]; have != nil && have.number == c.Run {
		w.extend(c.DeadlineMs)
		return ""
	}
	if c.Run <= w.highest[c.Task] || w.runs[c.Task] != nil {
		w.extend(c.DeadlineMs)
		return "old"
	}
	if c.DeadlineMs <= w.clockMs() {
		return "late"
	}
	size, known := w.step(c.Task, c.Spec)
	if !known {
		w.rec.note("%s is told to start %s with a spec of %d bytes, which no client sent", w.id, c.Task, len(c.Spec))
		size = taskSize{work: time.Second}
	}
	cpu, memMB := size.cpu, size.memMB
	for _, r := range w.runs {
		if !r.size.fills {
			cpu += r.size.cpu
		}
		memMB += r.size.memMB
	}
	w.extend(c.DeadlineMs)
	if cpu > w.cpu && !size.fills || memMB > w.memMB {
		return "room"
	}
	task, number := c.Task, c.Run
	r := &run{number: number, size: size, started: time.Now()}
	r.timer = time.AfterFunc(size.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.runs[task] != r:
		case size.fails:
			w.end(task, "failed")
		default:
			w.end(task, "done")
		}
	})
	w.runs[task] = r
	w.rec.started(w, task, r)
	return ""
}

// list answers with the running and ended runs, after an end if the call waits for one.
func (w *worker) list(rw http.ResponseWriter, r *http.Request, c *call) {
	w.mu.Lock()
	wake, wait := w.wake, int64(len(w.ends)) == w.seenUpto && c.WaitMs > 0
	w.mu.Unlock()
	if wait {
		timer := time.NewTimer(min(time.Duration(c.WaitMs), 2000) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-wake:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		percent := 100
		if r.size.work > 0 {
			percent = int(min(100*time.Since(r.started)/r.size.work, 99))
		}
		running = append(running, []any{task, r.number, "", percent, r.size.cpu})
	}
	for _, e := range w.ends[w.seenUpto:] {
		if len(ended) == maxEndedRows {
			break
		}
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clockMs(), "born": w.born, "running": running, "ended": ended}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// used returns the CPU of the runs on the worker and their number.
func (w *worker) used() (cpu int64, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		cpu += r.size.cpu
	}
	return cpu, len(w.runs)
}

// parseTask splits the name of a task.
func parseTask(task string) (job string, step int, err error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("%q has not the form ID.K.STEP.INDEX", task)
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}

// tasks returns the names of the tasks that run on the worker.
func (w *worker) tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]string, 0, len(w.runs))
	for task := range w.runs {
		list = append(list, task)
	}
	return list
}
