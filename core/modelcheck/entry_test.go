package modelcheck

import (
	"fmt"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// modelMax is the model's times.authority_max, short enough to elapse within a run.
const modelMax = 40 * time.Second

var streamNames = map[core.Stream]string{core.ConfigStream: "config", core.RegionStream: "sched"}

// entryNode is an entry process: its reducers and the code that runs their effects.
type entryNode struct {
	*node
	w           *world
	zone        string
	state       *core.State
	incarnation uint64
	region      *writer
	submits     *writer
	config      *writer
	claiming    bool
	resigning   bool
	// batchOffset is the offset of the batch in flight, which is done once this offset is applied; 0 for none.
	batchOffset uint64
	// onApplied holds callbacks to run once an offset of the config stream is applied.
	onApplied map[uint64]func()
}

func (w *world) addEntry(i int, zone string) {
	e := &entryNode{node: &node{id: fmt.Sprintf("e%d", i), rate: w.rate()}, w: w, zone: zone}
	w.entries = append(w.entries, e)
	e.boot()
}

// rate returns a random clock rate. Any two rates differ by less than the 2% that clock.WithMargin allows for.
func (w *world) rate() float64 { return 0.9905 + 0.019*w.rng.Float64() }

// boot starts the process anew, with no state but what it reads from the log.
func (e *entryNode) boot() {
	e.run++
	e.start, e.pausedUntil = e.w.now, 0
	e.incarnation = uint64(e.w.now/time.Millisecond) + uint64(e.run)
	auth := authority.DefaultConfig()
	auth.MaxOnPromises = modelMax
	dec := decider.DefaultConfig()
	dec.ServiceLease = 20 * time.Second
	e.state = core.New(core.Options{
		Self: e.id, Incarnation: e.incarnation, Zone: e.zone, Heartbeat: time.Second, Authority: auth, Decider: dec,
		Scheduler: scheduler.DefaultConfig(),
	})
	newWriter := func(stream, id string) *writer {
		return &writer{w: e.w, n: e.node, stream: stream, id: id, incarnation: e.incarnation}
	}
	e.region, e.submits, e.config = newWriter("sched", e.id), newWriter("sched", e.id+"/submit"), newWriter("config", e.id)
	e.claiming, e.resigning, e.batchOffset, e.onApplied = false, false, 0, map[uint64]func(){}
	for kind := range 2 {
		e.readStream(core.Stream(kind), 1)
	}
	e.tick()
}

func (e *entryNode) crash() {
	e.w.addEvent(history.ProcessEnded{At: e.w.now, Process: e.process()})
	e.boot()
}

func (e *entryNode) process() string { return fmt.Sprintf("%s/%d", e.id, e.run) }

func (e *entryNode) clock() clock.Now {
	return clock.Now{Mono: e.local(e.w.now), WallMs: 1_700_000_000_000 + e.w.now.Milliseconds()}
}

func (e *entryNode) step(ev core.Event) []core.Effect {
	effects := core.Step(e.state, e.clock(), ev)
	for _, eff := range effects {
		switch eff := eff.(type) {
		case core.AuthorityEffect:
			e.runAuthorityEffect(eff.Effect)
		case core.Append:
			e.region.write(record.Record{Batch: eff.Batch}, e.batchDone)
		}
	}
	return effects
}

func (e *entryNode) batchDone(offset uint64, ok bool) {
	if !ok {
		e.step(core.BatchResolved{Dropped: true})
		return
	}
	e.batchOffset = offset
	e.checkBatchApplied()
}

func (e *entryNode) checkBatchApplied() {
	if e.batchOffset > 0 && e.state.Region.Next > e.batchOffset {
		e.batchOffset = 0
		e.step(core.BatchResolved{})
	}
}

func (e *entryNode) candidate() *record.DeciderClaim {
	other := e.w.entries[e.w.rng.IntN(len(e.w.entries))]
	if other == e || other.resigning {
		return nil
	}
	return &record.DeciderClaim{Address: e.id, Zone: e.zone, Witness: other.id, WitnessIncarnation: other.incarnation, WitnessAddress: other.id}
}

func (e *entryNode) runAuthorityEffect(eff authority.Effect) {
	switch eff := eff.(type) {
	case authority.AppendClaim:
		if e.claiming {
			return
		}
		e.claiming = true
		claim := e.candidate()
		if claim == nil {
			claim = &record.DeciderClaim{Address: e.id, Zone: e.zone}
		}
		e.region.write(record.Record{DeciderClaim: claim}, func(uint64, bool) { e.claiming = false })
	case authority.AskPromise:
		sentAt, witness := e.local(e.w.now), e.w.entry(eff.Address)
		e.w.call(e.node, witness.node, func() func() {
			if !witness.state.Authority.Promise(eff.Epoch, eff.Incarnation) {
				return nil
			}
			return func() {
				e.step(core.PromiseReceived{Epoch: eff.Epoch, Witness: eff.Witness, Incarnation: eff.Incarnation, SentAt: sentAt})
			}
		})
	case authority.AskRelease:
		witness := e.w.entry(eff.Address)
		e.w.call(e.node, witness.node, func() func() {
			if !witness.state.Authority.Release(eff.Epoch, eff.Incarnation) {
				return nil
			}
			return func() { e.step(core.ReleaseReceived{Epoch: eff.Epoch}) }
		})
	}
}

func (w *world) entry(id string) *entryNode {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return w.entries[0]
}

func (e *entryNode) tick() {
	rank := 0
	for _, o := range e.w.entries {
		if o.id < e.id {
			rank++
		}
	}
	e.step(core.Ticked{Rank: rank, Candidate: e.candidate()})
	e.w.schedule(e.node, 100*time.Millisecond, e.tick)
}

// readStream reads a stream from offset next onwards. A reply that arrives after the read timed out is dropped.
func (e *entryNode) readStream(kind core.Stream, next uint64) {
	sentAt, done := e.local(e.w.now), false
	retry := func(after time.Duration, from uint64) {
		if !done {
			done = true
			e.w.schedule(e.node, after, func() { e.readStream(kind, from) })
		}
	}
	e.w.call(e.node, e.w.logNode, func() func() {
		if e.w.now < e.w.logDown {
			return nil
		}
		all := e.w.streams[streamNames[kind]]
		page := all[min(int(next)-1, len(all)):]
		return func() {
			if done {
				return
			}
			for i, s := range page {
				e.applyRecord(kind, next+uint64(i), s.rec)
			}
			e.step(core.CaughtUp{Stream: kind, SentAt: sentAt})
			retry(150*time.Millisecond, next+uint64(len(page)))
		}
	})
	e.w.schedule(e.node, 800*time.Millisecond, func() { retry(100*time.Millisecond, next) })
}

func (e *entryNode) applyRecord(kind core.Stream, offset uint64, rec *record.Record) {
	effects := e.step(core.Folded{Stream: kind, Offset: offset, Record: rec})
	if len(effects) > 0 {
		e.w.addEvent(history.RecordApplied{At: e.w.now, Process: e.process(), Stream: streamNames[kind], Writer: rec.Writer, Incarnation: rec.Incarnation, Seq: rec.Seq})
	}
	for _, eff := range effects {
		if c, ok := eff.(core.ConfigResult); ok && c.Outcome.Status == config.Accepted {
			e.w.addEvent(history.ChangeApplied{
				At: e.w.now, Process: e.process(), Object: objectName(c.Outcome.Change), Base: c.Outcome.Change.Base, Revision: c.Outcome.Revision,
			})
		}
	}
	if kind == core.ConfigStream {
		e.w.addEvent(history.RevisionReported{At: e.w.now, Process: e.process(), Revision: e.state.Config.Revision})
		if f := e.onApplied[offset]; f != nil {
			delete(e.onApplied, offset)
			f()
		}
		return
	}
	e.checkBatchApplied()
}

func objectName(c record.ConfigChange) string {
	switch {
	case c.Contract != nil:
		return "contract " + c.Contract.Customer
	case c.Zone != nil:
		return "zone " + c.Zone.Zone
	default:
		return "shutdown " + c.Shutdown.Endpoint
	}
}

// change publishes a configuration change and records in the history whether it was accepted.
func (e *entryNode) change(c record.ConfigChange) {
	e.w.changes++
	c.ID = fmt.Sprintf("c%d", e.w.changes)
	e.w.sent[c.ID] = e.w.now
	e.config.write(record.Record{Config: []record.ConfigChange{c}}, func(offset uint64, ok bool) {
		if !ok {
			return
		}
		finish := func() {
			if out, known := e.state.Config.Outcome(c.ID); known && out.Status == config.Accepted {
				e.w.addEvent(history.ChangeAccepted{At: e.w.now, Revision: out.Revision})
			}
		}
		if e.state.Config.Next > offset {
			finish()
			return
		}
		e.onApplied[offset] = finish
	})
}

// setZone takes a zone out of service or brings it back. With hold it also stops starts there at once on all entries.
func (e *entryNode) setZone(zone string, out, hold bool) {
	base := uint64(0)
	if v := e.state.Config.Zones[zone]; v != nil {
		base = v.Revision
	}
	if out && hold {
		for _, o := range e.w.entries {
			e.w.send(e.node, o.node, o.run, func() { o.step(core.ZoneHoldRequested{Zone: zone, Duration: 10 * time.Second}) })
		}
	}
	e.change(record.ConfigChange{Base: base, Zone: &record.ZoneChange{Zone: zone, Out: out}})
}

// recordZoneHistory records the accepted zone changes: out of service from when the log stored the change, back from when it
// was sent.
func (e *entryNode) recordZoneHistory() {
	for _, o := range e.state.Config.Audit {
		if o.Status != config.Accepted || o.Change.Zone == nil {
			continue
		}
		at := e.w.sent[o.Change.ID]
		if o.Change.Zone.Out {
			at = e.w.streams["config"][o.Revision-1].at
		}
		e.w.addEvent(history.ZoneState{At: at, Zone: o.Change.Zone.Zone, Out: o.Change.Zone.Out})
	}
}

// submit appends a job and records its acceptance in the history.
func (e *entryNode) submit(job record.Job) {
	e.submits.write(record.Record{Submits: []record.Job{job}}, func(_ uint64, ok bool) {
		if ok && !e.w.accepted[job.ID] {
			e.w.accepted[job.ID] = true
			e.w.addEvent(history.JobAccepted{At: e.w.now, Job: job.ID, Kind: job.Kind})
		}
	})
}

// resign shuts the entry down gracefully and restarts it.
func (e *entryNode) resign() {
	acting := e.state.Authority.Valid(e.clock())
	epoch, _ := e.state.Authority.Epoch()
	e.resigning = true
	e.step(core.ShuttingDown{})
	if acting {
		e.region.write(record.Record{Batch: &record.Batch{Epoch: epoch, Resigned: true}}, func(uint64, bool) {})
	}
	e.w.schedule(e.node, 2*time.Second, e.crash)
}
