// Package side implements the side process of an instance: a reverse proxy for the instance's endpoint and an agent for
// its worker. It accepts requests from entries, admits them to the endpoint's slots, and executes the decider's orders.
package side

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/slots"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/telemetry"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// Intervals and bounds of a graceful shutdown.
const (
	// maxNoticeWait bounds the wait for entries to acknowledge that the endpoint is draining. Requests of entries that have
	// not done so by then are refused as not run for as long as requests are in progress.
	maxNoticeWait = 3 * time.Second
	// drainPollInterval is the time between checks for requests in progress.
	drainPollInterval = 10 * time.Millisecond
	// idleCheckInterval is the time between checks for new entries and for the limit of a shutdown order. With 10 ms an idle
	// side process used 2.4% of a core, above the limit of 1.3% for control; with 100 ms it uses 0.6%.
	idleCheckInterval = 100 * time.Millisecond
)

// Side is a running side process.
type Side struct {
	cfg   settings.Side
	log   logevent.Logger
	start time.Time
	// runID identifies this run of the side process in headers.
	runID string

	data *httpserver.Server
	// keepAlivePool reuses connections to the endpoint, for repeatable requests. oneShotPool opens a connection for each
	// request, for all others.
	keepAlivePool *httpserver.Pool
	oneShotPool   *httpserver.Pool
	rpc           *http.Client
	worker        external.Worker

	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	slots       *slots.State
	waiters     map[uint64]chan slots.Refusal
	nextID      uint64
	revision    uint64
	// entries holds the control addresses of the known entries.
	entries    []string
	announcers map[string]*announcer
	endpointUp bool
	// starts deduplicates attempts of non-repeatable requests. startFinished is closed and replaced when one ends.
	starts        *claims.StartTable[*answer]
	startFinished chan struct{}
	// attemptsInFlight holds the ids of the entries' attempts whose response has not been written.
	attemptsInFlight map[string]struct{}
	// resendBudget is the number of resends to the endpoint that are currently allowed.
	resendBudget float64
	// stopping is true once this process shuts down because of a signal.
	stopping bool
	// ordered is true while the configuration orders a shutdown.
	ordered bool
	// abortAt is when the order's limit aborts the requests in progress; zero for never.
	abortAt time.Time
	// orderRevision is the revision of the order that abortAt was computed from.
	orderRevision uint64
	// aborted is true once the limit has aborted the requests in progress.
	aborted bool

	metrics *metrics
	// keys holds the certificates for TLS connections with entries; nil without TLS.
	keys *tlsconf.Keys
	// skipStartDedup disables the deduplication of starts, and skipSentCheck the rule that only unsent requests are refused
	// as not run. Tests set them to show that the history checker reports the violations.
	skipStartDedup, skipSentCheck bool
}

// New binds the listener of a side process. worker may be nil if the instance has none.
func New(cfg settings.Side, worker external.Worker, out io.Writer) (*Side, error) {
	start := time.Now()
	s := &Side{
		cfg: cfg, log: logevent.New(out, cfg.LogLevel, cfg.ID), start: start, worker: worker,
		runID: strconv.FormatInt(start.UnixNano(), 36), incarnation: uint64(start.UnixMilli()), slots: slots.New(cfg.Slots, cfg.Queue),
		waiters: make(map[uint64]chan slots.Refusal), entries: cfg.Entries, announcers: make(map[string]*announcer),
		starts: claims.NewStartTable[*answer](maxStarts, maxStartBytes), startFinished: make(chan struct{}),
		attemptsInFlight: make(map[string]struct{}), resendBudget: maxResendBudget,
		rpc: &http.Client{Transport: control.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute})},
	}
	if err := s.newMetrics(); err != nil {
		return nil, err
	}
	if err := s.loadKeys(); err != nil {
		return nil, err
	}
	s.rpc.Transport = &telemetry.Transport{Base: s.rpc.Transport, Bytes: s.metrics.bytes}
	var err error
	if s.keepAlivePool, err = httpserver.NewPool(endpointDialTimeout, cfg.Slots+maxResendBudget, true); err != nil {
		return nil, err
	}
	if s.oneShotPool, err = httpserver.NewPool(endpointDialTimeout, cfg.Slots+maxResendBudget, false); err != nil {
		return nil, err
	}
	if s.data, err = httpserver.ListenLimited(cfg.Data, cfg.Connections, httpserver.WithTLS(s.keys, tlsconf.Entry, tlsconf.Operator)...); err != nil {
		return nil, fmt.Errorf("side process %s: %w", cfg.ID, err)
	}
	s.routeData()
	return s, nil
}

