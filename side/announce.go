package side

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
)

// Intervals and bounds of announcements.
const (
	announceTimeout = 700 * time.Millisecond
	probeInterval   = 250 * time.Millisecond
	probeTimeout    = time.Second
	// maxRetryDelay bounds the backoff between announcements to an unresponsive entry.
	maxRetryDelay = 2 * time.Second
	// entryExpiry is how long an entry that is not in the settings may be unresponsive before it is removed.
	entryExpiry = 2 * time.Minute
	// maxEntries bounds the entries that receive announcements.
	maxEntries = 64
)

// announcer sends announcements of the endpoint to one entry. Each entry has its own, so that an unresponsive entry
// delays no other.
type announcer struct {
	address string
	// configured is true if the entry is in the settings.
	configured bool
	wake       chan struct{}
	// heartbeat is the interval that the entry requested.
	heartbeat time.Duration
	// failures counts consecutive failures. acknowledged is true once the entry accepted an announcement of the current
	// drain state.
	failures     int
	acknowledged bool
	lastSuccess  time.Time
}

// announceAll runs an announcer for each known entry until ctx ends.
func (s *Side) announceAll(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	started := make(map[string]bool)
	s.mu.Lock()
	for _, address := range s.cfg.Entries {
		s.addEntry(address, true)
	}
	s.mu.Unlock()
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		s.mu.Lock()
		for address, a := range s.announcers {
			if !started[address] {
				started[address] = true
				running.Go(func() { s.announceTo(ctx, a) })
			}
		}
		for address := range started {
			if s.announcers[address] == nil {
				delete(started, address)
			}
		}
		s.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// addEntry adds an announcer for the entry. s.mu must be held.
func (s *Side) addEntry(address string, configured bool) {
	if address == "" || s.announcers[address] != nil || len(s.announcers) >= maxEntries {
		return
	}
	if !slices.Contains(s.entries, address) {
		s.entries = append(slices.Clone(s.entries), address)
	}
	s.announcers[address] = &announcer{
		address: address, configured: configured, wake: make(chan struct{}, 1), heartbeat: s.cfg.Heartbeat, lastSuccess: time.Now(),
	}
}

// triggerAnnounce makes all announcers send without waiting for their interval.
func (s *Side) triggerAnnounce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.triggerAnnounceLocked()
}

// allAcknowledged reports whether every responsive entry has accepted an announcement since the last change.
func (s *Side) allAcknowledged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.announcers {
		if !a.acknowledged && a.failures == 0 {
			return false
		}
	}
	return true
}

