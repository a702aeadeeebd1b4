package entry

import (
	"context"
	"errors"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// tickEvery is the time between looks at leases, due times and slow runs.
	tickEvery = 100 * time.Millisecond
	// batchEvery is the least time between two appends of the decider. Each call to the store has a price.
	batchEvery = 25 * time.Millisecond
	// appendRetry is the pause after an append that failed.
	appendRetry = 150 * time.Millisecond
	// signEvery is the time without a record after which the decider shows that it is alive.
	signEvery = 400 * time.Millisecond
	// eventQueue bounds events that wait for the decider.
	eventQueue = 4096
	// eventsAtOnce bounds the events between two placements.
	eventsAtOnce = 256
	// summaryEvery is the time between two accounts of the fleet in the log.
	summaryEvery = 2 * time.Second
	// resignTimeout bounds the record with which a decider that shuts down makes way.
	resignTimeout = 400 * time.Millisecond
)

// decider runs the decider's reducer: it feeds it events, stores what it decides and sends its orders.
type decider struct {
	entry  *Entry
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc
	state  *dispatch.State
	events chan func()
	sides  map[string]*sideLink

	// seq is the number of the last append, confirmedMs when the last successful one was sent.
	seq         uint64
	confirmedMs int64
	sentMs      int64
	// flying is the batch whose append is not answered; nil if there is none.
	flying *flight
	// flushArmed is true while a look at the loop is due because an append was too early.
	flushArmed bool
	// lost is true once another decider is known.
	lost bool
}

// flight is an append that is not answered yet.
type flight struct {
	batch  *dispatch.Batch
	append work.Append
}

// decide runs a decider until another entry has claimed or ctx ends.
func (e *Entry) decide(ctx context.Context, claim *work.Claim) {
	epoch := claim.Epoch
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := clock.BootMs()
	d := &decider{entry: e, epoch: epoch, ctx: ctx, cancel: cancel, events: make(chan func(), eventQueue),
		sides: map[string]*sideLink{}, seq: firstSeq(claim), confirmedMs: now, sentMs: now}
	d.state = dispatch.New(e.set.Bounds, epoch, d.now())
	e.election.entered()
	e.log.Log(logevent.Claimed, logevent.Int("epoch", epoch))
	e.deciding.Store(epoch)
	e.sched.pause(true)
	defer func() {
		e.setDecider(nil)
		e.deciding.Store(0)
		e.sched.pause(false)
		e.election.storeLost(clock.BootMs())
		e.log.Log(logevent.ClaimLost, logevent.Int("epoch", epoch))
	}()
	if !d.load() {
		return
	}
	d.run()
}

func (d *decider) now() dispatch.Now {
	return dispatch.Now{BootMs: clock.BootMs(), WallMs: clock.WallMs()}
}

func (e *Entry) setDecider(d *decider) {
	e.mu.Lock()
	e.decider = d
	e.mu.Unlock()
	var tell func(string, viewed)
	if d != nil {
		tell = d.jobSeen
	}
	e.view.mu.Lock()
	e.view.taken = tell
	e.view.mu.Unlock()
	e.jobs.setGather(d == nil)
}

// load reads everything that the decisions rest on: jobs up to now, and where side processes are.
func (d *decider) load() bool {
	e := d.entry
	for d.ctx.Err() == nil {
		err := e.jobs.refresh(d.ctx)
		if err == nil {
			err = e.op.refresh(d.ctx)
		}
		if err == nil {
			err = e.sides.refresh(d.ctx)
		}
		if err == nil {
			break
		}
		// The epoch stays claimed meanwhile; others claim if no sign of life follows.
		if clock.BootMs()-d.confirmedMs > e.set.Bounds.Lead.Milliseconds() {
			return false
		}
		clock.Sleep(d.ctx, appendRetry)
	}
	e.setDecider(d)
	if cfg := e.config.Load(); cfg != nil {
		d.step(dispatch.ConfigChanged{Config: cfg})
	}
	e.mu.Lock()
	zones := make([]string, 0, len(e.evacuated))
	for z := range e.evacuated {
		zones = append(zones, z)
	}
	addresses := make([]work.SideAddress, 0, len(e.addresses))
	for _, a := range e.addresses {
		addresses = append(addresses, a)
	}
	e.mu.Unlock()
	for _, z := range zones {
		d.step(dispatch.ZoneEvacuated{Zone: z, Evacuated: true})
	}
	if in := e.view.interference(); in != nil {
		d.step(dispatch.Learned{Interference: in})
	}
	for id, v := range e.view.all() {
		d.takeJob(id, v)
	}
	for _, a := range addresses {
		d.linkTo(a)
	}
	go e.sides.run(d.ctx)
	return d.ctx.Err() == nil
}

