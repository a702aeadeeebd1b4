package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
)

// Times of the exchange between entries.
const (
	// exchangeEvery is the time between exchanges: two may be lost before peerSilent. With 500 ms an idle entry spent its
	// whole budget of messages on two peers.
	exchangeEvery   = time.Second
	exchangeTimeout = time.Second
	// peerSilent is how long an entry may be silent before it counts as gone.
	peerSilent = 3 * time.Second
	// listEvery is how often a peer is told of all entries. Addresses that no peer names are forgotten after learnedFor.
	listEvery = 4 * time.Second
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
	// sequence is the newest exchange of this run, and taken counts its changes of endpoints that this entry took.
	sequence uint64
	taken    uint64
	// listed is when the peer was last told of all entries.
	listed time.Time
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

// verdict says what became of a message of an entry.
type verdict struct {
	// fresh is true if this run of the entry is new.
	fresh bool
	// late is true if a newer exchange of the run came before.
	late bool
	// gap is true if the message builds on changes that this entry does not have.
	gap bool
	// list is true if the answer should name all entries.
	list bool
	// supersededBy is the higher incarnation that is known; 0 if there is none.
	supersededBy uint64
}

// heard notes a message of an entry. One of an older incarnation or a late one changes nothing. An answer has no sequence.
// After and count tell which changes of endpoints the message holds.
func (t *peerTable) heard(p peer, after, count uint64) verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID[p.id]
	fresh := old == nil || old.incarnation < p.incarnation
	switch {
	case old != nil && old.incarnation > p.incarnation:
		return verdict{supersededBy: old.incarnation}
	case !fresh && p.sequence > 0 && p.sequence <= old.sequence:
		return verdict{late: true}
	}
	p.heard = time.Now()
	if !fresh {
		// A shutdown is never taken back by the same run.
		p.draining = p.draining || old.draining
		p.told, p.taken, p.listed = old.told, old.taken, old.listed
		p.sequence = max(p.sequence, old.sequence)
	}
	v := verdict{fresh: fresh, gap: after > p.taken}
	if !v.gap {
		p.taken = max(p.taken, count)
	}
	// Only requests have a sequence, and only their answers name entries.
	if v.list = p.sequence > 0 && time.Since(p.listed) >= listEvery; v.list {
		p.listed = p.heard
	}
	t.byID[p.id] = &p
	return v
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

// retell notes that a run of a peer misses changes, so that it is told of everything.
func (t *peerTable) retell(id string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byID[id]; p != nil && p.incarnation == incarnation {
		p.told = 0
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
