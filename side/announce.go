package side

import (
	"context"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// Times of announcements.
const (
	announceTimeout = time.Second
	probeEvery      = 250 * time.Millisecond
	probeTimeout    = time.Second
)

// announceLoop tells every entry about the endpoint, at the interval that the entries ask for and at once on a change.
func (s *Side) announceLoop(ctx context.Context) {
	for {
		s.announceAll(ctx)
		timer := time.NewTimer(s.interval())
		select {
		case <-timer.C:
		case <-s.announceNow:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (s *Side) announceAll(ctx context.Context) {
	s.mu.Lock()
	s.sequence++
	req := s.announcement()
	entries := s.entries
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.announceTo(ctx, address, req)
		}()
	}
	wg.Wait()
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

func (s *Side) announceTo(ctx context.Context, address string, req *control.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	resp, err := control.NewEntryProtobufClient(s.controlURL(address), s.rpc).Announce(ctx, req)
	if err != nil {
		s.log.Log(logevent.AnnounceFailed, logevent.Str("entry", address), logevent.Err(err))
		return
	}
	s.metrics.announced.Store(time.Now().UnixMilli())
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.SupersededBy >= s.incarnation && resp.SupersededBy > 0 {
		s.log.Log(logevent.Superseded, logevent.Int("incarnation", resp.SupersededBy))
		s.incarnation = resp.SupersededBy + 1
	}
	s.learnEntries(resp.Peers)
	// An answer of an entry that is behind never takes a newer order back.
	if resp.Revision < s.revision {
		return
	}
	s.revision = resp.Revision
	s.takeOrder(resp.Shutdown)
}

func (s *Side) takeOrder(o *control.ShutdownOrder) {
	ordered := o != nil && o.Drain
	if ordered && !s.ordered && o.LimitMs > 0 {
		s.cutAt = time.Now().Add(time.Duration(o.LimitMs) * time.Millisecond)
	}
	changed := ordered != s.ordered
	s.ordered = ordered
	s.applyDrain()
	if changed {
		s.kickAnnounce()
	}
}

// learnEntries adds entries that an entry names, so that replaced entries are found without new settings.
func (s *Side) learnEntries(peers []*control.Peer) {
	known := make(map[string]bool)
	for _, a := range s.entries {
		known[a] = true
	}
	for _, p := range peers {
		if p.ControlAddress != "" && !known[p.ControlAddress] && len(s.entries) < 64 {
			s.entries = append(append([]string(nil), s.entries...), p.ControlAddress)
			known[p.ControlAddress] = true
		}
	}
}

// watchEndpoint checks that the endpoint answers.
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
	status, _, err := s.endpoint.GetTimeout(ctx, nil, s.set.EndpointURL+"/-/health", probeTimeout)
	return err == nil && status == 200
}