// announceTo announces to one entry at the interval that the entry requested, and immediately on a change, until ctx
// ends or the entry is removed.
func (s *Side) announceTo(ctx context.Context, a *announcer) {
	for {
		wait, ok := s.announce(ctx, a)
		if !ok {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-a.wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// announce announces once and returns the delay until the next announcement. It returns false once the entry is removed.
func (s *Side) announce(ctx context.Context, a *announcer) (time.Duration, bool) {
	select {
	case <-a.wake:
	default:
	}
	s.mu.Lock()
	s.sequence++
	req := s.announcement()
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	resp, err := control.NewEntryProtobufClient(s.controlURL(a.address), s.rpc).Announce(call, req)
	if err != nil {
		return s.announceFailed(ctx, a, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.failures > 0 {
		s.log.Log(logevent.AnnounceRestored, logevent.Str("entry", a.address))
	}
	a.failures, a.lastSuccess = 0, time.Now()
	if req.Draining == s.slots.Draining() && req.Drained == s.slots.Drained() {
		a.acknowledged = true
	}
	if ms := resp.NextHeartbeatMs; ms > 0 {
		a.heartbeat = time.Duration(ms) * time.Millisecond
	}
	s.applyResponse(resp)
	return a.heartbeat, true
}

// announceFailed records a failure and returns the delay until the retry. The first retry is immediate and on a fresh
// connection, because the open one may be dead; later retries back off exponentially.
func (s *Side) announceFailed(ctx context.Context, a *announcer, err error) (time.Duration, bool) {
	s.rpc.CloseIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	a.failures++
	if a.failures == 1 && ctx.Err() == nil {
		s.log.Log(logevent.AnnounceFailed, logevent.Str("entry", a.address), logevent.Err(err))
	}
	if !a.configured && time.Since(a.lastSuccess) > entryExpiry {
		delete(s.announcers, a.address)
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e string) bool { return e == a.address })
		return 0, false
	}
	if a.failures == 1 {
		return 0, true
	}
	return min(maxRetryDelay, 100*time.Millisecond<<min(a.failures, 5)), true
}

// announcement returns a request that describes the endpoint. s.mu must be held.
func (s *Side) announcement() *control.AnnounceRequest {
	return &control.AnnounceRequest{
		Process:  &control.Process{Id: s.cfg.ID, Incarnation: s.incarnation, Zone: s.cfg.Zone, Rack: s.cfg.Rack},
		Sequence: s.sequence, Service: s.cfg.Service, Address: s.advertised(), Slots: uint32(s.cfg.Slots),
		Connections: uint32(s.cfg.Connections), SlotsFree: uint32(s.slots.Free()), QueueLength: uint32(s.slots.Queued()),
		Draining: s.slots.Draining(), Drained: s.slots.Drained(), Revision: s.revision,
		LatencyUs: uint32(s.slots.ServiceTime().Microseconds()), EndpointUp: s.endpointUp,
	}
}

// applyResponse applies an entry's response. s.mu must be held.
func (s *Side) applyResponse(resp *control.AnnounceResponse) {
	s.metrics.lastAnnounced.Store(time.Now().UnixMilli())
	if resp.SupersededBy >= s.incarnation && resp.SupersededBy > 0 {
		s.log.Log(logevent.Superseded, logevent.Int("incarnation", resp.SupersededBy))
		s.incarnation = resp.SupersededBy + 1
		s.triggerAnnounceLocked()
	}
	for _, p := range resp.Peers {
		s.addEntry(p.ControlAddress, false)
	}
	// A response of an entry that lags behind must not revert a newer order.
	if resp.Revision < s.revision {
		return
	}
	if resp.Revision > s.revision && (len(resp.Contracts) > 0 || (resp.Shutdown != nil && resp.Shutdown.Revision > s.revision)) {
		// A change that concerns this endpoint is confirmed to the entries immediately. Other changes are confirmed with the
		// next heartbeat: no entry waits for them, and an extra announcement for each would exceed the heartbeat budget.
		s.triggerAnnounceLocked()
	}
	s.revision = resp.Revision
	for _, data := range resp.Contracts {
		var c record.Contract
		if err := cbor.Unmarshal(data, &c); err == nil {
			s.slots.SetLimit(c.Concurrency)
		}
	}
	s.applyShutdownOrder(resp.Shutdown)
}

// triggerAnnounceLocked is triggerAnnounce for callers that hold s.mu.
func (s *Side) triggerAnnounceLocked() {
	for _, a := range s.announcers {
		a.acknowledged = false
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// applyShutdownOrder applies the configuration's shutdown order for this endpoint. Cancelling an order also clears its
// limit; a shutdown of the process itself continues. s.mu must be held.
func (s *Side) applyShutdownOrder(o *control.ShutdownOrder) {
	ordered := o != nil && o.Drain
	switch {
	case !ordered:
		s.abortAt, s.aborted = time.Time{}, false
	case o.Revision != s.orderRevision:
		s.abortAt = time.Time{}
		if o.LimitMs > 0 {
			s.abortAt = time.Now().Add(time.Duration(o.LimitMs) * time.Millisecond)
		}
		s.orderRevision = o.Revision
	}
	changed := ordered != s.ordered
	s.ordered = ordered
	s.applyDrain()
	if changed {
		s.triggerAnnounceLocked()
	}
}

// watchEndpoint probes the endpoint's health until ctx ends. Each probe uses a fresh connection, so that a dead
// connection does not make the endpoint appear down.
func (s *Side) watchEndpoint(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		up := s.probe(ctx)
		s.mu.Lock()
		changed := up != s.endpointUp
		s.endpointUp = up
		s.mu.Unlock()
		if changed {
			ev := logevent.EndpointUp
			if !up {
				ev = logevent.EndpointDown
			}
			s.log.Log(ev)
			s.triggerAnnounce()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Side) probe(ctx context.Context) bool {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI(s.cfg.EndpointURL + "/-/health")
	req.Header.Set(httpserver.HeaderAttempt, s.nextAttemptID())
	err := s.oneShotPool.Do(ctx, req, resp, time.Now().Add(probeTimeout))
	return err == nil && resp.StatusCode() == 200
}
