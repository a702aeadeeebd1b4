package dispatch

import (
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Batch holds the records that must be stored before the starts and acknowledgements that depend on them are sent.
type Batch struct {
	// Schedule goes to the topic of schedules, Tombstones to the topic of jobs.
	Schedule, Tombstones []work.Record
	starts               []pendingStart
	acks                 map[string]completionAck
}

// pendingStart is a run that is ordered once its record is stored, unless the task was given another run since.
type pendingStart struct {
	task *task
	run  int
}

// completionAck is the highest number of a completion that one incarnation of a worker may forget.
type completionAck struct {
	incarnation link.Incarnation
	number      int64
}

// Empty reports whether there is nothing to store and nothing waits for the commit.
func (b *Batch) Empty() bool {
	return len(b.Schedule) == 0 && len(b.Tombstones) == 0 && len(b.starts) == 0 && len(b.acks) == 0
}

// Collect returns all changes since the previous call.
func (s *State) Collect() *Batch {
	b := &Batch{Tombstones: s.tombstones, starts: s.pendingStarts, acks: map[string]completionAck{}}
	for _, j := range s.dirty {
		j.dirty = false
		b.Schedule = append(b.Schedule, work.Record{Key: work.PrefixProgress + j.def.ID, Value: work.Encode(j.progress())})
	}
	b.Schedule = append(b.Schedule, s.dueCheckpoints()...)
	b.Schedule = append(b.Schedule, s.scheduleTombstones...)
	if r, due := s.interferenceRecord(); due {
		b.Schedule = append(b.Schedule, r)
	}
	if r, due := s.backlogRecord(); due {
		b.Schedule = append(b.Schedule, r)
	}
	for name := range s.pendingAcks {
		if w := s.workers[name]; w != nil && w.info != nil {
			b.acks[name] = completionAck{w.info.Incarnation, w.lastCompletion}
		}
	}
	s.dirty, s.tombstones, s.scheduleTombstones, s.pendingStarts, s.pendingAcks = nil, nil, nil, nil, map[string]bool{}
	return b
}

// Committed reports that a batch was stored. Its starts and acknowledgements are sent now.
type Committed struct{ Batch *Batch }

func (e Committed) apply(s *State) {
	s.committedMs = s.now.BootMs
	byWorker := map[*worker][]link.Start{}
	for _, p := range e.Batch.starts {
		t := p.task
		if t.run != p.run || t.phase != starting || t.worker == nil {
			continue // the run was abandoned before it was ordered
		}
		t.recorded = true
		if t.worker.connected && !t.worker.reachable() {
			// The start was never ordered, so the task can be placed again at once.
			s.logTaskDecision(DecisionRequeued, t, "its worker became unresponsive before the start was ordered")
			s.handleRunEnded(t)
			continue
		}
		if t.worker.connected {
			byWorker[t.worker] = append(byWorker[t.worker], s.startOrder(t))
			t.orderNumber, t.orderedMs = t.worker.ordersSent+1, s.now.BootMs
		}
	}
	for _, w := range s.sortedWorkers {
		ack, hasAck := e.Batch.acks[w.instance]
		hasAck = hasAck && w.info != nil && ack.incarnation == w.info.Incarnation
		if hasAck {
			w.ackedCompletion = max(w.ackedCompletion, ack.number)
		}
		if starts := byWorker[w]; w.connected && (len(starts) > 0 || hasAck) {
			s.send(w, link.Orders{Starts: starts})
		}
	}
}

// startOrder returns the start order for the task's run.
func (s *State) startOrder(t *task) link.Start {
	o := link.Start{Task: t.name().String(), Run: t.run, Spec: t.stage.job.def.Spec, Checkpoint: t.checkpoint}
	t.resumed = t.checkpoint != ""
	if t.stage.step.BestEffort && t.worker.criticalTasks > 0 {
		t.cpuShare = s.initialCPUShare(t, t.worker)
		t.sentCPUShare = t.cpuShare
		if t.cpuShare < fullCPUShare {
			o.CPUPercent, t.wasThrottled = t.cpuShare, true
		}
		if t.cpuShare < moveShare {
			t.throttledMs = s.now.BootMs
		}
	}
	o.Ticket = t.stage.advice.ticketText(t.worker)
	return o
}

// send numbers a message with orders and queues it for the worker's side process.
func (s *State) send(w *worker, o link.Orders) {
	w.ordersSent++
	o.Number, o.Fence, o.Forget, o.Incarnation = w.ordersSent, s.fence(w), w.ackedCompletion, w.info.Incarnation
	s.effects.Orders = append(s.effects.Orders, SideOrders{w.instance, o})
}

const (
	// fenceSeqBits is the width of the low part of a fence, which counts connections and incarnations of a worker under
	// one decider.
	fenceSeqBits = 16
	maxFenceSeq  = 1<<fenceSeqBits - 1
)

// FencesExhausted reports whether a worker's fence cannot rise any more under this decider, which has to give its place up then.
func (s *State) FencesExhausted() bool { return s.fencesExhausted }

// fence returns the worker's fencing token. It rises with each decider, connection and incarnation of the worker, so
// that delayed orders from before are refused.
func (s *State) fence(w *worker) uint64 { return s.epoch<<fenceSeqBits | uint64(w.fenceSeq) }
