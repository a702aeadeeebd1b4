package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// exchangeLoop exchanges state with the other entries periodically and when triggered.
func (e *Entry) exchangeLoop(ctx context.Context) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		use := e.usageReport()
		e.reportedUse.Store(&use)
		for _, address := range e.peers.targets(e.advertised()) {
			go e.exchangeWith(ctx, address)
		}
		select {
		case <-t.C:
		case <-e.exchangeNow:
		case <-ctx.Done():
			return
		}
	}
}

// triggerExchange starts an exchange with all peers at once.
func (e *Entry) triggerExchange() {
	select {
	case e.exchangeNow <- struct{}{}:
	default:
	}
}

// exchangeWith sends one peer what changed since the last exchange that it acknowledged.
func (e *Entry) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	acked, incarnation := e.peers.acknowledgedBy(address)
	list, count := e.changedMembers(acked)
	r, err := e.client(address).Exchange(ctx, &control.ExchangeRequest{
		Process: e.process(), ControlAddress: e.advertised(), Revision: e.revision(), Draining: e.draining.Load(),
		Members: list, MembersAfter: acked, MembersCount: count, Rate: e.lastReportedUse(),
		Holds: e.ownHolds(), Sequence: e.exchangeSeq.Add(1),
	})
	if err != nil {
		// The open connection may be dead; the next exchange uses a new one.
		e.rpc.CloseIdleConnections()
		return
	}
	e.applyHolds(r.Holds, r.Revision)
	e.raiseIncarnation(r.SupersededBy)
	if p := r.Process; p != nil && p.Id != e.set.ID {
		e.observePeer(peer{id: p.Id, incarnation: p.Incarnation, zone: p.Zone, address: address, revision: r.Revision}, 0, 0)
		switch {
		case r.Gap:
			e.peers.resetAcknowledged(p.Id, p.Incarnation)
		case incarnation == 0 || incarnation == p.Incarnation:
			// A peer that restarted since is sent everything with the next exchange.
			e.peers.recordAcknowledged(p.Id, p.Incarnation, count)
		}
	}
	e.peers.learnAddresses(r.Peers, e.set.ID)
}

// observePeer records a message of an entry. A new run of an entry is sent the endpoints at once, so that it does not
// have to wait for their announcements.
func (e *Entry) observePeer(p peer, after, count uint64) peerUpdate {
	v := e.peers.observe(p, after, count)
	if v.newRun {
		go e.exchangeWith(context.Background(), p.address)
	}
	return v
}

// Exchange implements control.Entry.
func (s *controlServer) Exchange(_ context.Context, r *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	e := s.e
	resp := &control.ExchangeResponse{Process: e.process(), Revision: e.revision(), Holds: e.ownHolds()}
	p := r.Process
	if p == nil || p.Id == e.set.ID {
		return resp, nil
	}
	v := e.observePeer(peer{
		id: p.Id, incarnation: p.Incarnation, zone: p.Zone, address: r.ControlAddress, revision: r.Revision, draining: r.Draining,
		sequence: r.Sequence,
	}, r.MembersAfter, r.MembersCount)
	resp.SupersededBy, resp.Gap = v.supersededBy, v.gap
	if v.sendPeers {
		resp.Peers = e.peerList()
	}
	// Endpoints and holds carry their own ordering, so that applying stale ones is harmless.
	e.applyMembers(r.Members)
	e.applyHolds(r.Holds, r.Revision)
	if !v.stale && v.supersededBy == 0 {
		e.mu.Lock()
		e.state.Route.SetPeerUse(e.now(), p.Id, usageByCustomer(r.Rate))
		e.mu.Unlock()
	}
	return resp, nil
}

// raiseIncarnation adopts an incarnation above one that a peer knows of this entry's id. This happens if the clock of
// the instance was set back before the restart: peers ignore runs that appear older.
func (e *Entry) raiseIncarnation(known uint64) {
	current := e.peerIncarnation.Load()
	if known < current || !e.peerIncarnation.CompareAndSwap(current, known+1) {
		return
	}
	e.log.Log(logevent.Superseded, logevent.Int("incarnation", known))
	e.step(core.IncarnationRaised{Incarnation: known + 1})
	e.triggerExchange()
}

