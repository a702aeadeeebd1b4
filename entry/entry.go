// Package entry runs an entry instance: it serves callers, customers and operators, follows the streams of its region,
// and acts as the decider while it holds the region's epoch. Its decisions are made by package core.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/route"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/stream"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/telemetry"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// Times of the runner.
const (
	// tickEvery is the time between ticks and so between batches.
	tickEvery = 50 * time.Millisecond
	// wakeTicks is the number of ticks between looks at all withheld polls for news that came with time, such as the end
	// of a hold. A folded record answers the polls of the workers that it is about at once. A look at every tick cost a
	// fifth more per worker.
	wakeTicks = 5
	// submitWindow is how long submissions and cancels are grouped.
	submitWindow = 20 * time.Millisecond
	// claimWindow is how long claims are grouped; callers wait for it.
	claimWindow = 3 * time.Millisecond
	// controlGrace bounds how long the listeners for operators and processes wait for requests in progress when the
	// process stops. Requests of callers are waited for without limit.
	controlGrace = 2 * time.Second
)

// Entry is a running entry instance.
type Entry struct {
	set         settings.Entry
	log         logevent.Logger
	incarnation uint64
	start       time.Time

	// folding is held by folds and by the encoder of the stream's state. It is taken before mu.
	folding [3]sync.Mutex

	mu    sync.Mutex
	state *core.State
	// changed is closed and replaced whenever a fold may have changed something that a waiter looks at.
	changed chan struct{}
	// waiters holds the newest withheld poll of each worker.
	waiters map[string]*waiter

	platform     external.Log
	configWriter *stream.Writer
	regionWriter *stream.Writer
	submitWriter *stream.Writer
	claimWriter  *stream.Writer
	// snapshots writes the snapshots of each stream.
	snapshots map[core.Stream]*stream.Writer
	// reads paces the reads of each stream.
	reads map[core.Stream]*reads
	// views holds what is known of each stream beyond its folded state; guarded by mu.
	views map[core.Stream]*streamView

	public   *httpserver.Server
	operator *httpserver.Server
	control  *httpserver.Server
	rpc      *http.Client
	peers    *peerTable
	metrics  *metrics
	// keys are for encrypted connections between processes and towards operators; nil without TLS.
	keys  *tlsconf.Keys
	links links
	// unrecorded holds answers of claimed requests until they are read back from the log.
	unrecorded answerTable
	// pace sizes the heartbeat interval.
	pace pacer
	// nudges limits nudges after changes; changed configuration is told by newRevision.
	nudges      *nudgeLimit
	newRevision chan struct{}
	// seen holds the streams that were read to their end since the start.
	seen map[core.Stream]bool

	// peerIncarnation is the incarnation by which other entries know this run; see raise. Records carry incarnation.
	peerIncarnation atomic.Uint64
	// exchanges counts the exchanges sent; exchangeNow asks for one at once.
	exchanges   atomic.Uint64
	exchangeNow chan struct{}
	// used is what this entry's customers used, as last reported.
	used atomic.Pointer[[]*control.RateUse]

	draining atomic.Bool
	// claiming is true while a claim of the region is being appended.
	claiming atomic.Bool
	nonce    atomic.Uint64
	tries    atomic.Uint64
	inFlight atomic.Int64
	ready    atomic.Bool

	// ignoreClaim and ignoreEcho switch off rules, for the tests that show that they are needed.
	ignoreClaim, ignoreEcho bool
}

