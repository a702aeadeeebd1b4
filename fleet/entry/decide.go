package entry

import (
	"context"
	"net"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// tickInterval is the time between checks of leases, due times and slow runs.
	tickInterval = 100 * time.Millisecond
	// minAppendInterval is the minimum time between two appends of the decider, because each store call is billed.
	minAppendInterval = 25 * time.Millisecond
	// appendRetry is the pause after a failed append.
	appendRetry = 150 * time.Millisecond
	// heartbeatInterval is the time without a record after which the decider appends a heartbeat.
	heartbeatInterval = 400 * time.Millisecond
	// eventQueueSize bounds the events that wait for the decider's loop.
	eventQueueSize = 4096
	// maxEventBatch bounds the events handled between two placement passes.
	maxEventBatch = 256
	// heartbeatCheckInterval is the minimum time between two checks whether a heartbeat is due while the loop works.
	heartbeatCheckInterval = 50 * time.Millisecond
	// loadStallLimit is the time without an answered read after which a decider stops loading. The newest records of a large topic,
	// read through another entry, take up to 10 s.
	loadStallLimit = 15 * time.Second
	// summaryInterval is the time between two fleet summaries in the log.
	summaryInterval = 2 * time.Second
	// resignTimeout bounds the append with which a decider that shuts down resigns.
	resignTimeout = 400 * time.Millisecond
)

// decider drives the dispatch state machine: it feeds events to it, stores its decisions and sends its orders.
type decider struct {
	entry  *Entry
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc
	state  *dispatch.State
	events chan queuedEvent
	// maxWait and maxBatch are the longest wait of an event for the loop and the most events between two placement passes
	// since the last fleet summary.
	maxWait time.Duration
	// batchWait is the longest wait of the events since the last placement pass.
	batchWait time.Duration
	maxBatch  int
	sides     map[string]*sideLink
	// dialSide connects to the address of a side process without another entry.
	dialSide func(ctx context.Context, address string) (net.Conn, error)

	// seq is the sequence number of the last append, confirmedMs the send time of the last successful one.
	seq         uint64
	confirmedMs int64
	sentMs      int64
	// inFlight is the unacknowledged append; nil if there is none. appended carries its result, and resendAtMs is when it is sent
	// again; 0 while a call is outstanding. heartbeatCheckedAt is when heartbeatIfDue last looked.
	inFlight *inFlightAppend
	// appendFailing is true from the first failed append on until one succeeds.
	appendFailing      bool
	appended           chan appendResult
	resendAtMs         int64
	heartbeatCheckedAt time.Time
	// flushScheduled is true while a flush is scheduled because the last append was too recent.
	flushScheduled bool
	// claimLost is true once another decider has claimed or this one has resigned.
	claimLost bool
	// loading is the job that is being loaded; empty if there is none.
	loading string
}

// newDecider returns the decider of a claim of this entry. Its authority counts from when the claim was sent: the store may have answered
// later, or this process may have been paused.
func (e *Entry) newDecider(ctx context.Context, cancel context.CancelFunc, claim *work.Claim) *decider {
	e.election.mu.Lock()
	claimSentMs := e.election.claimSentMs
	e.election.mu.Unlock()
	d := &decider{entry: e, epoch: claim.Epoch, ctx: ctx, cancel: cancel, events: make(chan queuedEvent, eventQueueSize), appended: make(chan appendResult, 1),
		sides: map[string]*sideLink{}, dialSide: dialSide, seq: claimSeq(claim), confirmedMs: claimSentMs, sentMs: clock.BootMs()}
	d.state = dispatch.New(e.set.Bounds, claim.Epoch, d.now(), dispatchOptions(&e.set))
	return d
}

// runDecider runs a decider until another entry has claimed or ctx ends.
func (e *Entry) runDecider(ctx context.Context, claim *work.Claim) {
	epoch := claim.Epoch
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := e.newDecider(ctx, cancel, claim)
	e.election.consumeClaim()
	e.log.Log(logevent.BecameDecider, logevent.Int("epoch", epoch))
	e.deciding.Store(epoch)
	e.schedule.pause(true)
	defer d.recoverPanic()
	defer func() {
		e.setDecider(nil)
		e.deciding.Store(0)
		e.schedule.pause(false)
		e.election.resetTimeout(clock.BootMs())
		e.log.Log(logevent.DeciderRoleLost, logevent.Int("epoch", epoch))
	}()
	if !d.loadState() {
		return
	}
	d.run()
}

// panicHoldOff is how long an entry whose decider panicked does not claim, so that another entry decides first.
const panicHoldOff = 2 * time.Second

