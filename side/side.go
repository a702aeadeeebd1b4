// Package side runs the side process of an instance: it stands in front of the instance's endpoint and beside its
// worker. It takes requests from entries, shares the endpoint's slots, and carries out what a decider orders.
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

// Times of a graceful shutdown.
const (
	// noticeMax bounds the wait for entries to acknowledge that the endpoint is leaving; entries that do not answer by
	// then are refused as not run for as long as requests are in progress.
	noticeMax = 3 * time.Second
	// drainPoll is the time between looks at what is in progress.
	drainPoll = 10 * time.Millisecond
	// idleCheckEvery is the time between looks of an idle side process at new entries and at the limit of a shutdown order.
	// With 10 ms an idle side process took 2.4% of a core, more than the 1.3% that control may take; now 0.6%.
	idleCheckEvery = 100 * time.Millisecond
)

// Side is a running side process.
type Side struct {
	set   settings.Side
	log   logevent.Logger
	start time.Time
	// run tells runs of this side process apart in headers.
	run string

	data *httpserver.Server
	// endpoint carries repeatable requests on kept connections; once opens one for each of the others.
	endpoint *httpserver.Pool
	once     *httpserver.Pool
	rpc      *http.Client
	worker   external.Worker

	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	slots       *slots.State
	waiters     map[uint64]chan slots.Refusal
	nextID      uint64
	revision    uint64
	// entries holds the control addresses of the entries known.
	entries    []string
	announcers map[string]*announcer
	endpointUp bool
	// starts remembers sendings that must not start twice; startEnded is closed and replaced when one ends.
	starts     *claims.Started[*answer]
	startEnded chan struct{}
	// tries holds the sendings of entries whose answers are being made.
	tries map[string]struct{}
	// resends is the budget of second sendings to the endpoint.
	resends float64
	// stopping is true once this process shuts down by its own signal.
	stopping bool
	// ordered is true while the configuration orders a shutdown.
	ordered bool
	// cutAt is when requests in progress are cut off by the order's limit; zero for never.
	cutAt time.Time
	// orderRevision is the revision of the order that cutAt counts from.
	orderRevision uint64
	// cut is true once requests in progress were cut off.
	cut bool

	metrics *metrics
	// keys are for encrypted connections with entries; nil without TLS.
	keys *tlsconf.Keys
	// ignoreStarts switches off the refusal of second starts, and ignoreSent the rule that only a request that was never
	// sent is refused as not run, for the tests that show that they are needed.
	ignoreStarts, ignoreSent bool
}

// New binds the listener of a side process. worker may be nil if the instance has none.
func New(set settings.Side, worker external.Worker, out io.Writer) (*Side, error) {
	start := time.Now()
	s := &Side{
		set: set, log: logevent.New(out, set.LogLevel, set.ID), start: start, worker: worker,
		run: strconv.FormatInt(start.UnixNano(), 36), incarnation: uint64(start.UnixMilli()), slots: slots.New(set.Slots, set.Queue),
		waiters: make(map[uint64]chan slots.Refusal), entries: set.Entries, announcers: make(map[string]*announcer),
		starts: claims.NewStarted[*answer](maxStarts, maxStartBytes), startEnded: make(chan struct{}),
		tries: make(map[string]struct{}), resends: resendReserve,
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
	if s.endpoint, err = httpserver.NewPool(endpointDial, set.Slots+resendReserve, true); err != nil {
		return nil, err
	}
	if s.once, err = httpserver.NewPool(endpointDial, set.Slots+resendReserve, false); err != nil {
		return nil, err
	}
	if s.data, err = httpserver.ListenLimited(set.Data, set.Connections, httpserver.WithTLS(s.keys, tlsconf.Entry, tlsconf.Operator)...); err != nil {
		return nil, fmt.Errorf("side process %s: %w", set.ID, err)
	}
	s.routeData()
	return s, nil
}

// DataAddress returns the bound address for requests from entries.
func (s *Side) DataAddress() string { return s.data.Address() }

// Run serves until ctx ends, then shuts down gracefully: no new work is taken, work in progress ends.
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
	if !rule.On(rule.Finish) {
		grace = time.Millisecond
	}
	go func() { served <- s.data.Serve(serve, grace) }()
	if s.set.Service != "" {
		run(s.announceAll)
		run(s.watchEndpoint)
		run(s.watchCut)
	}
	if s.worker != nil {
		run(s.syncLoop)
	}
	if s.keys == nil {
		s.log.Log(logevent.InsecureControl)
	}
	s.log.Log(logevent.Started, logevent.Str("data", s.DataAddress()), logevent.Str("service", s.set.Service))
	var err error
	select {
	case <-ctx.Done():
		s.drainSelf()
		stopServing()
		err = <-served
	case err = <-served:
	}
	stop()
	background.Wait()
	s.endpoint.Close()
	s.once.Close()
	s.log.Log(logevent.Stopped)
	return err
}

// drainSelf refuses new work, tells the entries, and waits until all answers were written and every entry that answers
// has been told. Until then the listener stays open, so that late requests are refused as not run.
func (s *Side) drainSelf() {
	s.log.Log(logevent.Stopping)
	s.mu.Lock()
	s.stopping = true
	s.applyDrain()
	s.mu.Unlock()
	s.kickAnnounce()
	limit := time.Now().Add(noticeMax)
	for (s.inProgress() && rule.On(rule.Finish)) || (!s.allTold() && time.Now().Before(limit)) {
		time.Sleep(drainPoll)
	}
	s.log.Log(logevent.Drained)
}

func (s *Side) inProgress() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.slots.Drained()
}

// watchCut cuts off requests in progress once the limit of the shutdown order has passed.
func (s *Side) watchCut(ctx context.Context) {
	t := time.NewTicker(idleCheckEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		due := !s.cut && s.slots.Draining() && !s.cutAt.IsZero() && !time.Now().Before(s.cutAt)
		if due {
			s.cut = true
			s.grant(s.slots.Flush())
		}
		s.mu.Unlock()
		if due {
			s.log.Log(logevent.DrainCut)
			s.endpoint.AbortAll()
			s.once.AbortAll()
		}
	}
}

func (s *Side) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// applyDrain sets the slots to what signal and configuration ask for. The lock is held.
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
	if s.set.Advertise != "" {
		return s.set.Advertise
	}
	return s.DataAddress()
}