// New binds the listeners of an entry. Nothing is served before Run.
func New(set settings.Entry, log external.Log, out io.Writer) (*Entry, error) {
	start := time.Now()
	e := &Entry{
		set: set, log: logevent.New(out, set.LogLevel, set.ID), incarnation: uint64(start.UnixMilli()), start: start,
		seen: make(map[core.Stream]bool), views: make(map[core.Stream]*streamView), changed: make(chan struct{}), waiters: make(map[string]*waiter), platform: log,
		nudges: newNudgeLimit(), newRevision: make(chan struct{}, 1), exchangeNow: make(chan struct{}, 1),
		rpc: &http.Client{Timeout: 5 * time.Second, Transport: control.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute})},
	}
	e.peerIncarnation.Store(e.incarnation)
	e.state = core.New(core.Options{
		Self: set.ID, Incarnation: e.incarnation, Zone: set.Zone, Heartbeat: set.Heartbeat, Routing: route.Policy(set.Routing),
		Authority: set.Authority, Decider: set.Decider, Scheduler: scheduler.DefaultConfig(),
	})
	if err := e.newMetrics(log); err != nil {
		return nil, err
	}
	e.platform = e.metrics.log
	if err := e.loadKeys(); err != nil {
		return nil, err
	}
	e.rpc.Transport = &telemetry.Transport{Base: e.rpc.Transport, Bytes: e.metrics.bytes}
	e.newWriters()
	if err := e.listen(); err != nil {
		return nil, fmt.Errorf("entry %s: %w", set.ID, err)
	}
	e.peers = newPeerTable(set.Peers)
	return e, nil
}

func (e *Entry) newWriters() {
	opts := stream.WriterOptions{
		ID: e.set.ID, Incarnation: e.incarnation, WallMs: wallMs, Budget: stream.NewBudget(e.set.AppendsPerSecond, e.set.SnapshotAppends),
	}
	named := func(suffix string, window time.Duration) stream.WriterOptions {
		o := opts
		o.ID += suffix
		o.Window = window
		return o
	}
	e.configWriter = stream.NewWriter(e.platform, configStream, named(e.writerSuffix(core.ConfigStream), submitWindow))
	// Decisions and submissions have writers of their own, so that a batch never waits for the window of submissions.
	e.regionWriter = stream.NewWriter(e.platform, e.regionStream(), named("", 0))
	e.submitWriter = stream.NewWriter(e.platform, e.regionStream(), named("/submit", submitWindow))
	e.claimWriter = stream.NewWriter(e.platform, e.claimStream(), named("", claimWindow))
	e.snapshots, e.reads = make(map[core.Stream]*stream.Writer), make(map[core.Stream]*reads)
	for kind, name := range e.streamNames() {
		o := named(e.writerSuffix(kind)+"/snapshot", 0)
		o.Bulk = true
		e.snapshots[kind] = stream.NewWriter(e.platform, name, o)
		e.views[kind], e.reads[kind] = &streamView{}, e.pacedReads(kind)
	}
}

func (e *Entry) listen() error {
	var err error
	if e.public, err = httpserver.Listen(e.set.Public); err != nil {
		return err
	}
	if e.operator, err = httpserver.Listen(e.set.Operator, httpserver.WithTLS(e.keys, tlsconf.Operator)...); err != nil {
		return err
	}
	if e.control, err = httpserver.Listen(e.set.Control, append(httpserver.WithTLS(e.keys, tlsconf.Entry, tlsconf.Side), fewHeaders)...); err != nil {
		return err
	}
	e.routePublic()
	e.routeOperator()
	e.routeControl()
	return nil
}

// PublicAddress returns the bound address for callers and customers.
func (e *Entry) PublicAddress() string { return e.public.Address() }

// OperatorAddress returns the bound address for operators.
func (e *Entry) OperatorAddress() string { return e.operator.Address() }

// ControlAddress returns the bound address for the system's own processes.
func (e *Entry) ControlAddress() string { return e.control.Address() }