// recoverPanic ends a decider that panicked: its state cannot be relied on, and the next one loads it from the store. A job
// whose loading panicked is left out by all later deciders of this process.
func (d *decider) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	e := d.entry
	e.log.LogPanic(logevent.DeciderPanicked, v, logevent.Int("epoch", d.epoch), logevent.Str("job", d.loading))
	if d.loading != "" {
		e.view.exclude(d.loading)
	}
	e.election.holdOff(clock.BootMs() + panicHoldOff.Milliseconds())
}

func (d *decider) now() dispatch.Now {
	return dispatch.Now{BootMs: clock.BootMs(), WallMs: clock.WallMs()}
}

func (e *Entry) setDecider(d *decider) {
	e.mu.Lock()
	e.decider = d
	e.mu.Unlock()
	var notify func(string, jobView)
	if d != nil {
		notify = d.jobChanged
	}
	e.view.mu.Lock()
	e.view.onJobChange = notify
	e.view.mu.Unlock()
	e.jobs.setBatching(d == nil)
}

// loadState reads the state that decisions depend on: all jobs up to now and the addresses of side processes.
func (d *decider) loadState() bool {
	e := d.entry
	for _, r := range []*topicReader{e.jobs, e.operator, e.sides} {
		if !d.loadTopic(r) {
			return false
		}
	}
	e.setDecider(d)
	if cfg := e.config.Load(); cfg != nil {
		d.applyEvent(dispatch.ConfigChanged{Config: cfg})
	}
	e.mu.Lock()
	zones := make([]string, 0, len(e.evacuated))
	for z := range e.evacuated {
		zones = append(zones, z)
	}
	addresses := make([]work.ProcessAddress, 0, len(e.addresses))
	for _, a := range e.addresses {
		addresses = append(addresses, a)
	}
	e.mu.Unlock()
	for _, z := range zones {
		d.applyEvent(dispatch.ZoneEvacuated{Zone: z, Evacuated: true})
	}
	if in := e.view.interference(); in != nil {
		d.applyEvent(dispatch.ModelRestored{Interference: in})
	}
	if e.view.backlog.isStored() {
		d.applyEvent(dispatch.BacklogFound{})
	}
	for id, v := range e.view.all() {
		d.applyJob(id, v)
		d.heartbeatIfDue()
	}
	d.applyEvent(dispatch.JobsDropped{IDs: e.view.orphans()})
	for _, a := range addresses {
		d.connectSide(a)
	}
	go e.sides.run(d.ctx)
	return d.ctx.Err() == nil
}

// loadTopic reads a topic to its end and reports whether it did. Meanwhile the decider sends heartbeats. It sends none while reads fail,
// so that another entry claims, and gives its place up if none has succeeded for AuthorityTimeout then, or for loadStallLimit in any case.
func (d *decider) loadTopic(r *topicReader) bool {
	began, failed := clock.BootMs(), int64(0)
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	loaded := make(chan error, 1)
	refresh := func() { loaded <- r.refresh(ctx) }
	go refresh()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !d.claimLost {
		select {
		case <-d.ctx.Done():
			return false
		case err := <-loaded:
			if err == nil {
				return true
			}
			failed = clock.BootMs()
			go func() {
				clock.Sleep(ctx, appendRetry)
				refresh()
			}()
		case <-ticker.C:
			limit, failing := loadStallLimit, r.lastReadMs() < failed
			if failing {
				limit = d.entry.set.Bounds.AuthorityTimeout
			}
			if clock.BootMs()-max(began, r.lastReadMs()) > limit.Milliseconds() {
				return false
			}
			if !failing {
				d.heartbeatIfDue()
			}
		}
	}
	return false
}

// run is the decider's event loop. Its goroutine owns all state of the decider except the event queue.
func (d *decider) run() {
	defer d.closeSides()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for !d.claimLost && d.ctx.Err() == nil {
		select {
		case <-d.ctx.Done():
		case r := <-d.appended:
			d.batchWait = 0
			d.appendDone(r)
			d.handleBatch()
		case ev := <-d.events:
			d.batchWait = 0
			d.handle(ev)
			d.handleBatch()
		case <-ticker.C:
			d.applyEvent(dispatch.Tick{})
		case <-summary.C:
			d.logSummary()
			d.dropOrphanedCancellations()
		}
		d.flush()
	}
}

