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

// Intervals and timeouts of the event loop.
const (
	// tickInterval is the time between ticks and so between batches.
	tickInterval = 50 * time.Millisecond
	// pollScanTicks is the number of ticks between scans of all withheld polls for updates that come with time, such as
	// the expiry of a hold. An applied record answers the polls of the workers that it concerns at once. A scan at
	// every tick cost a fifth more per worker.
	pollScanTicks = 5
	// submitWindow is how long submissions and cancels are collected into one append.
	submitWindow = 20 * time.Millisecond
	// claimWindow is how long claims are collected into one append. It is short because callers wait for it.
	claimWindow = 3 * time.Millisecond
	// controlShutdownTimeout bounds how long the listeners for operators and processes wait for requests in progress at
	// shutdown. The wait for requests of callers is unbounded.
	controlShutdownTimeout = 2 * time.Second
)

// Entry is a running entry instance.
type Entry struct {
	set         settings.Entry
	log         logevent.Logger
	incarnation uint64
	start       time.Time

	// applyMu is held while a record of the stream is applied and while the stream's state is encoded. It is locked
	// before mu.
	applyMu [3]sync.Mutex

	mu    sync.Mutex
	state *core.State
	// changed is closed and replaced whenever a condition that a waiter checks may have changed.
	changed chan struct{}
	// waiters holds the newest withheld poll of each worker.
	waiters map[string]*waiter

	platform     external.Log
	configWriter *stream.Writer
	regionWriter *stream.Writer
	submitWriter *stream.Writer
	claimWriter  *stream.Writer
	// snapshots holds the writer of each stream's snapshots.
	snapshots map[core.Stream]*stream.Writer
	// logReaders holds the paced reader of each stream.
	logReaders map[core.Stream]*pacedReader
	// streamStatuses holds what is known of each stream beyond its applied state; guarded by mu.
	streamStatuses map[core.Stream]*streamStatus

	public   *httpserver.Server
	operator *httpserver.Server
	control  *httpserver.Server
	rpc      *http.Client
	peers    *peerTable
	metrics  *metrics
	// keys are for TLS connections between processes and to operators; nil without TLS.
	keys  *tlsconf.Keys
	links links
	// unrecorded holds answers of claimed requests until they are read back from the log.
	unrecorded answerTable
	// pacer determines the heartbeat interval.
	pacer heartbeatPacer
	// notifyLimiter bounds the traffic of notifications after changes; configChanged signals a change of configuration.
	notifyLimiter *notifyLimiter
	configChanged chan struct{}
	// caughtUpStreams holds the streams that were read to their end, or restored from a peer, since the start.
	caughtUpStreams map[core.Stream]bool

	// peerIncarnation is the incarnation by which other entries know this run; see raiseIncarnation. Records carry
	// incarnation.
	peerIncarnation atomic.Uint64
	// exchangeSeq is the sequence number of the last exchange sent; exchangeNow triggers one at once.
	exchangeSeq atomic.Uint64
	exchangeNow chan struct{}
	// reportedUse is the customers' use of their rate limits at this entry, as last reported.
	reportedUse atomic.Pointer[[]*control.RateUse]

	draining atomic.Bool
	// claimInFlight is true while a claim of the region is being appended.
	claimInFlight atomic.Bool
	nonce         atomic.Uint64
	attemptSeq    atomic.Uint64
	inFlight      atomic.Int64
	ready         atomic.Bool

	// ignoreClaim and ignoreEcho disable safety checks, for the tests that show that these are needed.
	ignoreClaim, ignoreEcho bool
}

