package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker with a capacity that it enforces, leases and fences. One life of it is an incarnation.
type worker struct {
	w       *world
	address string
	cpu     int64
	// control is the address of the side process.
	control string

	mu   sync.Mutex
	life *life
	// starts counts the starts by task.
	starts map[string]int
	// disturbed is how much filling tasks disturb serving ones on this worker.
	disturbed float64
	// load is the load of the serving tasks on this worker, from 0 to 1.
	load float64
	// label is what the worker is beside its rack.
	label string
	// quiet leaves starts and ends of runs out of the record.
	quiet bool
	// onStop is called before a run is ended by an order; nil for none. It may not use the worker.
	onStop func(task string, r *workerRun)
	// onStart is called for each start; nil for none. It may not use the worker.
	onStart func(task string)
}

// runKey names a run. The pages do not say that a worker refuses a higher run of a task while a lower one is there.
type runKey struct {
	task string
	run  int
}

// workerRun is a run on a worker.
type workerRun struct {
	began time.Time
	ends  time.Time
	pace  int64
	spec  spec
}

// spec is what the spec of a job says about its tasks: fields like ms=500, separated by spaces.
type spec struct {
	// ms is how long a task runs, cpu its thousandths of a core.
	ms  int
	cpu int64
	// how is how a task ends, lasts for one that has no end of its own.
	how string
	// role is serve for a task with a tail latency, fill for one that disturbs such tasks.
	role string
}

func parseSpec(text string) spec {
	sp := spec{ms: 1000, cpu: 500, how: "done"}
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "ms":
			sp.ms = n
		case "cpu":
			sp.cpu = int64(n)
		case "how":
			sp.how = value
		case "role":
			sp.role = value
		}
	}
	return sp
}

const (
	// startup is how long a task that lasts needs until it is at work.
	startup = 400 * time.Millisecond
	// paceDelay is how long a pace takes to have an effect.
	paceDelay = 100 * time.Millisecond
	// idleTail is the tail latency of a serving task without load in milliseconds. Its tail latency is
	// idleTail * s / (1 - load * s), where s is 1 and worker.disturbed times the share of the worker that filling tasks use.
	idleTail = 10.0
)

// tail returns the tail latency of serving tasks in milliseconds. The caller holds mu.
func (k *worker) tail(l *life) int64 {
	s, fill := 1.0, k.fillShare(l)
	for _, r := range l.runs {
		if r.spec.role == "fill" && time.Since(r.began) > startup {
			s += k.disturbed * float64(r.spec.cpu*r.pace) / 100 * fill / float64(k.cpu)
		}
	}
	return int64(min(idleTail*s/max(1-k.load*s, 0.02), 500))
}

// fillShare returns the part of what they may use that filling tasks get: what others leave. The caller holds mu.
func (k *worker) fillShare(l *life) float64 {
	left, wanted := float64(k.cpu), 0.0
	for _, r := range l.runs {
		if r.spec.role == "fill" {
			wanted += float64(r.spec.cpu*r.pace) / 100
		} else {
			left -= float64(r.spec.cpu)
		}
	}
	if wanted <= left {
		return 1
	}
	return max(left, 0) / wanted
}

// life is one incarnation of a worker.
type life struct {
	worker *worker
	server *http.Server
	id     string
	born   int64
	began  time.Time
	seq    int64
	fence  uint64
	runs   map[runKey]*workerRun
	// lease is when everything that runs ends unless it is renewed. It never shortens.
	lease     time.Time
	blocked   map[string]int
	ended     [][]any
	number    int64
	forgotten int64
	draining  bool
	gone      bool
	changed   chan struct{}
	cancel    context.CancelFunc
}

const (
	clockStart = 1000
	holdMax    = 6 * time.Second
	beatEvery  = 1500 * time.Millisecond
)

func (w *world) newWorker(cpu int64) *worker {
	k := &worker{w: w, address: w.address(), cpu: cpu, starts: map[string]int{}, label: "a"}
	go k.tick()
	return k
}

// begin starts a life with an id. The worker's time of day is ahead by a time when it starts.
func (k *worker) begin(id string, ahead time.Duration) error {
	k.end()
	ln, err := listen(k.address)
	if err != nil {
		return err
	}
	born := time.Now().Add(ahead).UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{worker: k, id: id, born: born, began: time.Now(), runs: map[runKey]*workerRun{}, blocked: map[string]int{}, changed: make(chan struct{}), cancel: cancel}
	l.server = &http.Server{Handler: l}
	k.mu.Lock()
	k.life = l
	k.mu.Unlock()
	k.w.rec("worker %s: life %s begins, born %d", k.address, id, born)
	go func() { _ = l.server.Serve(ln) }()
	go k.beat(ctx, l)
	return nil
}

