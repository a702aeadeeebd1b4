// Package side runs the side process of an instance: it stands in front of the instance's endpoint and beside its
// worker. It takes requests from entries, shares the endpoint's slots, and carries out what a decider orders.
package side

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/slots"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/telemetry"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// stopGrace bounds how long the listener waits for requests in progress once the endpoint is drained.
const stopGrace = 2 * time.Second

// Side is a running side process.
type Side struct {
	set   settings.Side
	log   logevent.Logger
	start time.Time

	data     *httpserver.Server
	endpoint *client.Client
	rpc      *http.Client
	worker   platform.Worker

	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	slots       *slots.State
	waiters     map[uint64]chan slots.Refusal
	nextID      uint64
	revision    uint64
	heartbeat   time.Duration
	entries     []string
	endpointUp  bool
	// stopping is true once this process shuts down by its own signal.
	stopping bool
	// ordered is true while the configuration orders a shutdown.
	ordered bool
	// cutAt is when requests in progress are cut off by the order's limit; zero for never.
	cutAt time.Time

	announceNow chan struct{}
	metrics     *metrics
	// keys are for encrypted connections with entries; nil without TLS.
	keys *tlsconf.Keys
}

// New binds the listener of a side process. worker may be nil if the instance has none.
func New(set settings.Side, worker platform.Worker, out io.Writer) (*Side, error) {
	start := time.Now()
	s := &Side{
		set: set, log: logevent.New(out, set.LogLevel, set.ID), start: start, worker: worker,
		incarnation: uint64(start.UnixMilli()), slots: slots.New(set.Slots, set.Queue),
		waiters: make(map[uint64]chan slots.Refusal), heartbeat: set.Heartbeat, entries: set.Entries,
		announceNow: make(chan struct{}, 1),
		rpc:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
	}
	if err := s.newMetrics(); err != nil {
		return nil, err
	}
	if err := s.loadKeys(); err != nil {
		return nil, err
	}
	s.rpc.Transport = &telemetry.Transport{Base: s.rpc.Transport, Bytes: s.metrics.bytes}
	var err error
	if s.endpoint, err = httpserver.NewClient(time.Second, set.Slots+1); err != nil {
		return nil, err
	}
	if s.data, err = httpserver.Listen(set.Data, httpserver.WithTLS(s.keys, tlsconf.Entry, tlsconf.Operator)...); err != nil {
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
	go func() { served <- s.data.Serve(serve, stopGrace) }()
	if s.set.Service != "" {
		run(s.announceLoop)
		run(s.watchEndpoint)
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
	case err = <-served:
	}
	stopServing()
	stop()
	background.Wait()
	s.log.Log(logevent.Stopped)
	return err
}

// drainSelf refuses new work, tells the entries and waits until nothing is in progress.
func (s *Side) drainSelf() {
	s.log.Log(logevent.Stopping)
	s.mu.Lock()
	s.stopping = true
	s.applyDrain()
	s.mu.Unlock()
	s.kickAnnounce()
	for {
		s.mu.Lock()
		done := s.slots.Drained()
		s.mu.Unlock()
		if done {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	// Entries that learn of the drain late must still be refused rather than find a closed port.
	s.kickAnnounce()
	time.Sleep(s.interval())
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

func (s *Side) kickAnnounce() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

func (s *Side) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeat
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