// logSummary logs a summary of the fleet.
func (d *decider) logSummary() {
	m := d.state.Summarize()
	d.entry.log.Log(logevent.FleetState, logevent.Int("jobs", m.Jobs), logevent.Int("at_work", m.Active), logevent.Int("waiting_lasting", m.WaitingLongRunning),
		logevent.Int("waiting_fillers", m.WaitingBestEffort), logevent.Int("waiting_others", m.WaitingOthers), logevent.Int("workers", m.Workers),
		logevent.Int("cpu", m.CPU), logevent.Int("cpu_committed", m.Committed), logevent.Int("cpu_fillers", m.BestEffort),
		logevent.Int("fillers_used", m.BestEffortUsed), logevent.Int("fillers_want", m.BestEffortDemand), logevent.Int("others_used", m.OthersUsed), logevent.Int("others_want", m.OthersDemand),
		logevent.Int("mem_mb", m.MemMB), logevent.Int("mem_committed", m.MemCommitted), logevent.Int("paced", m.Throttled),
		logevent.Int("load_period_ms", m.Forecast.PeriodMs), logevent.Int("loads_measured", m.Forecast.Measured), logevent.Int("loads_predicted", m.Forecast.Usable), logevent.Int("load_error", m.Forecast.MeanError),
		logevent.Int("event_wait_ms", d.maxWait.Milliseconds()), logevent.Int("event_batch", d.maxBatch), logevent.Int("events_queued", len(d.events)))
	d.logOrder()
	d.maxWait, d.maxBatch = 0, 0
}

// handleBatch handles the events that are queued and places tasks, so that the append that follows holds what all of them have changed.
func (d *decider) handleBatch() {
	d.handleQueued()
	d.applyEvent(dispatch.EventsWaited{Wait: d.batchWait})
	d.applyEvent(dispatch.Place{})
}

// handleQueued handles events that are already queued.
func (d *decider) handleQueued() {
	for batch := 1; batch <= maxEventBatch; batch++ {
		d.maxBatch = max(d.maxBatch, batch)
		select {
		case ev := <-d.events:
			d.handle(ev)
			d.heartbeatIfDue()
		default:
			return
		}
	}
}

// queuedEvent is an event that waits for the event loop.
type queuedEvent struct {
	queued time.Time
	handle func()
}

// handle handles an event and records how long it has waited. A decider that falls behind shows there first.
func (d *decider) handle(ev queuedEvent) {
	wait := time.Since(ev.queued)
	d.maxWait, d.batchWait = max(d.maxWait, wait), max(d.batchWait, wait)
	d.entry.meters.eventWait.Record(wait)
	ev.handle()
}

// post queues an event for the event loop.
func (d *decider) post(f func()) {
	select {
	case d.events <- queuedEvent{time.Now(), f}:
	case <-d.ctx.Done():
	}
}

// applyEvent applies an event to the dispatch state and carries out the effects.
func (d *decider) applyEvent(ev dispatch.Event) {
	eff := d.state.Step(d.now(), ev)
	for _, o := range eff.Orders {
		if s := d.sides[o.Instance]; s != nil {
			s.send(o.Orders)
		}
	}
	if d.state.FencesExhausted() && !d.claimLost {
		d.entry.log.Log(logevent.DeciderRoleLost, logevent.Int("epoch", d.epoch), logevent.Str("reason", "a fence cannot rise any more"))
		d.claimLost = true
	}
	for i := range eff.Decisions {
		d.entry.logDecision(&eff.Decisions[i])
	}
	for _, q := range eff.Questions {
		go d.askAdviser(q)
	}
}

// hasAuthority reports whether this decider may still renew leases.
func (d *decider) hasAuthority() bool {
	return !d.claimLost && clock.BootMs()-d.confirmedMs < d.entry.set.Bounds.AuthorityTimeout.Milliseconds()
}

// jobChanged is called when a submission or a cancellation has been read.
func (d *decider) jobChanged(id string, v jobView) { go d.post(func() { d.applyJob(id, v) }) }

func (d *decider) applyJob(id string, v jobView) {
	if d.entry.view.isExcluded(id) {
		return
	}
	d.loading = id
	d.loadJob(id, v)
	d.loading = ""
}

