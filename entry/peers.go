package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
)

// Intervals and timeouts of the exchange between entries.
const (
	// exchangeInterval is the time between exchanges: two may be lost before peerTimeout. With 500 ms an idle entry
	// spent its whole message budget on two peers.
	exchangeInterval = time.Second
	exchangeTimeout  = time.Second
	// peerTimeout is the time without a message after which an entry counts as lost.
	peerTimeout = 3 * time.Second
	// peerListInterval is the time between lists of all entries sent to a peer. Addresses that no peer names expire
	// after learnedAddressTTL.
	peerListInterval = 4 * time.Second
	// forgetPeerAfter is how long an unresponsive entry counts as possibly running: the longest tolerated loss of
	// connectivity.
	forgetPeerAfter = time.Hour
)

// peer is another entry of the region.
type peer struct {
	id          string
	incarnation uint64
	zone        string
	address     string
	revision    uint64
	draining    bool
	lastContact time.Time
	// acknowledged is the count of endpoint changes that the peer has acknowledged.
	acknowledged uint64
	// sequence is the newest exchange of this run, and applied the count of its endpoint changes that this entry
	// applied.
	sequence uint64
	applied  uint64
	// peersSentAt is when the peer was last sent the list of all entries.
	peersSentAt time.Time
}

// peerTable holds the other entries from which this entry has received a message.
type peerTable struct {
	mu    sync.Mutex
	seeds []string
	// learnedAddresses holds the addresses that peers named, each with the time at which it was last named.
	learnedAddresses map[string]time.Time
	byID             map[string]*peer
}

// learnedAddressTTL is how long an address is tried after a peer last named it.
const learnedAddressTTL = 10 * time.Second

func newPeerTable(seeds []string) *peerTable {
	return &peerTable{seeds: seeds, learnedAddresses: make(map[string]time.Time), byID: make(map[string]*peer)}
}

// peerUpdate is the result of recording a message of an entry.
type peerUpdate struct {
	// newRun is true if this run of the entry was not known before.
	newRun bool
	// stale is true if a newer exchange of the run was received before.
	stale bool
	// gap is true if the message builds on changes that this entry does not have.
	gap bool
	// sendPeers is true if the answer should list all entries.
	sendPeers bool
	// supersededBy is the higher incarnation that is known; 0 if there is none.
	supersededBy uint64
}

// observe records a message of an entry. A message of an older incarnation or a stale one changes nothing. An answer
// has no sequence. The message holds the changes of endpoints after the count after, up to count.
func (t *peerTable) observe(p peer, after, count uint64) peerUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID[p.id]
	newRun := old == nil || old.incarnation < p.incarnation
	switch {
	case old != nil && old.incarnation > p.incarnation:
		return peerUpdate{supersededBy: old.incarnation}
	case !newRun && p.sequence > 0 && p.sequence <= old.sequence:
		return peerUpdate{stale: true}
	}
	p.lastContact = time.Now()
	if !newRun {
		// A run never cancels its own shutdown.
		p.draining = p.draining || old.draining
		p.acknowledged, p.applied, p.peersSentAt = old.acknowledged, old.applied, old.peersSentAt
		p.sequence = max(p.sequence, old.sequence)
	}
	v := peerUpdate{newRun: newRun, gap: after > p.applied}
	if !v.gap {
		p.applied = max(p.applied, count)
	}
	// Only requests have a sequence, and only their answers list entries.
	if v.sendPeers = p.sequence > 0 && time.Since(p.peersSentAt) >= peerListInterval; v.sendPeers {
		p.peersSentAt = p.lastContact
	}
	t.byID[p.id] = &p
	return v
}

// acknowledgedBy returns the count of endpoint changes that the peer at the address acknowledged, and its incarnation.
func (t *peerTable) acknowledgedBy(address string) (acknowledged, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byID {
		if p.address == address {
			return p.acknowledged, p.incarnation
		}
	}
	return 0, 0
}

// recordAcknowledged records that a run of a peer acknowledged the endpoint changes up to a count.
func (t *peerTable) recordAcknowledged(id string, incarnation, acknowledged uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byID[id]; p != nil && p.incarnation == incarnation {
		p.acknowledged = max(p.acknowledged, acknowledged)
	}
}

// resetAcknowledged records that a run of a peer misses changes, so that the next exchange sends all of them.
func (t *peerTable) resetAcknowledged(id string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byID[id]; p != nil && p.incarnation == incarnation {
		p.acknowledged = 0
	}
}

// live returns the entries that sent a message within peerTimeout, ordered by id.
func (t *peerTable) live() []peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []peer
	for _, p := range t.byID {
		if time.Since(p.lastContact) < peerTimeout {
			list = append(list, *p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// known returns the entries that sent a message within forgetPeerAfter and did not shut down gracefully, ordered by id.
func (t *peerTable) known() []peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []peer
	for _, p := range t.byID {
		sinceContact := time.Since(p.lastContact)
		if sinceContact < forgetPeerAfter && !(p.draining && sinceContact >= peerTimeout) {
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

// targets returns the addresses to exchange with: those of live entries, the seeds and the learned ones.
func (t *peerTable) targets(self string) []string {
	added := map[string]bool{self: true}
	var list []string
	add := func(address string) {
		if address != "" && !added[address] {
			added[address] = true
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
	for address, named := range t.learnedAddresses {
		if time.Since(named) > learnedAddressTTL {
			delete(t.learnedAddresses, address)
			continue
		}
		add(address)
	}
	return list
}

// learnAddresses adds addresses of entries that a peer knows, so that one seed is enough.
func (t *peerTable) learnAddresses(peers []*control.Peer, self string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		if p.Process != nil && p.Process.Id != self && p.ControlAddress != "" && len(t.learnedAddresses) < 64 {
			t.learnedAddresses[p.ControlAddress] = time.Now()
		}
	}
}
