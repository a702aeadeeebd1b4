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

// exchange tells other entries about this one and learns about others.
func (e *Entry) exchange(ctx context.Context) {
	t := time.NewTicker(exchangeEvery)
	defer t.Stop()
	for {
		use := e.useReport()
		e.used.Store(&use)
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

// kickExchange asks for an exchange with all peers at once.
func (e *Entry) kickExchange() {
	select {
	case e.exchangeNow <- struct{}{}:
	default:
	}
}

// exchangeWith tells one peer what changed since the last exchange that it answered.
func (e *Entry) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	told, incarnation := e.peers.toldOf(address)
	list, count := e.membersAfter(told)
	r, err := e.client(address).Exchange(ctx, &control.ExchangeRequest{
		Process: e.process(), ControlAddress: e.advertised(), Revision: e.revision(), Draining: e.draining.Load(),
		Members: list, MembersAfter: told, MembersCount: count, Rate: e.lastUse(), Holds: e.ownHolds(), Sequence: e.exchanges.Add(1),
	})
	if err != nil {
		// The open connection may have gone silent; the next exchange uses a fresh one.
		e.rpc.CloseIdleConnections()
		return
	}
	e.takeHolds(r.Holds, r.Revision)
	e.raise(r.SupersededBy)
	if p := r.Process; p != nil && p.Id != e.set.ID {
		e.heardPeer(peer{id: p.Id, incarnation: p.Incarnation, zone: p.Zone, address: address, revision: r.Revision}, 0, 0)
		switch {
		case r.Gap:
			e.peers.retell(p.Id, p.Incarnation)
		case incarnation == 0 || incarnation == p.Incarnation:
			// A peer that restarted since is told everything with the next exchange.
			e.peers.tell(p.Id, p.Incarnation, count)
		}
	}
	e.peers.learn(r.Peers, e.set.ID)
}

// heardPeer notes a message of an entry. A new run of an entry is told of the endpoints at once, so that it does not
// have to wait for their announcements.
func (e *Entry) heardPeer(p peer, after, count uint64) verdict {
	v := e.peers.heard(p, after, count)
	if v.fresh {
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
	v := e.heardPeer(peer{
		id: p.Id, incarnation: p.Incarnation, zone: p.Zone, address: r.ControlAddress, revision: r.Revision, draining: r.Draining,
		sequence: r.Sequence,
	}, r.MembersAfter, r.MembersCount)
	resp.SupersededBy, resp.Gap = v.supersededBy, v.gap
	if v.list {
		resp.Peers = e.peerList()
	}
	// Endpoints and holds have an order of their own, so that late ones do no harm.
	e.takeMembers(r.Members)
	e.takeHolds(r.Holds, r.Revision)
	if !v.late && v.supersededBy == 0 {
		e.mu.Lock()
		e.state.Route.PeerUsed(e.now(), p.Id, useOf(r.Rate))
		e.mu.Unlock()
	}
	return resp, nil
}

// raise takes an incarnation above one that a peer knows of this entry's id: the clock of the instance was set back before
// the restart, and peers ignore runs that seem older.
func (e *Entry) raise(seen uint64) {
	now := e.peerIncarnation.Load()
	if seen < now || !e.peerIncarnation.CompareAndSwap(now, seen+1) {
		return
	}
	e.log.Log(logevent.Superseded, logevent.Int("incarnation", seen))
	e.step(core.IncarnationRaised{Incarnation: seen + 1})
	e.kickExchange()
}

// lastUse returns the use of this entry's customers as last reported. A report ends the window that it is about, so that
// exchanges in between repeat it.
func (e *Entry) lastUse() []*control.RateUse {
	if use := e.used.Load(); use != nil {
		return *use
	}
	return nil
}

// ownHolds returns the holds of zones that this entry was asked for.
func (e *Entry) ownHolds() []*control.ZoneHold {
	var list []*control.ZoneHold
	e.read(func(s *core.State) {
		for zone, d := range s.Decider.OwnHolds(e.now()) {
			list = append(list, &control.ZoneHold{Zone: zone, RemainingMs: uint32(d.Milliseconds())})
		}
	})
	return list
}

// takeHolds takes holds that a peer was asked for. An entry that started since, or that the hold did not reach, learns of
// it here. The hold of a peer that has not read yet that the zone is back is over.
func (e *Entry) takeHolds(list []*control.ZoneHold, revision uint64) {
	for _, h := range list {
		over := false
		e.read(func(s *core.State) {
			z := s.Config.Zones[h.Zone]
			over = z != nil && !z.Zone.Out && z.Revision > revision
		})
		if over {
			continue
		}
		d := time.Duration(h.RemainingMs) * time.Millisecond
		for _, eff := range e.step(core.ZoneHeld{Zone: h.Zone, Duration: d, Relayed: true}) {
			if _, ok := eff.(core.HoldBegan); ok {
				e.log.Log(logevent.ZoneHeld, logevent.Str("zone", h.Zone), logevent.Int("ms", d.Milliseconds()))
			}
		}
	}
}

// membersAfter returns the endpoints that changed after the count, and the count to ask for next.
func (e *Entry) membersAfter(count uint64) ([]*control.Member, uint64) {
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
				AgeMs: uint32(max(0, now-ep.Heard).Milliseconds()), Revision: ep.Revision,
			})
		}
	})
	return list, count
}

// takeMembers takes the endpoints that a peer passed on.
func (e *Entry) takeMembers(list []*control.Member) {
	for _, m := range list {
		if m.Process == nil || m.Process.Id == "" {
			continue
		}
		// A sender that does not tell whether the endpoint is up names no slots for one that is down.
		up := m.Slots > 0
		if m.EndpointUp != nil {
			up = *m.EndpointUp
		}
		e.step(core.Announced{Announcement: members.Announcement{
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
