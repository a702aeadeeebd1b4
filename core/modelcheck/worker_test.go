package modelcheck

import (
	"fmt"
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

var capacity = record.Resources{CPUMilli: 4000, MemoryMB: 4000}

// workerNode models the platform's worker. It ends attempts at the expiry of their lease, before it handles anything else.
type workerNode struct {
	*node
	w         *world
	tasks     map[string]*external.TaskStatus
	startedAt map[string]time.Duration
	epoch     uint64
}

func (k *workerNode) nowMs() int64 { return k.local(k.w.now).Milliseconds() }

func (k *workerNode) ids() []string {
	ids := make([]string, 0, len(k.tasks))
	for id := range k.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// advance ends the attempts that have finished or whose lease has expired, as of the time at which that happened.
func (k *workerNode) advance() {
	for _, id := range k.ids() {
		t := k.tasks[id]
		if t.State != external.TaskRunning {
			continue
		}
		done := k.startedAt[id] + time.Duration(t.RunMs-t.CheckpointMs)*time.Millisecond
		expires := time.Duration(t.ExpiresMs) * time.Millisecond
		now := k.local(k.w.now)
		switch {
		case t.RunMs > 0 && done < expires && now >= done:
			k.end(t, record.Finished, done)
		case now >= expires:
			k.end(t, record.LeaseExpired, expires)
		}
	}
}

func (k *workerNode) end(t *external.TaskStatus, outcome record.Outcome, local time.Duration) {
	t.State, t.Outcome = external.TaskEnded, outcome
	t.SavedMs = t.CheckpointMs + (local - k.startedAt[t.Task]).Milliseconds()
	at := min(k.w.now, k.trueTime(local))
	k.w.addEvent(history.AttemptEnd{At: at, Task: t.Task, Attempt: t.Attempt, Worker: k.id, Outcome: outcome})
}

func (k *workerNode) endNow(task string, attempt uint32, outcome record.Outcome) {
	if t := k.tasks[task]; t != nil && t.Attempt == attempt && t.State == external.TaskRunning {
		k.end(t, outcome, k.local(k.w.now))
	}
}

// fence reports whether an order of the epoch is accepted, and adopts newer epochs.
func (k *workerNode) fence(epoch uint64) bool {
	if epoch < k.epoch && rule.Enabled(rule.Epoch) {
		return false
	}
	k.epoch = max(k.epoch, epoch)
	return true
}

func (k *workerNode) startTask(spec external.TaskSpec) bool {
	old := k.tasks[spec.Task]
	switch {
	case !k.fence(spec.Epoch):
		return false
	case old != nil && old.Attempt == spec.Attempt:
		return true
	case old != nil && (old.Attempt > spec.Attempt || old.State == external.TaskRunning):
		return false
	case k.nowMs() >= spec.StartByMs:
		return false
	}
	k.tasks[spec.Task] = &external.TaskStatus{TaskSpec: spec, State: external.TaskRunning}
	k.startedAt[spec.Task] = k.local(k.w.now)
	k.w.addEvent(history.AttemptStart{At: k.w.now, Task: spec.Task, Attempt: spec.Attempt, Worker: k.id, Size: spec.Size})
	return true
}

func (k *workerNode) status() external.WorkerStatus {
	k.advance()
	s := external.WorkerStatus{NowMs: k.nowMs(), Capacity: capacity, Epoch: k.epoch}
	for _, id := range k.ids() {
		s.Tasks = append(s.Tasks, *k.tasks[id])
	}
	return s
}

// crash restarts the worker. No attempt survives.
func (k *workerNode) crash() {
	k.advance()
	for _, id := range k.ids() {
		k.endNow(id, k.tasks[id].Attempt, record.LeaseExpired)
	}
	k.run++
	k.start, k.pausedUntil, k.epoch = k.w.now, 0, 0
	k.tasks, k.startedAt = map[string]*external.TaskStatus{}, map[string]time.Duration{}
}

// sideNode is the side process of a worker.
type sideNode struct {
	*node
	w           *world
	worker      *workerNode
	zone        string
	state       *holder.State
	incarnation uint64
	decider     string
	nextEntry   int
	wantStarts  bool
	vanished    []holder.AttemptRef
}

func (w *world) addWorker(i int, zone string) {
	k := &workerNode{node: &node{id: fmt.Sprintf("w%d", i), rate: w.rate()}, w: w, tasks: map[string]*external.TaskStatus{}, startedAt: map[string]time.Duration{}}
	s := &sideNode{node: &node{id: fmt.Sprintf("s%d", i), rate: 1}, w: w, worker: k, zone: zone}
	w.sides = append(w.sides, s)
	w.addEvent(history.Worker{At: 0, ID: k.id, Zone: zone, Capacity: capacity})
	s.boot()
}

func (s *sideNode) boot() {
	s.run++
	s.pausedUntil = 0
	s.incarnation = uint64(s.w.now/time.Millisecond) + uint64(s.run)
	s.state, s.decider, s.wantStarts, s.vanished = holder.New(), "", false, nil
	s.poll()
}

func (s *sideNode) schedulePoll(d time.Duration) { s.w.schedule(s.node, d, s.poll) }

// poll reads the worker's status and sends it to the decider, as side.syncer does.
func (s *sideNode) poll() {
	if s.w.now < s.worker.pausedUntil {
		s.schedulePoll(200 * time.Millisecond)
		return
	}
	p := s.state.Begin(s.worker.status())
	target := s.w.entries[s.nextEntry%len(s.w.entries)]
	if s.decider != "" {
		target = s.w.entry(s.decider)
	} else {
		s.nextEntry++
	}
	poll, done := s.request(p), false
	s.w.call(s.node, target.node, func() func() {
		var answer core.Answered
		for _, eff := range target.step(core.AnswerRequested{Poll: poll}) {
			if a, ok := eff.(core.Answered); ok {
				answer = a
			}
		}
		_, address := target.state.Authority.Epoch()
		return func() {
			if !done {
				done = true
				s.handleReply(p, answer, target.id, address)
			}
		}
	})
	s.w.schedule(s.node, 1500*time.Millisecond, func() {
		if !done {
			done, s.decider = true, ""
			s.poll()
		}
	})
}

func (s *sideNode) request(p holder.Poll) decider.Poll {
	poll := decider.Poll{
		Worker: s.worker.id, Incarnation: s.incarnation, Zone: s.zone, Rack: "r", Capacity: p.Status.Capacity, Epoch: p.Status.Epoch,
		Sequence: p.Sequence, WantStarts: s.wantStarts, TakesRenewedAll: true,
	}
	r := s.state.Report(p)
	poll.Held, poll.HeldByDigest, poll.HeldDigest = r.Held, r.ByDigest, r.HeldDigest
	poll.Usage, poll.UsagePartial, poll.UsageAgeMs, poll.UsageDigest = r.Usage, r.UsagePartial, r.UsageAgeMs, r.UsageDigest
	for _, t := range p.Status.Tasks {
		if t.State == external.TaskRunning {
			continue
		}
		poll.Ended = append(poll.Ended, record.End{Task: t.Task, Attempt: t.Attempt, Outcome: t.Outcome, CheckpointMs: t.SavedMs})
	}
	for _, v := range s.vanished {
		poll.Ended = append(poll.Ended, record.End{Task: v.Task, Attempt: v.Attempt, Outcome: record.LeaseExpired})
	}
	return poll
}

func (s *sideNode) handleReply(p holder.Poll, a core.Answered, from, address string) {
	if a.Err != nil {
		s.decider = address
		if address == from {
			s.decider = ""
		}
		s.schedulePoll(200 * time.Millisecond)
		return
	}
	s.decider, s.wantStarts = from, a.Answer.StartsWaiting
	e := s.state.Receive(p, a.Answer.Reply)
	if e.Refused != "" {
		s.schedulePoll(200 * time.Millisecond)
		return
	}
	s.vanished = e.Missing
	s.w.schedule(s.worker.node, s.w.randomDuration(0, 20*time.Millisecond), func() {
		failed := s.applyEffects(e)
		s.w.schedule(s.node, s.w.randomDuration(0, 20*time.Millisecond), func() {
			for _, t := range failed {
				s.state.StartFailed(t.Task, t.Attempt)
			}
			s.schedulePoll(s.w.randomDuration(50*time.Millisecond, 400*time.Millisecond))
		})
	})
	// Calls in flight to a worker are lost when it restarts.
	s.w.schedule(s.node, 4*time.Second, s.watchdog(p.Sequence))
}

// watchdog returns a function that polls again if no poll was sent since the one of the sequence, because a call to the
// worker was lost.
func (s *sideNode) watchdog(sequence uint64) func() {
	return func() {
		if s.state.Sequence() == sequence {
			s.poll()
		}
	}
}

// applyEffects applies the effects of a reply at the worker and returns the starts that the worker refused.
func (s *sideNode) applyEffects(e holder.Effects) []external.TaskSpec {
	k := s.worker
	k.advance()
	if k.fence(e.Epoch) {
		for _, l := range e.Renew {
			if t := k.tasks[l.Task]; t != nil && t.Attempt == l.Attempt && t.State == external.TaskRunning {
				t.ExpiresMs = max(t.ExpiresMs, l.ExpiresMs)
			}
		}
	}
	for _, o := range e.Orders {
		switch o.Action {
		case holder.Stop:
			k.endNow(o.Task, o.Attempt, record.Stopped)
		case holder.Checkpoint:
			k.endNow(o.Task, o.Attempt, record.Checkpointed)
		}
	}
	var failed []external.TaskSpec
	for _, t := range e.Start {
		if !k.startTask(t) {
			failed = append(failed, t)
		}
	}
	for _, f := range e.Forget {
		if t := k.tasks[f.Task]; t != nil && t.Attempt == f.Attempt && t.State == external.TaskEnded {
			delete(k.tasks, f.Task)
		}
	}
	return failed
}
