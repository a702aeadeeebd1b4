package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// electionInterval is the time between election checks.
	electionInterval = 100 * time.Millisecond
	// smallDelayMs is the additional claim delay of an entry with almost no CPU, compared to one with a whole core, so that
	// larger entries become the decider.
	smallDelayMs = 400
	// An entry waits largerDelayMs longer if another entry has more than largerFactor times its cores. After the loss of all
	// instances entries start within 0.3 s of each other, and some boot 0.2 s faster; a decider on a tenth of a core cannot
	// keep up with 65 workers.
	largerFactor  = 1.5
	largerDelayMs = 700
	// firstDelayMs is the additional delay of an entry with almost no CPU before the first claim of all, when the other
	// entries are not known yet. Entries start within 0.3 s of each other, and the first requests come seconds later.
	firstDelayMs = 1500
	// jitterMs is the range of the delay that separates claims of entries of the same size; a claim takes 10 ms.
	jitterMs = 150
	// heldAfterMs is the time after its claim from which a decider counts as one that holds its place. Loading the state takes well
	// under a second.
	heldAfterMs = 5000
	// takeoverDelayMs is the additional delay before the next claim once two deciders in a row have not held their place. It doubles
	// with each further one, maxTakeoverShift times at most: what ends or overloads each decider in turn gets less often to the next.
	takeoverDelayMs  = 1000
	maxTakeoverShift = 3
	// suspectAfterMs is the time without a heartbeat after which the decider is probed; it is longer than heartbeatInterval.
	suspectAfterMs = 700
	// producer is the producer ID of all deciders in the store, which fences them by epoch.
	producer = "decider"
)

// election decides when this entry claims. It relies only on the decider's records in the store, so a network partition
// between entries has no effect on it.
type election struct {
	instance string
	// claimAfterMs is the time without a heartbeat after which this entry claims, handoverMs that after a resignation.
	claimAfterMs, handoverMs int64
	// firstClaimDelayMs is added to handoverMs while there is no claim in the store.
	firstClaimDelayMs int64

	mu sync.Mutex
	// newest is the newest claim read; nil before the first one.
	newest *work.Claim
	// claimedMs is when the newest claim was read, and failedTakeovers counts the deciders in a row before it that did not hold their
	// place.
	claimedMs       int64
	failedTakeovers int
	// lastHeartbeatMs is when the last record of a decider was read, or when reads last failed or the timeout was reset.
	lastHeartbeatMs int64
	// caughtUpMs is when a read last reached the end of the topic without a new record.
	caughtUpMs int64
	// lostEpoch is the newest epoch whose decider is known to have stopped, lastProbeMs when a decider was last probed.
	lostEpoch   uint64
	lastProbeMs int64
	// holdOffUntilMs is the boot time before which this entry does not claim.
	holdOffUntilMs int64
	// nonce is the nonce of this entry's last claim; 0 if there is none or it was consumed.
	nonce uint64
	// claimSentMs is when the last claim of this entry was sent.
	claimSentMs int64
}

func newElection(set settings.Fleet) *election {
	h := fnv.New32a()
	_, _ = h.Write([]byte(set.Instance))
	jitter := int64(h.Sum32() % jitterMs)
	small := int64((1 - min(set.Cores, 1)) * smallDelayMs)
	return &election{instance: set.Instance, claimAfterMs: set.Bounds.ClaimAfter.Milliseconds() + small + jitter,
		handoverMs: small/4 + jitter, firstClaimDelayMs: int64((1 - min(set.Cores, 1)) * firstDelayMs),
		lastHeartbeatMs: clock.BootMs()}
}

// observeRecords records that a decider is alive and reports whether claim is a new claim of another entry.
func (e *election) observeRecords(now int64, claim *work.Claim) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.lastHeartbeatMs
	e.lastHeartbeatMs = now
	if claim == nil || e.newest != nil && claim.Epoch < e.newest.Epoch {
		return false
	}
	newEpoch := e.newest == nil || e.newest.Epoch != claim.Epoch
	if newEpoch {
		e.countTakeover(now, before)
	}
	e.newest = claim
	return newEpoch && claim.Instance != e.instance
}

// countTakeover records that the decider of the newest claim, whose last heartbeat came at a boot time, was replaced. One that has resigned
// has held its place, and so has, for want of its history, the first one that this process reads of.
func (e *election) countTakeover(now, heartbeatMs int64) {
	if e.newest == nil {
		e.claimedMs = now - heldAfterMs
		return
	}
	if e.newest.Resigned || heartbeatMs-e.claimedMs >= heldAfterMs {
		e.failedTakeovers = 0
	} else {
		e.failedTakeovers++
	}
	e.claimedMs = now
}

// takeoverDelay returns the additional delay before a claim.
func (e *election) takeoverDelay() int64 {
	if e.failedTakeovers == 0 || e.newest == nil || e.newest.Resigned || e.lastHeartbeatMs-e.claimedMs >= heldAfterMs {
		return 0
	}
	return takeoverDelayMs << min(e.failedTakeovers-1, maxTakeoverShift)
}

// observeCaughtUp records that a read reached the end of the topic without a new record.
func (e *election) observeCaughtUp(now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.caughtUpMs = now
}