// DataAddress returns the bound address for requests from entries.
func (s *Side) DataAddress() string { return s.data.Address() }

// Run serves until ctx ends, then shuts down gracefully: new work is refused, and work in progress completes.
func (s *Side) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	run := func(f func(context.Context)) {
		background.Add(1)
		go func() { defer background.Done(); f(work) }()
	}
	serve, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	served := make(chan error, 1)
	grace := time.Duration(0)
	if !rule.Enabled(rule.Finish) {
		grace = time.Millisecond
	}
	go func() { served <- s.data.Serve(serve, grace) }()
	if s.cfg.Service != "" {
		run(s.announceAll)
		run(s.watchEndpoint)
		run(s.enforceShutdownLimit)
	}
	if s.worker != nil {
		run(s.syncLoop)
	}
	if s.keys == nil {
		s.log.Log(logevent.InsecureControl)
	}
	s.log.Log(logevent.Started, logevent.Str("data", s.DataAddress()), logevent.Str("service", s.cfg.Service))
	var err error
	select {
	case <-ctx.Done():
		s.drainForShutdown()
		stopServing()
		err = <-served
	case err = <-served:
	}
	stop()
	background.Wait()
	s.keepAlivePool.Close()
	s.oneShotPool.Close()
	s.log.Log(logevent.Stopped)
	return err
}

// drainForShutdown refuses new work, notifies the entries, and waits until all responses are written and every responsive
// entry has acknowledged. Until then the listener stays open, so that late requests are refused as not run.
func (s *Side) drainForShutdown() {
	s.log.Log(logevent.Stopping)
	s.mu.Lock()
	s.stopping = true
	s.applyDrain()
	s.mu.Unlock()
	s.triggerAnnounce()
	limit := time.Now().Add(maxNoticeWait)
	for (s.inProgress() && rule.Enabled(rule.Finish)) || (!s.allAcknowledged() && time.Now().Before(limit)) {
		time.Sleep(drainPollInterval)
	}
	s.log.Log(logevent.Drained)
}

func (s *Side) inProgress() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.slots.Drained()
}

// enforceShutdownLimit aborts the requests in progress once the limit of the shutdown order has passed.
func (s *Side) enforceShutdownLimit(ctx context.Context) {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		due := !s.aborted && s.slots.Draining() && !s.abortAt.IsZero() && !time.Now().Before(s.abortAt)
		if due {
			s.aborted = true
			s.deliverGrants(s.slots.Flush())
		}
		s.mu.Unlock()
		if due {
			s.log.Log(logevent.DrainLimitReached)
			s.keepAlivePool.AbortAll()
			s.oneShotPool.AbortAll()
		}
	}
}

func (s *Side) isAborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}

// applyDrain starts or cancels the drain of the slots as signal and configuration require. s.mu must be held.
func (s *Side) applyDrain() {
	was, want := s.slots.Draining(), s.stopping || s.ordered
	if was == want {
		return
	}
	s.slots.Drain(want)
	if want {
		s.log.Log(logevent.DrainStarted)
	} else {
		s.log.Log(logevent.DrainCancelled)
	}
}

func (s *Side) now() clock.Now {
	return clock.Now{Mono: time.Since(s.start), WallMs: time.Now().UnixMilli()}
}

func (s *Side) advertised() string {
	if s.cfg.Advertise != "" {
		return s.cfg.Advertise
	}
	return s.DataAddress()
}
