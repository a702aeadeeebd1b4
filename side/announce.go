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

// Times of announcements.
const (
	announceTimeout = 700 * time.Millisecond
	probeEvery      = 250 * time.Millisecond
	probeTimeout    = time.Second
	// retryMax bounds the time between attempts at an entry that does not answer.
	retryMax = 2 * time.Second
	// forgetEntry is how long an entry that was not named in the settings may be silent before it is dropped.
	forgetEntry = 2 * time.Minute
	// maxEntries bounds the entries announced to.
	maxEntries = 64
)

// announcer tells one entry about the endpoint. Entries are told independently, so that a silent one delays no other.
type announcer struct {
	address string
	// named is true if the settings name the entry.
	named bool
	kick  chan struct{}
	// heartbeat is the interval that the entry asked for.
	heartbeat time.Duration
	// failures counts failed attempts in a row; told is true once the entry took an announcement of the current drain.
	failures int
	told     bool
	lastGood time.Time
}

// announceAll runs an announcer for each known entry until ctx ends.
func (s *Side) announceAll(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	started := make(map[string]bool)
	s.mu.Lock()
	for _, address := range s.set.Entries {
		s.addEntry(address, true)
	}
	s.mu.Unlock()
	t := time.NewTicker(idleCheckEvery)
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

// addEntry adds an announcer. The lock is held.
func (s *Side) addEntry(address string, named bool) {
	if address == "" || s.announcers[address] != nil || len(s.announcers) >= maxEntries {
		return
	}
	if !slices.Contains(s.entries, address) {
		s.entries = append(slices.Clone(s.entries), address)
	}
	s.announcers[address] = &announcer{
		address: address, named: named, kick: make(chan struct{}, 1), heartbeat: s.set.Heartbeat, lastGood: time.Now(),
	}
}

// kickAnnounce announces to all entries at once.
func (s *Side) kickAnnounce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kickLocked()
}

// allTold reports whether every entry that answers took an announcement since the last change.
func (s *Side) allTold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.announcers {
		if !a.told && a.failures == 0 {
			return false
		}
	}
	return true
}

// announceTo announces to one entry at the interval that it asks for, at once on a change, and until it is forgotten.
func (s *Side) announceTo(ctx context.Context, a *announcer) {
	for {
		wait, ok := s.announce(ctx, a)
		if !ok {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-a.kick:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// announce announces once and returns the time until the next one. It returns false once the entry is forgotten.
func (s *Side) announce(ctx context.Context, a *announcer) (time.Duration, bool) {
	select {
	case <-a.kick:
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
	a.failures, a.lastGood = 0, time.Now()
	if req.Draining == s.slots.Draining() && req.Drained == s.slots.Drained() {
		a.told = true
	}
	if ms := resp.NextHeartbeatMs; ms > 0 {
		a.heartbeat = time.Duration(ms) * time.Millisecond
	}
	s.take(resp)
	return a.heartbeat, true
}

// announceFailed notes a failure. The first retry is immediate and on a fresh connection, since the open one may have
// gone silent; later ones are spaced out.
func (s *Side) announceFailed(ctx context.Context, a *announcer, err error) (time.Duration, bool) {
	s.rpc.CloseIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	a.failures++
	if a.failures == 1 && ctx.Err() == nil {
		s.log.Log(logevent.AnnounceFailed, logevent.Str("entry", a.address), logevent.Err(err))
	}
	if !a.named && time.Since(a.lastGood) > forgetEntry {
		delete(s.announcers, a.address)
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e string) bool { return e == a.address })
		return 0, false
	}
	if a.failures == 1 {
		return 0, true
	}
	return min(retryMax, 100*time.Millisecond<<min(a.failures, 5)), true
}

// announcement describes the endpoint. The lock is held.
func (s *Side) announcement() *control.AnnounceRequest {
	return &control.AnnounceRequest{
		Process:  &control.Process{Id: s.set.ID, Incarnation: s.incarnation, Zone: s.set.Zone, Rack: s.set.Rack},
		Sequence: s.sequence, Service: s.set.Service, Address: s.advertised(), Slots: uint32(s.set.Slots),
		Connections: uint32(s.set.Connections), SlotsFree: uint32(s.slots.Free()), QueueLength: uint32(s.slots.Queued()),
		Draining: s.slots.Draining(), Drained: s.slots.Drained(), Revision: s.revision,
		LatencyUs: uint32(s.slots.ServiceTime().Microseconds()), EndpointUp: s.endpointUp,
	}
}

// take applies an entry's reply. The lock is held.
func (s *Side) take(resp *control.AnnounceResponse) {
	s.metrics.announced.Store(time.Now().UnixMilli())
	if resp.SupersededBy >= s.incarnation && resp.SupersededBy > 0 {
		s.log.Log(logevent.Superseded, logevent.Int("incarnation", resp.SupersededBy))
		s.incarnation = resp.SupersededBy + 1
		s.kickLocked()
	}
	for _, p := range resp.Peers {
		s.addEntry(p.ControlAddress, false)
	}
	// An answer of an entry that is behind never takes a newer order back.
	if resp.Revision < s.revision {
		return
	}
	if resp.Revision > s.revision && (len(resp.Contracts) > 0 || (resp.Shutdown != nil && resp.Shutdown.Revision > s.revision)) {
		// Entries learn at once that a change which concerns this endpoint is in force here. They do not wait for others, and
		// an announcement for each would take the budget of heartbeats.
		s.kickLocked()
	}
	s.revision = resp.Revision
	for _, data := range resp.Contracts {
		var c record.Contract
		if err := cbor.Unmarshal(data, &c); err == nil {
			s.slots.SetLimit(c.Concurrency)
		}
	}
	s.takeOrder(resp.Shutdown)
}

// kickLocked is kickAnnounce with the lock held.
func (s *Side) kickLocked() {
	for _, a := range s.announcers {
		a.told = false
		select {
		case a.kick <- struct{}{}:
		default:
		}
	}
}

// takeOrder follows the configuration's order for this endpoint. A cancelled order takes its limit with it; the
// process's own shutdown goes on. The lock is held.
func (s *Side) takeOrder(o *control.ShutdownOrder) {
	ordered := o != nil && o.Drain
	switch {
	case !ordered:
		s.cutAt, s.cut = time.Time{}, false
	case o.Revision != s.orderRevision:
		s.cutAt = time.Time{}
		if o.LimitMs > 0 {
			s.cutAt = time.Now().Add(time.Duration(o.LimitMs) * time.Millisecond)
		}
		s.orderRevision = o.Revision
	}
	changed := ordered != s.ordered
	s.ordered = ordered
	s.applyDrain()
	if changed {
		s.kickLocked()
	}
}

// watchEndpoint checks that the endpoint answers. Each check uses a fresh connection, so that a connection which went
// silent does not make the endpoint look down.
func (s *Side) watchEndpoint(ctx context.Context) {
	t := time.NewTicker(probeEvery)
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
			s.kickAnnounce()
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
	req.SetRequestURI(s.set.EndpointURL + "/-/health")
	req.Header.Set(httpserver.HeaderTry, s.nextTry())
	err := s.once.Do(ctx, req, resp, time.Now().Add(probeTimeout))
	return err == nil && resp.StatusCode() == 200
}