func (d *decider) loadJob(id string, v jobView) {
	var p *work.Progress
	if len(v.progress) > 0 {
		var err error
		if p, err = work.DecodeProgress(v.progress); err != nil {
			d.entry.log.Log(logevent.RecordUnreadable, logevent.Str("key", work.PrefixProgress+id), logevent.Err(err))
			return
		}
	}
	var c *work.Checkpoints
	if len(v.checkpoints) > 0 {
		c = &work.Checkpoints{}
		if err := work.Decode(v.checkpoints, c); err != nil {
			// The tasks start from their beginning.
			d.entry.log.Log(logevent.RecordUnreadable, logevent.Str("key", work.PrefixCheckpoints+id), logevent.Err(err))
			c = nil
		}
	}
	d.applyEvent(dispatch.JobSubmitted{Job: v.job, Progress: p, Checkpoints: c})
	if v.cancelled {
		d.applyEvent(dispatch.JobCancelled{ID: id})
	}
}

// operatorChanged is called when a change by the operator has been read.
func (d *decider) operatorChanged(change work.OperatorChange) {
	switch ch := change.(type) {
	case work.ConfigChanged:
		d.post(func() { d.applyEvent(dispatch.ConfigChanged{Config: ch.Config}) })
	case work.ZoneEvacuated:
		d.post(func() { d.applyEvent(dispatch.ZoneEvacuated{Zone: ch.Zone, Evacuated: ch.Evacuated}) })
	}
}

// sideAddressChanged is called when the address of a side process has been read.
func (d *decider) sideAddressChanged(a work.ProcessAddress) { d.post(func() { d.connectSide(a) }) }

// resign hands over to another decider if this entry is the decider.
func (e *Entry) resign() {
	d := e.currentDecider()
	if d == nil {
		return
	}
	finished := make(chan struct{})
	d.post(func() {
		d.claimLost = true
		claim := work.Encode(&work.Claim{Epoch: d.epoch, Instance: e.set.Instance, Resigned: true})
		f := d.inFlight // the loop may still handle its result
		go func() {
			defer close(finished)
			ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
			defer cancel()
			// An append in flight is sent again first, so that the resignation has the next sequence number.
			if f != nil {
				if _, err := e.store.Append(ctx, f.append); err != nil {
					e.log.Log(logevent.ClaimFailed, logevent.Err(err))
					return
				}
			}
			if _, err := e.store.Append(ctx, work.Append{Topic: work.TopicSchedule, Producer: producer, Epoch: d.epoch, Seq: d.seq + 1,
				Records: []work.Record{{Key: work.KeyClaim, Value: claim}}}); err != nil {
				e.log.Log(logevent.ClaimFailed, logevent.Err(err))
			}
		}()
	})
	select {
	case <-finished:
	case <-time.After(2 * resignTimeout):
	}
}

// decisionEvents maps decision notes to log events.
var decisionEvents = map[dispatch.DecisionKind]logevent.Event{
	dispatch.DecisionJobAccepted: logevent.JobLoaded, dispatch.DecisionJobFinished: logevent.JobFinished, dispatch.DecisionStart: logevent.TaskStart,
	dispatch.DecisionStop: logevent.TaskStop, dispatch.DecisionRunEnded: logevent.TaskEnd, dispatch.DecisionRequeued: logevent.TaskRequeued,
	dispatch.DecisionStartRefused: logevent.TaskRefused, dispatch.DecisionWorkerUp: logevent.WorkerUp, dispatch.DecisionWorkerDown: logevent.WorkerDown,
	dispatch.DecisionQuarantine: logevent.WorkerQuarantined, dispatch.DecisionQuarantineLifted: logevent.QuarantineLifted, dispatch.DecisionCPUShare: logevent.CPUShareChanged,
	dispatch.DecisionBacklog: logevent.BacklogChanged, dispatch.DecisionOccurrencesSuspended: logevent.OccurrencesSuspended,
}

// logDecision logs a decision.
func (e *Entry) logDecision(n *dispatch.Decision) {
	ev := decisionEvents[n.Kind]
	e.meters.countDecision(ev)
	fields := make([]logevent.Field, 0, 6)
	if n.Job != "" {
		fields = append(fields, logevent.Str("job", n.Job))
	}
	if n.Task != "" {
		fields = append(fields, logevent.Str("task", n.Task), logevent.Int("run", n.Run))
	}
	if n.Instance != "" {
		fields = append(fields, logevent.Str("instance", n.Instance))
	}
	fields = append(fields, logevent.Str("reason", n.Reason), logevent.Int("age_ms", n.AgeMs))
	e.log.Log(ev, fields...)
}

// answerReport answers a report, which renews the worker's lease, if this decider has authority.
func (d *decider) answerReport(s *sideLink, r *link.Report) {
	if !d.hasAuthority() {
		return
	}
	d.applyEvent(dispatch.LeaseRenewed{Instance: s.instance, SentMs: r.SentMs})
	s.send(link.Orders{AnsweredMs: r.SentMs})
}