// lastReportedUse returns the use of this entry's customers as last reported. A report closes its measurement window,
// so exchanges in between repeat the last one.
func (e *Entry) lastReportedUse() []*control.RateUse {
	if use := e.reportedUse.Load(); use != nil {
		return *use
	}
	return nil
}

// ownHolds returns the zone holds that were requested at this entry.
func (e *Entry) ownHolds() []*control.ZoneHold {
	var list []*control.ZoneHold
	e.read(func(s *core.State) {
		for zone, d := range s.Decider.LocalHolds(e.now()) {
			list = append(list, &control.ZoneHold{Zone: zone, RemainingMs: uint32(d.Milliseconds())})
		}
	})
	return list
}

// applyHolds applies holds that were requested at a peer. An entry that started since, or that the request did not
// reach, receives them here. A hold is ignored if its sender has not yet read that the zone is back in service.
func (e *Entry) applyHolds(list []*control.ZoneHold, revision uint64) {
	for _, h := range list {
		d := time.Duration(h.RemainingMs) * time.Millisecond
		for _, eff := range e.step(core.ZoneHoldRequested{Zone: h.Zone, Duration: d, Relayed: true, Revision: &revision}) {
			if _, ok := eff.(core.HoldBegan); ok {
				e.log.Log(logevent.ZoneHeld, logevent.Str("zone", h.Zone), logevent.Int("ms", d.Milliseconds()))
			}
		}
	}
}

// changedMembers returns the endpoints that changed after the count, and the count to ask for next.
func (e *Entry) changedMembers(count uint64) ([]*control.Member, uint64) {
	var list []*control.Member
	now := e.now().Mono
	e.read(func(s *core.State) {
		var changed []*members.Endpoint
		changed, count = s.Members.ChangedAfter(count)
		for _, ep := range changed {
			list = append(list, &control.Member{
				Process: &control.Process{Id: ep.ID, Incarnation: ep.Incarnation, Zone: ep.Zone, Rack: ep.Rack},
				Service: ep.Service, Address: ep.Address, Slots: uint32(ep.Slots), SlotsFree: uint32(max(0, ep.SlotsFree)),
				QueueLength: uint32(ep.Queue), Draining: ep.Draining, Drained: ep.Drained, EndpointUp: proto.Bool(ep.EndpointUp),
				Sequence: ep.Sequence, LatencyUs: uint32(ep.Latency.Microseconds()),
				AgeMs: uint32(max(0, now-ep.LastHeartbeat).Milliseconds()), Revision: ep.Revision,
			})
		}
	})
	return list, count
}

// applyMembers applies the endpoints that a peer relayed.
func (e *Entry) applyMembers(list []*control.Member) {
	for _, m := range list {
		if m.Process == nil || m.Process.Id == "" {
			continue
		}
		// A sender of an earlier version has no EndpointUp field and reports zero slots for an endpoint that is down.
		up := m.Slots > 0
		if m.EndpointUp != nil {
			up = *m.EndpointUp
		}
		e.step(core.AnnouncementReceived{Announcement: members.Announcement{
			ID: m.Process.Id, Incarnation: m.Process.Incarnation, Sequence: m.Sequence, Zone: m.Process.Zone,
			Rack: m.Process.Rack, Service: m.Service, Address: m.Address, Slots: int(m.Slots), SlotsFree: int(m.SlotsFree),
			Queue: int(m.QueueLength), Latency: time.Duration(m.LatencyUs) * time.Microsecond, Draining: m.Draining,
			Drained: m.Drained, EndpointUp: up, Revision: m.Revision, Age: time.Duration(m.AgeMs) * time.Millisecond, Relayed: true,
		}})
	}
}

func (e *Entry) process() *control.Process {
	return &control.Process{Id: e.set.ID, Incarnation: e.peerIncarnation.Load(), Zone: e.set.Zone}
}

func (e *Entry) peerList() []*control.Peer {
	list := []*control.Peer{{Process: e.process(), ControlAddress: e.advertised()}}
	for _, p := range e.peers.live() {
		list = append(list, &control.Peer{
			Process:        &control.Process{Id: p.id, Incarnation: p.incarnation, Zone: p.zone},
			ControlAddress: p.address,
		})
	}
	return list
}