// Run serves until ctx ends, then shuts down gracefully: health fails first, then the listeners close.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	run := func(f func(context.Context)) {
		background.Add(1)
		go func() { defer background.Done(); f(work) }()
	}
	for _, w := range e.writers() {
		run(w.Run)
	}
	failed := make(chan error, 8)
	e.follow(run, failed)
	run(e.tick)
	run(e.exchange)
	run(e.snapshotLoop)
	run(e.recoverFromPeers)
	run(e.watchLinks)
	run(e.nudgeAll)
	callers, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	serve, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	publicServed, served := make(chan error, 1), make(chan error, 2)
	go func() { publicServed <- e.public.Serve(callers, 0) }()
	for _, s := range []*httpserver.Server{e.operator, e.control} {
		go func() { served <- s.Serve(serve, controlGrace) }()
	}
	if e.keys == nil {
		e.log.Log(logevent.InsecureControl)
	}
	e.log.Log(logevent.Started, logevent.Str("public", e.PublicAddress()), logevent.Str("operator", e.OperatorAddress()),
		logevent.Str("control", e.ControlAddress()))
	var err error
	select {
	case <-ctx.Done():
		e.drain()
	case err = <-failed:
	}
	// Requests of callers may need the other listeners and the log until they end.
	stopCallers()
	<-publicServed
	stopServing()
	for range 2 {
		<-served
	}
	stop()
	background.Wait()
	e.log.Log(logevent.Stopped)
	return err
}

// drainNotice is how long the health answer fails before listeners close, so that the balancer stops sending first.
const drainNotice = time.Second

func (e *Entry) drain() {
	e.draining.Store(true)
	e.log.Log(logevent.Stopping)
	e.notify()
	e.wakePolls(nil, true)
	e.kickExchange()
	e.resign()
	time.Sleep(drainNotice)
}

func wallMs() int64 { return time.Now().UnixMilli() }

// now returns the time for an event.
func (e *Entry) now() clock.Now {
	return clock.Now{Mono: time.Since(e.start), WallMs: wallMs()}
}

// step applies an event under the lock and carries out its effects after it.
func (e *Entry) step(ev core.Event) []core.Effect {
	e.mu.Lock()
	effects := core.Step(e.state, e.now(), ev)
	e.mu.Unlock()
	e.carryOut(effects)
	return effects
}

// read calls f with the state under the lock.
func (e *Entry) read(f func(s *core.State)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.state)
}

// waitFor waits until the condition on the state holds.
func (e *Entry) waitFor(ctx context.Context, cond func(s *core.State) bool) error {
	for {
		e.mu.Lock()
		ok, changed := cond(e.state), e.changed
		e.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notify tells those who wait for a condition on the state that it may hold now.
func (e *Entry) notify() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.changed)
	e.changed = make(chan struct{})
}

// carryOut starts what effects ask for. Effects that answer the event are read by the caller of step.
func (e *Entry) carryOut(effects []core.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case core.Do:
			go e.doAuthority(eff.Effect)
		case core.Append:
			go e.appendBatch(eff.Batch)
		case core.Wake:
			e.wakePolls(eff.Workers, eff.All)
		case core.Alerted:
			a := eff.Alert
			e.log.Log(logevent.Alert, logevent.Str("code", a.Code), logevent.Str("job", a.Job), logevent.Str("task", a.Task),
				logevent.Str("worker", a.Worker), logevent.Str("message", a.Message))
		case core.RegionChanged:
			e.logRegion(eff.Effect)
			e.countRegion(eff.Effect)
		case core.ConfigDecided:
			e.logConfig(eff.Outcome)
			if eff.Outcome.Status != config.Accepted {
				continue
			}
			if sh := eff.Outcome.Change.Shutdown; sh != nil {
				go e.nudge(sh.Endpoint)
			}
			select {
			case e.newRevision <- struct{}{}:
			default:
			}
		}
	}
}

func (e *Entry) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			e.step(core.Ticked{Rank: e.peers.rank(e.set.ID), Candidate: e.witnessCandidate()})
			e.pruneUnrecorded()
			e.notify()
			if n%wakeTicks == 0 {
				e.wakePolls(nil, true)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) isDecider() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Decider.Active()
}

// appendBatch appends decisions and waits until they were folded.
func (e *Entry) appendBatch(b *record.Batch) {
	ctx := context.Background()
	offset, err := e.regionWriter.Write(ctx, record.Record{Batch: b})
	if err == nil {
		_ = e.waitFor(ctx, func(s *core.State) bool { return s.Region.Next > offset })
	}
	e.step(core.BatchSettled{Dropped: errors.Is(err, external.ErrNotAppended)})
}