// listen listens at an address that an earlier life has just left.
func listen(address string) (net.Listener, error) {
	for attempt := 0; ; attempt++ {
		ln, err := net.Listen("tcp", address)
		if err == nil || attempt == 50 {
			return ln, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// end ends the current life: nothing runs any more, nothing is told to anybody, and its connections and its listener are closed.
func (k *worker) end() {
	k.mu.Lock()
	l := k.life
	ended := l != nil && !l.gone
	if ended {
		l.gone = true
		l.cancel()
		k.w.rec("worker %s: life %s ends with %d runs", k.address, l.id, len(l.runs))
	}
	k.mu.Unlock()
	if ended {
		_ = l.server.Close()
	}
}

// lifeID returns the id of the current life.
func (k *worker) lifeID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.life.id
}

func (k *worker) beat(ctx context.Context, l *life) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		k.sendBeat(client, l)
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

func (k *worker) sendBeat(client *http.Client, l *life) {
	k.mu.Lock()
	l.seq++
	seq := l.seq
	state, remaining := "ready", ""
	if l.draining {
		state, remaining = "draining", `"remaining_ms":2000,`
	}
	body := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":8,"state":%q,%s"cold_left_ms":0,"capacity":{"cpu":%d,"mem_mb":64000,"gpu":0},"labels":[%q,"r1-1"],"clock_ms":%d,"seq":%d,"born":%d}`,
		service, k.address, zone, state, remaining, k.cpu, k.label, l.clock(), seq, l.born)
	control := k.control
	k.mu.Unlock()
	resp, err := client.Post("http://"+control+"/-/Instances.Heartbeat/"+l.id, "application/json", strings.NewReader(body))
	status := 0
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	k.w.rec("worker %s: heartbeat %d (%s) of the life born %d: %d", k.address, seq, state, l.born, status)
}

// drain reports that the life is about to end, and sends that it leaves after the time. It does not wait for the answer.
func (k *worker) drain(wait time.Duration) {
	client := &http.Client{Timeout: time.Second}
	k.mu.Lock()
	l := k.life
	l.draining = true
	k.mu.Unlock()
	k.sendBeat(client, l)
	time.Sleep(wait)
	k.w.rec("worker %s: the life born %d sends that it leaves", k.address, l.born)
	go func() {
		resp, err := client.Post("http://"+k.control+"/-/Instances.Leave/"+l.id, "application/json", nil)
		if err != nil {
			k.w.rec("worker %s: no acknowledgement of the leave of the life born %d", k.address, l.born)
			return
		}
		_ = resp.Body.Close()
		k.w.rec("worker %s: the leave of the life born %d is acknowledged: %d", k.address, l.born, resp.StatusCode)
	}()
}

func (l *life) clock() int64 { return clockStart + time.Since(l.began).Milliseconds() }

// tick ends runs that are finished or whose lease has lapsed.
func (k *worker) tick() {
	for {
		time.Sleep(10 * time.Millisecond)
		k.mu.Lock()
		if k.life != nil && !k.life.gone {
			now := time.Now()
			for key, r := range k.life.runs {
				switch {
				case now.After(k.life.lease):
					k.endRun(key, "lapsed")
				case now.After(r.ends):
					k.endRun(key, r.spec.how)
				}
			}
		}
		k.mu.Unlock()
	}
}

// endRun ends a run and lists it. The caller holds mu.
func (k *worker) endRun(key runKey, how string) {
	l := k.life
	delete(l.runs, key)
	l.blocked[key.task] = max(l.blocked[key.task], key.run)
	l.number++
	l.ended = append(l.ended, []any{l.number, key.task, key.run, how, ""})
	close(l.changed)
	l.changed = make(chan struct{})
	if !k.quiet {
		k.w.rec("worker %s: %s run %d ended %s", k.address, key.task, key.run, how)
	}
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	SeenUpto   int64  `json:"seen_upto"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int64  `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (l *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	k := l.worker
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	if l.gone {
		k.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Verbenakeel-Expect-Instance"); want != "" && want != l.id {
		k.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reason := k.execute(l, r.URL.Path, &c)
	k.mu.Unlock()
	if reason == "" && r.URL.Path == "/-/hold" {
		k.await(r.Context(), l, time.Duration(c.WaitMs)*time.Millisecond)
	}
	k.mu.Lock()
	answer := map[string]any{"clock_ms": l.clock()}
	if reason != "" {
		answer["reason"] = reason
	} else if r.URL.Path == "/-/hold" {
		answer["born"] = l.born
		answer["running"], answer["ended"] = k.lists(l)
	}
	k.mu.Unlock()
	if reason != "" {
		rw.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(rw).Encode(answer)
}

// execute carries out a call and returns the reason of a refusal. The caller holds mu.
func (k *worker) execute(l *life, path string, c *workerCall) string {
	if c.Fence < l.fence {
		return "fence"
	}
	l.fence = c.Fence
	until := l.began.Add(time.Duration(c.DeadlineMs-clockStart) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if c.DeadlineMs > 0 && until.After(l.lease) {
		l.lease = until
	}
	switch path {
	case "/-/run-start":
		return k.startRun(l, c, until)
	case "/-/run-stop":
		l.blocked[c.Task] = max(l.blocked[c.Task], c.Run)
		for key, r := range l.runs {
			if key.task != c.Task || key.run > c.Run {
				continue
			}
			if k.onStop != nil {
				k.onStop(c.Task, r)
			}
			k.endRun(key, "stopped")
		}
	case "/-/pace":
		if r := l.runs[runKey{c.Task, c.Run}]; r != nil {
			k.w.rec("worker %s: %s run %d is paced to %d%%", k.address, c.Task, c.Run, c.Percent)
			time.AfterFunc(paceDelay, func() {
				k.mu.Lock()
				r.pace = c.Percent
				k.mu.Unlock()
			})
		}
	case "/-/hold":
		l.forgotten = max(l.forgotten, min(c.SeenUpto, l.number))
	}
	return ""
}

// startRun starts a run. The spec holds the duration of the tasks in milliseconds.
func (k *worker) startRun(l *life, c *workerCall, until time.Time) string {
	key := runKey{c.Task, c.Run}
	if l.runs[key] != nil {
		return ""
	}
	sp := parseSpec(c.Spec)
	used := int64(0)
	for _, r := range l.runs {
		if r.spec.role != "fill" {
			used += r.spec.cpu
		}
	}
	switch {
	case c.Run <= l.blocked[c.Task]:
		return "old"
	case !time.Now().Before(until):
		return "late"
	case sp.role != "fill" && used+sp.cpu > k.cpu:
		return "room"
	}
	now := time.Now()
	r := &workerRun{began: now, pace: 100, spec: sp}
	r.ends = now.Add(time.Duration(sp.ms) * time.Millisecond)
	if sp.how == "lasts" {
		r.ends = now.Add(time.Hour)
	}
	l.runs[key] = r
	k.starts[c.Task]++
	if !k.quiet {
		k.w.rec("worker %s: %s run %d starts", k.address, c.Task, c.Run)
	}
	if k.onStart != nil {
		k.onStart(c.Task)
	}
	return ""
}

// lists returns the running and the ended runs. The caller holds mu.
func (k *worker) lists(l *life) (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	keys := make([]runKey, 0, len(l.runs))
	for key := range l.runs {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].task < keys[j].task || keys[i].task == keys[j].task && keys[i].run < keys[j].run
	})
	fill := k.fillShare(l)
	for _, key := range keys {
		r := l.runs[key]
		percent := min(100*time.Since(r.began).Milliseconds()/max(r.ends.Sub(r.began).Milliseconds(), 1), 99)
		if r.spec.how == "lasts" {
			percent = min(100*int64(time.Since(r.began))/int64(startup), 100)
		}
		load := r.spec.cpu
		switch r.spec.role {
		case "serve":
			load = k.tail(l)
		case "fill":
			load = int64(float64(r.spec.cpu*r.pace) / 100 * fill)
		}
		running = append(running, []any{key.task, key.run, "", percent, load})
	}
	for _, e := range l.ended {
		if e[0].(int64) > l.forgotten && len(ended) < 500 {
			ended = append(ended, e)
		}
	}
	return running, ended
}

// await waits until a run has ended that is not forgotten.
func (k *worker) await(ctx context.Context, l *life, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		k.mu.Lock()
		listed, changed := l.number > l.forgotten, l.changed
		k.mu.Unlock()
		if listed || wait == 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// startsOf returns the number of starts of tasks of a job.
func (k *worker) startsOf(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for task, count := range k.starts {
		if strings.HasPrefix(task, id+".") {
			n += count
		}
	}
	return n
}

// running returns the number of runs of a job's tasks that are at work, or of all tasks if the id is empty.
func (k *worker) running(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	if k.life != nil && !k.life.gone {
		for key := range k.life.runs {
			if id == "" || strings.HasPrefix(key.task, id+".") {
				n++
			}
		}
	}
	return n
}

// used returns the thousandths of a core that are reserved on the worker.
func (k *worker) used() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := int64(0)
	if k.life != nil && !k.life.gone {
		for _, r := range k.life.runs {
			if r.spec.role != "fill" {
				n += r.spec.cpu
			}
		}
	}
	return n
}
