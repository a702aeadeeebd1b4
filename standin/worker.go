package standin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// WorkerOptions configure a worker.
type WorkerOptions struct {
	// ID identifies the worker in its history.
	ID string
	// Capacity is the worker's total resources.
	Capacity record.Resources
	// UsageLag is the reported age of measurements.
	UsageLag time.Duration
	// FailEverything makes every attempt fail shortly after its start.
	FailEverything bool
}

// TaskEvent is the start or the end of an attempt.
type TaskEvent struct {
	Worker  string           `json:"worker"`
	Task    string           `json:"task"`
	Attempt uint32           `json:"attempt"`
	Kind    string           `json:"kind"`
	Outcome record.Outcome   `json:"outcome,omitempty"`
	Size    record.Resources `json:"size"`
	AtNs    int64            `json:"at_ns"`
	// Epoch is the epoch of the decider that ordered the start.
	Epoch uint64 `json:"epoch"`
	// ProgressMs is the progress at the event.
	ProgressMs int64 `json:"progress_ms"`
}

// attempt is one attempt on the worker.
type attempt struct {
	external.TaskStatus
	startedAtMs   int64
	advancedAtMs  int64
	cpuShareMilli int64
	params        commandParams
}

// commandParams are the parameters in a task's command, which holds space-separated key=value pairs.
type commandParams struct {
	// actualMs is the actual run time; 0 means as declared.
	actualMs int64
	// noise is the slowdown that the task causes to each other task on the worker, in thousandths.
	noise int64
	// failAtMs is the progress at which the task fails; 0 for never.
	failAtMs int64
}

func parseParams(command string) commandParams {
	var p commandParams
	for _, field := range strings.Fields(command) {
		k, v, _ := strings.Cut(field, "=")
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			continue
		}
		switch k {
		case "actual_ms":
			p.actualMs = n
		case "noise":
			p.noise = n
		case "fail_at_ms":
			p.failAtMs = n
		}
	}
	return p
}

// Worker simulates the platform's worker on one instance.
type Worker struct {
	opts  WorkerOptions
	start time.Time

	mu      sync.Mutex
	tasks   map[string]*attempt
	epoch   uint64
	history []TaskEvent
}

var _ external.Worker = (*Worker)(nil)

// NewWorker returns a worker without attempts.
func NewWorker(opts WorkerOptions) *Worker {
	return &Worker{opts: opts, start: time.Now(), tasks: make(map[string]*attempt)}
}

// failureDelayMs is the run time until an attempt fails on a worker with FailEverything, in milliseconds.
const failureDelayMs = 30

// Run simulates the progress of attempts until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (w *Worker) nowMs() int64 { return time.Since(w.start).Milliseconds() }

// advance ends the attempts whose lease has expired, and then advances the others to the current time.
func (w *Worker) advance() {
	now := w.nowMs()
	for _, a := range w.tasks {
		if a.State == external.TaskRunning && now >= a.ExpiresMs {
			w.finish(a, record.LeaseExpired, "the lease ended")
		}
	}
	for _, a := range w.tasks {
		if a.State == external.TaskRunning {
			w.advanceAttempt(a, now)
		}
	}
}

func (w *Worker) advanceAttempt(a *attempt, now int64) {
	a.ProgressMs += (now - a.advancedAtMs) * w.speed(a) / 1000
	a.RanMs += now - a.advancedAtMs
	a.advancedAtMs = now
	runMs := a.RunMs
	if a.params.actualMs > 0 {
		runMs = a.params.actualMs
	}
	switch {
	case w.opts.FailEverything && a.RanMs >= failureDelayMs:
		w.finish(a, record.Failed, "the worker is broken")
	case a.params.failAtMs > 0 && a.ProgressMs >= a.params.failAtMs:
		w.finish(a, record.Failed, "the task failed")
	case runMs > 0 && a.ProgressMs >= runMs:
		w.finish(a, record.Finished, "")
	}
}

// speed returns the speed of an attempt relative to running without neighbours, in thousandths.
func (w *Worker) speed(a *attempt) int64 {
	noise := int64(0)
	for _, o := range w.tasks {
		if o != a && o.State == external.TaskRunning {
			noise += o.params.noise * o.cpuShareMilli / 1000
		}
	}
	return max(100, 1000-noise) * a.cpuShareMilli / 1000
}

