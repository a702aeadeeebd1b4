package dispatch

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Batch holds the records that must be stored before the starts and acknowledgements that depend on them are sent.
type Batch struct {
	// Schedule goes to the topic of schedules, Tombstones to the topic of jobs.
	Schedule, Tombstones []work.Record
	starts               []pendingStart
	acks                 map[string]completionAck
	// bytes is the size of the records in Schedule.
	bytes int
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

const (
	// defaultMaxRecordBytes and defaultMaxAppendBytes are the platform's usual limits on a record and on the records of one append.
	defaultMaxRecordBytes = 256 << 10
	defaultMaxAppendBytes = 2 << 20
	// maxBatchBytes bounds the records of one append, besides the store's limit: they take 0.4 s over a link of 10 Mbit/s, and an append is
	// given up after 1.2 s.
	maxBatchBytes = 512 << 10
	// recordOverheadBytes is what a record takes beside its key and its value.
	recordOverheadBytes = 5
)

// recordBytes returns the size of a record in an append.
func recordBytes(r work.Record) int { return recordOverheadBytes + len(r.Key) + len(r.Value) }

// maxRecordBytes returns the limit on a record.
func (s *State) maxRecordBytes() int { return cmp.Or(s.options.MaxRecordBytes, defaultMaxRecordBytes) }

// maxAppendBytes returns the limit on the records of one append.
func (s *State) maxAppendBytes() int {
	return min(cmp.Or(s.options.MaxAppendBytes, defaultMaxAppendBytes), maxBatchBytes)
}

// add adds a record if the batch has room for it, or holds none yet.
func (b *Batch) add(r work.Record, room int) bool {
	n := recordBytes(r)
	if len(b.Schedule) > 0 && b.bytes+n > room {
		return false
	}
	b.Schedule = append(b.Schedule, r)
	b.bytes += n
	return true
}

// Collect returns changes since the previous call, as many as one append may hold. The others follow with the next calls. A start is part
// of the batch only with the progress of its job, and acknowledgements only once no progress is left to store.
func (s *State) Collect() *Batch {
	b := &Batch{Tombstones: s.tombstones, acks: map[string]completionAck{}}
	s.tombstones = nil
	s.collectProgress(b)
	s.collectStarts(b)
	if len(s.dirty) > 0 {
		return b
	}
	room := s.maxAppendBytes()
	s.collectCheckpoints(b, room)
	left := slices.IndexFunc(s.scheduleTombstones, func(r work.Record) bool { return !b.add(r, room) })
	if left < 0 {
		left = len(s.scheduleTombstones)
	}
	s.scheduleTombstones = s.scheduleTombstones[left:]
	for _, record := range []func() (work.Record, bool){s.interferenceRecord, s.backlogRecord} {
		if r, due := record(); due && recordBytes(r) <= s.maxRecordBytes() {
			b.add(r, room) // one that is left out here is due again within seconds
		}
	}
	for name := range s.pendingAcks {
		if w := s.workers[name]; w != nil && w.info != nil {
			b.acks[name] = completionAck{w.info.Incarnation, w.lastCompletion}
		}
	}
	s.pendingAcks = map[string]bool{}
	return b
}

// collectProgress adds the progress of jobs that have changed, in the order of their changes. One that is larger than the store's limit
// is left out: its job fails with the next Tick, so that it does not keep all others from being stored.
func (s *State) collectProgress(b *Batch) {
	var left []*job
	for i, j := range s.dirty {
		r := work.Record{Key: work.PrefixProgress + j.def.ID, Value: work.Encode(j.progress())}
		if recordBytes(r) > s.maxRecordBytes() {
			j.oversizeBytes = recordBytes(r)
			left = append(left, j)
			continue
		}
		if !b.add(r, s.maxAppendBytes()) {
			left = append(left, s.dirty[i:]...)
			break
		}
		j.dirty = false
	}
	s.dirty = left
}

// collectStarts adds the starts of jobs whose progress is part of this batch.
func (s *State) collectStarts(b *Batch) {
	var left []pendingStart
	for _, p := range s.pendingStarts {
		if p.task.stage.job.dirty {
			left = append(left, p)
		} else {
			b.starts = append(b.starts, p)
		}
	}
	s.pendingStarts = left
}

// failOversized fails the jobs whose progress the store would refuse. Nothing about them could be stored any more.
func (s *State) failOversized() {
	for _, j := range slices.Clone(s.dirty) {
		if j.oversizeBytes == 0 || j.state.Final() {
			continue
		}
		s.finishJob(j, work.Failed, fmt.Sprintf("its progress takes %d bytes and the store takes %d; submit jobs with fewer tasks", j.oversizeBytes, s.maxRecordBytes()))
		j.oversizeBytes = 0
	}
}

// Committed reports that a batch was stored. Its starts and acknowledgements are sent now.
type Committed struct{ Batch *Batch }

func (e Committed) apply(s *State) {
	s.committedMs = s.now.BootMs
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
			s.queueStart(t)
		}
	}
	for _, w := range s.sortedWorkers {
		ack, hasAck := e.Batch.acks[w.instance]
		hasAck = hasAck && w.info != nil && ack.incarnation == w.info.Incarnation
		if hasAck {
			w.ackedCompletion = max(w.ackedCompletion, ack.number)
			if w.connected {
				w.outbox.forget = true
				s.queued(w)
			}
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
