package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
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
}

// peerTable holds the other entries that this entry has heard of.
type peerTable struct {
	mu    sync.Mutex
	seeds []string
	byID  map[string]*peer
}

func newPeerTable(seeds []string) *peerTable {
	return &peerTable{seeds: seeds, byID: make(map[string]*peer)}
}

// heard notes a message of an entry. An older incarnation is ignored.
func (t *peerTable) heard(p peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.byID[p.id]; old != nil && old.incarnation > p.incarnation {
		return
	}
	// A shutdown is never taken back by the same run.
	if old := t.byID[p.id]; old != nil && old.incarnation == p.incarnation && old.draining {
		p.draining = true
	}
	p.heard = time.Now()
	t.byID[p.id] = &p
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
	seeds := t.seeds
	t.mu.Unlock()
	for _, s := range seeds {
		add(s)
	}
	return list
}

// exchange tells other entries about this one and learns about others.
func (e *Entry) exchange(ctx context.Context) {
	t := time.NewTicker(exchangeEvery)
	defer t.Stop()
	for {
		for _, address := range e.peers.targets(e.advertised()) {
			go e.exchangeWith(ctx, address)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := e.client(address).Exchange(ctx, &control.ExchangeRequest{
		Process: e.process(), ControlAddress: e.advertised(), PublicAddress: e.PublicAddress(), Revision: e.revision(),
		Draining: e.draining.Load(),
	})
	if err != nil {
		return
	}
	if p := r.Process; p != nil && p.Id != e.set.ID {
		e.peers.heard(peer{id: p.Id, incarnation: p.Incarnation, zone: p.Zone, address: address, revision: r.Revision})
	}
	e.peers.learn(r.Peers, e.set.ID)
}

// learn adds addresses of entries that a peer knows, so that one seed is enough.
func (t *peerTable) learn(peers []*control.Peer, self string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		if p.Process == nil || p.Process.Id == self || t.byID[p.Process.Id] != nil || len(t.seeds) > 64 {
			continue
		}
		t.seeds = append(t.seeds, p.ControlAddress)
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