// New binds the listeners of an entry. Nothing is served before Run.
func New(set settings.Entry, log external.Log, out io.Writer) (*Entry, error) {
	start := time.Now()
	e := &Entry{
		set: set, log: logevent.New(out, set.LogLevel, set.ID), incarnation: uint64(start.UnixMilli()), start: start,
		caughtUpStreams: make(map[core.Stream]bool), streamStatuses: make(map[core.Stream]*streamStatus), changed: make(chan struct{}),
		waiters: make(map[string]*waiter), platform: log,
		notifyLimiter: newNotifyLimiter(), configChanged: make(chan struct{}, 1), exchangeNow: make(chan struct{}, 1),
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
	// Decisions and submissions have separate writers, so that a batch never waits for the window of submissions.
	e.regionWriter = stream.NewWriter(e.platform, e.regionStream(), named("", 0))
	e.submitWriter = stream.NewWriter(e.platform, e.regionStream(), named("/submit", submitWindow))
	e.claimWriter = stream.NewWriter(e.platform, e.claimStream(), named("", claimWindow))
	e.snapshots, e.logReaders = make(map[core.Stream]*stream.Writer), make(map[core.Stream]*pacedReader)
	for kind, name := range e.streamNames() {
		o := named(e.writerSuffix(kind)+"/snapshot", 0)
		o.Bulk = true
		e.snapshots[kind] = stream.NewWriter(e.platform, name, o)
		e.streamStatuses[kind], e.logReaders[kind] = &streamStatus{}, e.newPacedReader(kind)
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
	if e.control, err = httpserver.Listen(e.set.Control, append(httpserver.WithTLS(e.keys, tlsconf.Entry, tlsconf.Side), minimalHeaders)...); err != nil {
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

// Run serves until ctx ends, then shuts down gracefully: the health check fails first, then the listeners close.
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
	e.startFollowers(run, failed)
	run(e.tickLoop)
	run(e.exchangeLoop)
	run(e.snapshotLoop)
	run(e.recoverFromPeers)
	run(e.watchLinks)
	run(e.notifySidesLoop)
	callers, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	serve, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	publicServed, served := make(chan error, 1), make(chan error, 2)
	go func() { publicServed <- e.public.Serve(callers, 0) }()
	for _, s := range []*httpserver.Server{e.operator, e.control} {
		go func() { served <- s.Serve(serve, controlShutdownTimeout) }()
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
	// Requests of callers may need the other listeners and the log until they complete.
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

// drainDelay is how long the health check fails before listeners close, so that the load balancer stops sending first.
const drainDelay = time.Second

func (e *Entry) drain() {
	e.draining.Store(true)
	e.log.Log(logevent.Stopping)
	e.wakeWaiters()
	e.wakePolls(nil, true)
	e.triggerExchange()
	e.resign()
	time.Sleep(drainDelay)
}

func wallMs() int64 { return time.Now().UnixMilli() }

// now returns the time stamp for an event.
func (e *Entry) now() clock.Now {
	return clock.Now{Mono: time.Since(e.start), WallMs: wallMs()}
}

// step applies an event under the lock and runs its effects after releasing it.
func (e *Entry) step(ev core.Event) []core.Effect {
	e.mu.Lock()
	effects := core.Step(e.state, e.now(), ev)
	e.mu.Unlock()
	e.runEffects(effects)
	return effects
}

// read calls f with the state under the lock.
func (e *Entry) read(f func(s *core.State)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.state)
}

// waitFor blocks until the condition on the state holds.
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

// wakeWaiters wakes the callers of waitFor to check their conditions again.
func (e *Entry) wakeWaiters() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.changed)
	e.changed = make(chan struct{})
}

// runEffects starts the actions that effects ask for. Effects that answer the event are handled by the caller of step.
func (e *Entry) runEffects(effects []core.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case core.AuthorityEffect:
			go e.runAuthorityEffect(eff.Effect)
		case core.Append:
			go e.appendBatch(eff.Batch)
		case core.NotifyPolls:
			e.wakePolls(eff.Workers, eff.All)
		case core.AlertRaised:
			a := eff.Alert
			e.log.Log(logevent.Alert, logevent.Str("code", a.Code), logevent.Str("job", a.Job), logevent.Str("task", a.Task),
				logevent.Str("worker", a.Worker), logevent.Str("message", a.Message))
		case core.RegionChanged:
			e.logRegionEffect(eff.Effect)
			e.countRegionEffect(eff.Effect)
		case core.ConfigResult:
			e.logConfigOutcome(eff.Outcome)
			if eff.Outcome.Status != config.Accepted {
				continue
			}
			if sh := eff.Outcome.Change.Shutdown; sh != nil {
				go e.notifySide(sh.Endpoint)
			}
			select {
			case e.configChanged <- struct{}{}:
			default:
			}
		}
	}
}

func (e *Entry) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			e.step(core.Ticked{Rank: e.peers.rank(e.set.ID), Candidate: e.witnessCandidate()})
			e.pruneUnrecorded()
			e.wakeWaiters()
			if n%pollScanTicks == 0 {
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

// appendBatch appends decisions and waits until they are applied.
func (e *Entry) appendBatch(b *record.Batch) {
	ctx := context.Background()
	offset, err := e.regionWriter.Write(ctx, record.Record{Batch: b})
	if err == nil {
		_ = e.waitFor(ctx, func(s *core.State) bool { return s.Region.Next > offset })
	}
	e.step(core.BatchResolved{Dropped: errors.Is(err, external.ErrNotAppended)})
}