// run is the decider's loop. All of its state but the queue of events belongs to this goroutine.
func (d *decider) run() {
	defer d.closeSides()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	for !d.lost && d.ctx.Err() == nil {
		select {
		case <-d.ctx.Done():
		case f := <-d.events:
			f()
			d.drain()
			d.step(dispatch.Place{})
		case <-ticker.C:
			d.step(dispatch.Tick{})
		case <-summary.C:
			d.summarize()
		}
		d.flush()
	}
}

// summarize writes an account of the fleet.
func (d *decider) summarize() {
	m := d.state.Summarize()
	d.entry.log.Log(logevent.FleetState, logevent.Int("jobs", m.Jobs), logevent.Int("at_work", m.At), logevent.Int("waiting_lasting", m.WaitingLasting),
		logevent.Int("waiting_fillers", m.WaitingFillers), logevent.Int("waiting_others", m.WaitingOthers), logevent.Int("workers", m.Workers),
		logevent.Int("cpu", m.CPU), logevent.Int("cpu_committed", m.Committed), logevent.Int("cpu_fillers", m.Fillers),
		logevent.Int("fillers_used", m.FillersUsed), logevent.Int("fillers_want", m.FillersWant), logevent.Int("others_used", m.OthersUsed), logevent.Int("others_want", m.OthersWant),
		logevent.Int("mem_mb", m.MemMB), logevent.Int("mem_committed", m.MemCommitted), logevent.Int("paced", m.Paced))
}

// drain carries out events that are waiting already.
func (d *decider) drain() {
	for range eventsAtOnce {
		select {
		case f := <-d.events:
			f()
		default:
			return
		}
	}
}

// post queues an event for the loop.
func (d *decider) post(f func()) {
	select {
	case d.events <- f:
	case <-d.ctx.Done():
	}
}

// step applies an event and carries out what follows.
func (d *decider) step(ev dispatch.Event) {
	eff := d.state.Step(d.now(), ev)
	for _, o := range eff.Orders {
		if s := d.sides[o.Instance]; s != nil {
			s.send(o.Orders)
		}
	}
	for i := range eff.Notes {
		d.entry.logNote(&eff.Notes[i])
	}
	for _, q := range eff.Questions {
		go d.ask(q)
	}
}

// authority reports whether this decider may still renew leases.
func (d *decider) authority() bool {
	return !d.lost && clock.BootMs()-d.confirmedMs < d.entry.set.Bounds.Lead.Milliseconds()
}

// flush stores what was decided, or a sign of life. One append is in flight at a time.
func (d *decider) flush() {
	now := clock.BootMs()
	if d.flying != nil || d.lost {
		return
	}
	if early := batchEvery.Milliseconds() - (now - d.sentMs); early > 0 {
		d.flushIn(time.Duration(early) * time.Millisecond)
		return
	}
	batch := d.state.Collect()
	records := batch.Schedule
	if len(records) == 0 {
		if !batch.Empty() {
			// Only ends of jobs that are over: nothing has to be stored before they are forgotten.
			d.drop(batch.Drops)
			d.step(dispatch.Committed{Batch: batch})
			return
		}
		if now-d.sentMs < signEvery.Milliseconds() {
			return
		}
		records = []work.Record{{Key: work.KeyClaim, Value: work.Encode(&work.Claim{Epoch: d.epoch, Instance: d.entry.set.Instance})}}
	}
	d.drop(batch.Drops)
	d.seq++
	d.flying = &flight{batch: batch, append: work.Append{Topic: work.TopicSchedule, Producer: producer, Epoch: d.epoch, Seq: d.seq, Records: records}}
	d.launch()
}

// flushIn looks at the loop again after a while.
func (d *decider) flushIn(after time.Duration) {
	if d.flushArmed {
		return
	}
	d.flushArmed = true
	time.AfterFunc(after, func() { d.post(func() { d.flushArmed = false }) })
}

// drop removes records of jobs that are long over. What fails is dropped by the next decider.
func (d *decider) drop(records []work.Record) {
	if len(records) == 0 {
		return
	}
	go func() {
		if _, err := d.entry.store.Append(d.ctx, work.Append{Topic: work.TopicJobs, Records: records}); err != nil {
			d.entry.log.Log(logevent.StoreLost, logevent.Str("topic", work.TopicJobs), logevent.Err(err))
		}
	}()
}

// launch sends the append in flight.
func (d *decider) launch() {
	d.sentMs = clock.BootMs()
	sent, a := d.sentMs, d.flying.append
	go func() {
		got, err := d.entry.store.Append(d.ctx, a)
		d.post(func() { d.landed(sent, got, err) })
	}()
}