// resetTimeout restarts the timeout, for example after a failed read: it counts only while the store answers.
func (e *election) resetTimeout(now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHeartbeatMs = now
}

// holdOff keeps this entry from claiming until a boot time.
func (e *election) holdOff(untilMs int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdOffUntilMs = untilMs
}

// claimDue reports whether this entry should claim, and with which epoch. The argument larger is true if another entry is
// known that is better suited because of its size.
func (e *election) claimDue(larger bool) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wait := e.claimAfterMs
	if e.newest == nil || e.newest.Resigned || e.newest.Epoch == e.lostEpoch || e.newest.Instance == e.instance {
		// There is no decider: none has claimed yet, it resigned, it has stopped, or it was this process before a restart.
		wait = e.handoverMs
	}
	if e.newest == nil {
		wait += e.firstClaimDelayMs
	}
	if larger {
		wait += largerDelayMs
	}
	wait += e.takeoverDelay()
	if e.caughtUpMs < e.holdOffUntilMs {
		return 0, false
	}
	if e.caughtUpMs == 0 || e.caughtUpMs-e.lastHeartbeatMs < wait {
		return 0, false
	}
	if e.newest == nil {
		return 1, true
	}
	return e.newest.Epoch + 1, true
}

// wonClaim returns the newest claim if it is this entry's last one and unconsumed, else nil.
func (e *election) wonClaim() *work.Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest == nil || e.nonce == 0 || e.newest.Nonce != e.nonce || e.newest.Resigned {
		return nil
	}
	return e.newest
}

// suspectClaim returns the newest claim if its decider has sent no heartbeat for long enough to be probed, else nil.
func (e *election) suspectClaim(now int64) *work.Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest == nil || e.newest.Instance == e.instance || e.newest.Resigned || e.newest.Epoch == e.lostEpoch {
		return nil
	}
	if now-e.lastHeartbeatMs < suspectAfterMs || now-e.lastProbeMs < suspectAfterMs {
		return nil
	}
	e.lastProbeMs = now
	return e.newest
}

// decider returns the newest claim; nil if there is none, or if its decider has resigned or is known to have stopped.
func (e *election) decider() *work.Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest == nil || e.newest.Resigned || e.newest.Epoch == e.lostEpoch {
		return nil
	}
	return e.newest
}

// markLost records that the decider of an epoch has stopped.
func (e *election) markLost(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lostEpoch = max(e.lostEpoch, epoch)
}

// probeDecider asks the entry of a claim whether it is still the decider. A restarted one says no, and a refused
// connection means that its process has ended. A timeout proves nothing: only this entry may be cut off from it.
func (e *Entry) probeDecider(ctx context.Context, claim *work.Claim) {
	a, ok := e.relay.peerAddress(claim.Instance)
	if !ok {
		return
	}
	reply, err := callPeer(ctx, a.Address, link.PeerCall{}, 0)
	if errors.Is(err, errNoEntry) || err == nil && reply.Deciding != claim.Epoch {
		e.election.markLost(claim.Epoch)
	}
}

// claimSeq returns the sequence number of the append of a claim. Two claims with one epoch need different numbers, or the
// store takes the second for a retry of the first and acknowledges both.
func claimSeq(c *work.Claim) uint64 { return c.Nonce >> 32 }

// consumeClaim forgets the claim that has made this entry the decider, so that it is used only once.
func (e *election) consumeClaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nonce = 0
}

// runElection claims when there is no decider, and runs the decider after a successful claim.
func (e *Entry) runElection(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, electionInterval)
		if e.stopping.Load() {
			return
		}
		if claim := e.election.suspectClaim(clock.BootMs()); claim != nil {
			go e.probeDecider(ctx, claim)
		}
		if epoch, due := e.election.claimDue(e.relay.hasLargerEntry(e.set.Cores)); due {
			e.tryClaim(ctx, epoch)
		}
		if claim := e.election.wonClaim(); claim != nil {
			e.runDecider(ctx, claim)
		}
	}
}

// tryClaim appends a claim on the condition that this entry has read all earlier records.
func (e *Entry) tryClaim(ctx context.Context, epoch uint64) {
	next, loaded := e.schedule.position()
	if !loaded {
		return
	}
	claim := &work.Claim{Epoch: epoch, Instance: e.set.Instance, Nonce: rand.Uint64() | 1}
	e.election.mu.Lock()
	e.election.nonce, e.election.claimSentMs = claim.Nonce, clock.BootMs()
	e.election.mu.Unlock()
	got, err := e.store.Append(ctx, work.Append{Topic: work.TopicSchedule, Producer: producer, Epoch: epoch, Seq: claimSeq(claim),
		Conditional: true, ExpectedEnd: next, Records: []work.Record{{Key: work.KeyClaim, Value: work.Encode(claim)}}})
	if err == nil {
		e.schedule.applyOwn([]work.Record{{Key: work.KeyClaim, Value: work.Encode(claim)}}, got.End)
		return
	}
	if !errors.Is(err, work.ErrConditionFailed) {
		e.log.Log(logevent.ClaimFailed, logevent.Int("epoch", epoch), logevent.Err(err))
	}
	// Another entry may have claimed, or the answer was lost; the next read tells. The timeout starts again.
	e.election.resetTimeout(clock.BootMs())
}
