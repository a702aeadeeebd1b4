package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// Times of the exchange between entries.
const (
	exchangeEvery   = 500 * time.Millisecond
	exchangeTimeout = time.Second
	// peerSilent is how long an entry may be silent before it counts as gone.
	peerSilent = 3 * time.Second
	// forgetPeer is how long a silent entry counts as one that may still run: the longest loss of connectivity.
	forgetPeer = time.Hour
)

// peer is another entry of the region.
type peer struct {
	id          string
	incarnation uint64
	zone        string
	address     string
	revision    uint64
	draining    bool
	heard       time.Time
	// told counts the changes of endpoints that the peer was told of.
	told uint64
}

// peerTable holds the other entries that this entry has heard of.
type peerTable struct {
	mu    sync.Mutex
	seeds []string
	// learned holds addresses that peers named, and when they were named last.
	learned map[string]time.Time
	byID    map[string]*peer
}

// learnedFor is how long an address that no peer names any more is tried.
const learnedFor = 10 * time.Second

func newPeerTable(seeds []string) *peerTable {
	return &peerTable{seeds: seeds, learned: make(map[string]time.Time), byID: make(map[string]*peer)}
}

// heard notes a message of an entry and reports whether this run of it is new. An older incarnation is ignored.
func (t *peerTable) heard(p peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID[p.id]
	if old != nil && old.incarnation > p.incarnation {
		return false
	}
	// A shutdown is never taken back by the same run.
	if old := t.byID[p.id]; old != nil && old.incarnation == p.incarnation && old.draining {
		p.draining = true
	}
	p.heard = time.Now()
	fresh := old == nil || old.incarnation < p.incarnation
	if !fresh {
		p.told = old.told
	}
	t.byID[p.id] = &p
	return fresh
}

// toldOf returns how many changes of endpoints the peer at the address was told of, and its incarnation.
func (t *peerTable) toldOf(address string) (told, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byID {
		if p.address == address {
			return p.told, p.incarnation
		}
	}
	return 0, 0
}

// tell notes that a run of a peer was told of so many changes.
func (t *peerTable) tell(id string, incarnation, told uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byID[id]; p != nil && p.incarnation == incarnation {
		p.told = max(p.told, told)
	}
}

// live returns the entries heard of lately, ordered by id.
func (t *peerTable) live() []peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []peer
	for _, p := range t.byID {
		if time.Since(p.heard) < peerSilent {
			list = append(list, *p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// known returns the entries that were heard of within forgetPeer and did not shut down gracefully, ordered by id.
func (t *peerTable) known() []peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []peer
	for _, p := range t.byID {
		silent := time.Since(p.heard)
		if silent < forgetPeer && !(p.draining && silent >= peerSilent) {
			list = append(list, *p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// rank returns how many live entries have a lower id.
func (t *peerTable) rank(self string) int {
	n := 0
	for _, p := range t.live() {
		if p.id < self {
			n++
		}
	}
	return n
}

// witness returns a live entry in another zone if there is one, or any other live entry.
func (t *peerTable) witness(zone string) (peer, bool) {
	list := t.live()
	for _, p := range list {
		if p.zone != zone && !p.draining {
			return p, true
		}
	}
	if len(list) > 0 {
		return list[0], true
	}
	return peer{}, false
}

// targets returns the addresses to exchange with: those of live entries and the seeds.
func (t *peerTable) targets(self string) []string {
	seen := map[string]bool{self: true}
	var list []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	for _, p := range t.live() {
		add(p.address)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.seeds {
		add(s)
	}
	for address, named := range t.learned {
		if time.Since(named) > learnedFor {
			delete(t.learned, address)
			continue
		}
		add(address)
	}
	return list
}

// exchange tells other entries about this one and learns about others.
func (e *Entry) exchange(ctx context.Context) {
	t := time.NewTicker(exchangeEvery)
	defer t.Stop()
	for {
		use := e.useReport()
		for _, address := range e.peers.targets(e.advertised()) {
			go e.exchangeWith(ctx, address, use)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) exchangeWith(ctx context.Context, address string, use []*control.RateUse) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	told, incarnation := e.peers.toldOf(address)
	list, count := e.membersAfter(told)
	r, err := e.client(address).Exchange(ctx, &control.ExchangeRequest{
		Process: e.process(), ControlAddress: e.advertised(), PublicAddress: e.PublicAddress(), Revision: e.revision(),
		Draining: e.draining.Load(), Members: list, Rate: use,
	})
	if err != nil {
		// The open connection may have gone silent; the next exchange uses a fresh one.
		e.rpc.CloseIdleConnections()
		return
	}
	if p := r.Process; p != nil && p.Id != e.set.ID {
		e.heardPeer(peer{id: p.Id, incarnation: p.Incarnation, zone: p.Zone, address: address, revision: r.Revision})
		// A peer that restarted since is told everything with the next exchange.
		if incarnation == 0 || incarnation == p.Incarnation {
			e.peers.tell(p.Id, p.Incarnation, count)
		}
	}
	e.peers.learn(r.Peers, e.set.ID)
}

// heardPeer notes a message of an entry. A new run of an entry is told of the endpoints at once, so that it does not
// have to wait for their announcements.
func (e *Entry) heardPeer(p peer) {
	if e.peers.heard(p) {
		go e.exchangeWith(context.Background(), p.address, nil)
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
			m := &control.Member{
				Process: &control.Process{Id: ep.ID, Incarnation: ep.Incarnation, Zone: ep.Zone, Rack: ep.Rack},
				Service: ep.Service, Address: ep.Address, SlotsFree: uint32(max(0, ep.SlotsFree)),
				QueueLength: uint32(ep.Queue), Draining: ep.Draining, Sequence: ep.Sequence,
				LatencyUs: uint32(ep.Latency.Microseconds()), AgeMs: uint32(max(0, now-ep.Heard).Milliseconds()), Revision: ep.Revision,
			}
			// No slots means that the endpoint does not answer.
			if ep.EndpointUp {
				m.Slots = uint32(ep.Slots)
			}
			list = append(list, m)
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
		e.step(core.Announced{Announcement: members.Announcement{
			ID: m.Process.Id, Incarnation: m.Process.Incarnation, Sequence: m.Sequence, Zone: m.Process.Zone,
			Rack: m.Process.Rack, Service: m.Service, Address: m.Address, Slots: int(m.Slots), SlotsFree: int(m.SlotsFree),
			Queue: int(m.QueueLength), Latency: time.Duration(m.LatencyUs) * time.Microsecond, Draining: m.Draining,
			EndpointUp: m.Slots > 0, Revision: m.Revision, Age: time.Duration(m.AgeMs) * time.Millisecond, Relayed: true,
		}})
	}
}

// learn takes addresses of entries that a peer knows, so that one seed is enough.
func (t *peerTable) learn(peers []*control.Peer, self string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		if p.Process != nil && p.Process.Id != self && p.ControlAddress != "" && len(t.learned) < 64 {
			t.learned[p.ControlAddress] = time.Now()
		}
	}
}

func (e *Entry) process() *control.Process {
	return &control.Process{Id: e.set.ID, Incarnation: e.incarnation, Zone: e.set.Zone}
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