// landed takes the answer of an append. An append without an answer is repeated under its number, which the store
// carries out once.
func (d *decider) landed(sent int64, got work.Appended, err error) {
	switch {
	case err == nil:
		f := d.flying
		d.flying = nil
		d.confirmedMs = sent
		d.entry.sched.own(f.append.Records, got.End)
		d.step(dispatch.Committed{Batch: f.batch})
	case errors.Is(err, work.ErrFenced), errors.Is(err, work.ErrSequence):
		d.entry.log.Log(logevent.ClaimLost, logevent.Int("epoch", d.epoch), logevent.Err(err))
		d.lost = true
	default:
		go func() {
			clock.Sleep(d.ctx, appendRetry)
			d.post(func() {
				if d.flying != nil && !d.lost {
					d.launch()
				}
			})
		}()
	}
}

// jobSeen is called when a submission or a cancellation was read.
func (d *decider) jobSeen(id string, v viewed) { go d.post(func() { d.takeJob(id, v) }) }

func (d *decider) takeJob(id string, v viewed) {
	var p *work.Progress
	if len(v.progress) > 0 {
		p = &work.Progress{}
		if err := work.Decode(v.progress, p); err != nil {
			d.entry.log.Log(logevent.RecordUnreadable, logevent.Str("key", work.PrefixProgress+id), logevent.Err(err))
			return
		}
	}
	d.step(dispatch.JobSubmitted{Job: v.job, Progress: p})
	if v.cancelled {
		d.step(dispatch.JobCancelled{ID: id})
	}
}

// operatorChanged is called when the operator changed something.
func (d *decider) operatorChanged(change work.OperatorChange) {
	switch ch := change.(type) {
	case work.ConfigChanged:
		d.post(func() { d.step(dispatch.ConfigChanged{Config: ch.Config}) })
	case work.ZoneEvacuated:
		d.post(func() { d.step(dispatch.ZoneEvacuated{Zone: ch.Zone, Evacuated: ch.Evacuated}) })
	}
}

// sideAt is called when the address of a side process was read.
func (d *decider) sideAt(a work.SideAddress) { d.post(func() { d.linkTo(a) }) }

// ask asks the adviser a question.
func (d *decider) ask(q dispatch.Question) {
	ids := make([]string, 0, len(q.Workers))
	for id := range q.Workers {
		ids = append(ids, id)
	}
	if d.entry.adviser == nil {
		d.entry.log.Log(logevent.AdviserLost, logevent.Str("step", q.Step), logevent.Str("reason", "the settings name none"))
		return
	}
	tickets, valid, err := d.entry.adviser.Ask(d.ctx, q.Step, ids)
	if err != nil {
		d.entry.log.Log(logevent.AdviserLost, logevent.Str("step", q.Step), logevent.Err(err))
		return
	}
	answer := dispatch.Advised{Step: q.Step, Tickets: map[string]string{}, IDs: map[string]string{}, ValidMs: valid}
	for id, text := range tickets {
		if instance, ok := q.Workers[id]; ok {
			answer.Tickets[instance], answer.IDs[instance] = text, id
		}
	}
	d.post(func() { d.step(answer) })
}

// resign makes way for another decider, if this entry decides.
func (e *Entry) resign() {
	d := e.currentDecider()
	if d == nil {
		return
	}
	finished := make(chan struct{})
	d.post(func() {
		d.lost = true
		claim := work.Encode(&work.Claim{Epoch: d.epoch, Instance: e.set.Instance, Resigned: true})
		go func() {
			defer close(finished)
			ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
			defer cancel()
			// A batch in flight goes first under its number, so that the record of resigning can follow.
			if f := d.flying; f != nil {
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

// noteEvents maps accounts of decisions to log events.
var noteEvents = map[dispatch.NoteKind]logevent.Event{
	dispatch.NoteJobTaken: logevent.JobTaken, dispatch.NoteJobOver: logevent.JobOver, dispatch.NoteStart: logevent.TaskStart,
	dispatch.NoteStop: logevent.TaskStop, dispatch.NoteEnd: logevent.TaskEnd, dispatch.NoteRequeued: logevent.TaskRequeued,
	dispatch.NoteRefused: logevent.TaskRefused, dispatch.NoteWorkerUp: logevent.WorkerUp, dispatch.NoteWorkerDown: logevent.WorkerDown,
	dispatch.NoteQuarantine: logevent.WorkerQuarantined, dispatch.NotePace: logevent.PaceChanged,
}

// logNote writes an account of a decision.
func (e *Entry) logNote(n *dispatch.Note) {
	ev := noteEvents[n.Kind]
	e.meters.decided(ev)
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

// authorityFor answers a report if this decider may.
func (d *decider) authorityFor(s *sideLink, r *link.Report) {
	if !d.authority() {
		return
	}
	d.step(dispatch.Granted{Instance: s.instance, SentMs: r.SentMs})
	s.send(link.Orders{Answered: r.SentMs})
}