func (w *Worker) finish(a *attempt, outcome record.Outcome, reason string) {
	a.State, a.Outcome, a.Reason = external.TaskEnded, outcome, reason
	if outcome == record.Checkpointed || outcome == record.LeaseExpired {
		a.SavedMs = a.ProgressMs
	}
	at := time.Now()
	if outcome == record.LeaseExpired {
		// A worker that was paused until after the expiry of the lease ran nothing after the expiry.
		at = w.start.Add(time.Duration(a.ExpiresMs) * time.Millisecond)
	}
	w.recordEvent(a, "end", at)
}

func (w *Worker) recordEvent(a *attempt, kind string, at time.Time) {
	w.history = append(w.history, TaskEvent{
		Worker: w.opts.ID, Task: a.Task, Attempt: a.Attempt, Kind: kind, Outcome: a.Outcome, Size: a.Size,
		AtNs: at.UnixNano(), Epoch: a.Epoch, ProgressMs: a.ProgressMs,
	})
}

// History returns the starts and ends of attempts in order.
func (w *Worker) History() []TaskEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]TaskEvent{}, w.history...)
}

// Status implements external.Worker.
func (w *Worker) Status(context.Context) (external.WorkerStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	s := external.WorkerStatus{NowMs: w.nowMs(), Capacity: w.opts.Capacity, Epoch: w.epoch}
	for _, a := range w.tasks {
		s.Tasks = append(s.Tasks, a.TaskStatus)
		if a.State == external.TaskRunning {
			s.Usage = append(s.Usage, external.TaskUsage{
				Task: a.Task, Attempt: a.Attempt, AgeMs: w.opts.UsageLag.Milliseconds(), Used: a.Size, SpeedMilli: w.speed(a),
			})
		}
	}
	return s, nil
}

// Start implements external.Worker.
func (w *Worker) Start(_ context.Context, spec external.TaskSpec) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err := w.checkEpoch(spec.Epoch); err != nil {
		return err
	}
	now := w.nowMs()
	if old := w.tasks[spec.Task]; old != nil {
		if old.Attempt == spec.Attempt {
			return nil
		}
		if old.Attempt > spec.Attempt || old.State == external.TaskRunning {
			return errdefs.New(errdefs.Refused, fmt.Sprintf("attempt %d is here", old.Attempt), "stop it first")
		}
	}
	if now >= spec.StartByMs {
		return errdefs.New(errdefs.Refused, "the permit has ended", "ask the decider again")
	}
	a := &attempt{TaskStatus: external.TaskStatus{TaskSpec: spec, State: external.TaskRunning}, cpuShareMilli: 1000, params: parseParams(spec.Command)}
	a.startedAtMs, a.advancedAtMs = now, now
	a.ProgressMs, a.SavedMs = spec.CheckpointMs, spec.CheckpointMs
	w.tasks[spec.Task] = a
	w.recordEvent(a, "start", time.Now())
	return nil
}

// Renew implements external.Worker.
func (w *Worker) Renew(_ context.Context, epoch uint64, leases []external.Lease) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	for _, l := range leases {
		if a := w.tasks[l.Task]; a != nil && a.Attempt == l.Attempt {
			a.ExpiresMs = max(a.ExpiresMs, l.ExpiresMs)
		}
	}
	return nil
}

// checkEpoch refuses orders of a decider older than the newest one whose order was accepted.
func (w *Worker) checkEpoch(epoch uint64) error {
	if epoch < w.epoch && rule.Enabled(rule.Epoch) {
		return errdefs.New(errdefs.Refused, fmt.Sprintf("epoch %d is older than %d", epoch, w.epoch), "ask the newest decider")
	}
	w.epoch = epoch
	return nil
}

// Checkpoint implements external.Worker.
func (w *Worker) Checkpoint(_ context.Context, task string, n uint32, reason string) error {
	return w.endAttempt(task, n, record.Checkpointed, reason)
}

// Stop implements external.Worker.
func (w *Worker) Stop(_ context.Context, task string, n uint32, reason string) error {
	return w.endAttempt(task, n, record.Stopped, reason)
}

func (w *Worker) endAttempt(task string, n uint32, outcome record.Outcome, reason string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if a := w.tasks[task]; a != nil && a.Attempt == n && a.State == external.TaskRunning {
		w.finish(a, outcome, reason)
	}
	return nil
}

// Throttle implements external.Worker.
func (w *Worker) Throttle(_ context.Context, task string, n uint32, shareMilli int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.tasks[task]; a != nil && a.Attempt == n {
		a.cpuShareMilli = min(1000, max(10, shareMilli))
	}
	return nil
}

// Forget implements external.Worker.
func (w *Worker) Forget(_ context.Context, task string, n uint32) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.tasks[task]; a != nil && a.Attempt == n && a.State == external.TaskEnded {
		delete(w.tasks, task)
	}
	return nil
}
