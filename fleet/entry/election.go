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
	// electEvery is the time between looks at the election.
	electEvery = 100 * time.Millisecond
	// smallDelayMs is how much longer an entry without a processor of its own waits than one with a whole core: the
	// larger entries decide.
	smallDelayMs = 400
	// largerFactor is how many times as much of a core another entry must have to go first, largerDelayMs how much longer an
	// entry waits then. After the loss of all instances entries start within 0.3 s of each other, and some boot 0.2 s faster; a
	// decider on a tenth of a core cannot keep up with 65 workers.
	largerFactor  = 1.5
	largerDelayMs = 700
	// firstDelayMs is how much longer an entry without a processor of its own waits when nobody has decided yet and the others
	// are not known: entries start within 0.3 s of each other, and callers come seconds later.
	firstDelayMs = 1500
	// spreadMs spreads the claims of entries of one size; a claim takes 10 ms.
	spreadMs = 150
	// suspectMs is the silence after which the decider is asked whether it decides; it shows signs of life more often.
	suspectMs = 700
	// producer names the decider to the store, which fences by its epochs.
	producer = "decider"
)

// election decides when this entry claims. It judges the decider by its records in the store alone, so a cut between
// entries changes nothing.
type election struct {
	instance string
	// waitMs is the silence of the decider after which this entry claims, handoverMs that after it resigned.
	waitMs, handoverMs int64
	// firstMs is added to handoverMs while no decider is on record.
	firstMs int64

	mu sync.Mutex
	// newest is the newest claim on record; nil before the first one.
	newest *work.Claim
	// signMs is when the last record of a decider was read, or when reading began to work again.
	signMs int64
	// quietMs is when a read last found the end without a record.
	quietMs int64
	// goneEpoch is the epoch of a decider that is known not to decide any more, asked that in which it was asked last.
	goneEpoch uint64
	askedMs   int64
	// nonce is that of this entry's last claim, 0 if it made none.
	nonce uint64
}

func newElection(set settings.Fleet) *election {
	h := fnv.New32a()
	_, _ = h.Write([]byte(set.Instance))
	spread := int64(h.Sum32() % spreadMs)
	small := int64((1 - min(set.Cores, 1)) * smallDelayMs)
	return &election{instance: set.Instance, waitMs: set.Bounds.ClaimAfter.Milliseconds() + small + spread,
		handoverMs: small/4 + spread, firstMs: int64((1 - min(set.Cores, 1)) * firstDelayMs), signMs: clock.BootMs()}
}

// records notes records of a decider and reports whether another entry's claim is new.
func (e *election) records(now int64, claim *work.Claim) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.signMs = now
	if claim == nil || e.newest != nil && claim.Epoch < e.newest.Epoch {
		return false
	}
	seen := (e.newest == nil || e.newest.Epoch != claim.Epoch) && claim.Instance != e.instance
	e.newest = claim
	return seen
}

// quiet notes that a read found the end without a record.
func (e *election) quiet(now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quietMs = now
}

// storeLost notes a failed read. The silence of a decider counts only while the store answers.
func (e *election) storeLost(now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.signMs = now
}

// due reports whether this entry should claim, and with which epoch.
// Larger says whether an entry is known that should decide rather than this one.
func (e *election) due(larger bool) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wait := e.waitMs
	if e.newest == nil || e.newest.Resigned || e.newest.Epoch == e.goneEpoch || e.newest.Instance == e.instance {
		// Nobody decides: there was no decider yet, it made way, it is known to be gone, or it was this process's last run.
		wait = e.handoverMs
	}
	if e.newest == nil {
		wait += e.firstMs
	}
	if larger {
		wait += largerDelayMs
	}
	if e.quietMs == 0 || e.quietMs-e.signMs < wait {
		return 0, false
	}
	if e.newest == nil {
		return 1, true
	}
	return e.newest.Epoch + 1, true
}

// won returns the newest claim on record if it is the last one of this entry.
func (e *election) won() *work.Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest == nil || e.nonce == 0 || e.newest.Nonce != e.nonce || e.newest.Resigned {
		return nil
	}
	return e.newest
}

// suspect returns the newest claim if its decider has been silent for long enough to be asked whether it decides.
func (e *election) suspect(now int64) *work.Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest == nil || e.newest.Instance == e.instance || e.newest.Resigned || e.newest.Epoch == e.goneEpoch {
		return nil
	}
	if now-e.signMs < suspectMs || now-e.askedMs < suspectMs {
		return nil
	}
	e.askedMs = now
	return e.newest
}

// gone notes that the decider of an epoch does not decide any more.
func (e *election) gone(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.goneEpoch = max(e.goneEpoch, epoch)
}

// askDecider asks a silent decider whether it decides. One that was restarted says no, and where no process listens
// there is none. No answer says nothing: it may be cut off from this entry alone.
func (e *Entry) askDecider(ctx context.Context, claim *work.Claim) {
	a, ok := e.relay.peerAt(claim.Instance)
	if !ok {
		return
	}
	reply, err := callPeer(ctx, a.Address, link.PeerCall{}, 0)
	if errors.Is(err, errNoEntry) || err == nil && reply.Deciding != claim.Epoch {
		e.election.gone(claim.Epoch)
	}
}

// firstSeq is the number of the append of a claim. Two claims with one epoch must not have one number, or the store
// takes the second for a repeat of the first and answers both alike.
func firstSeq(c *work.Claim) uint64 { return c.Nonce >> 32 }

// entered forgets the claim with which this entry began to decide, so that it counts once.
func (e *election) entered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nonce = 0
}

// elect claims when the decider is gone, and decides until another entry has claimed.
func (e *Entry) elect(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, electEvery)
		if e.stopping.Load() {
			return
		}
		if claim := e.election.suspect(clock.BootMs()); claim != nil {
			go e.askDecider(ctx, claim)
		}
		if epoch, due := e.election.due(e.relay.larger(e.set.Cores)); due {
			e.claim(ctx, epoch)
		}
		if claim := e.election.won(); claim != nil {
			e.decide(ctx, claim)
		}
	}
}

// claim appends a claim under the condition that everything on record was read.
func (e *Entry) claim(ctx context.Context, epoch uint64) {
	next, loaded := e.sched.position()
	if !loaded {
		return
	}
	claim := &work.Claim{Epoch: epoch, Instance: e.set.Instance, Nonce: rand.Uint64() | 1}
	e.election.mu.Lock()
	e.election.nonce = claim.Nonce
	e.election.mu.Unlock()
	got, err := e.store.Append(ctx, work.Append{Topic: work.TopicSchedule, Producer: producer, Epoch: epoch, Seq: firstSeq(claim),
		Conditional: true, ExpectedEnd: next, Records: []work.Record{{Key: work.KeyClaim, Value: work.Encode(claim)}}})
	if err == nil {
		e.sched.own([]work.Record{{Key: work.KeyClaim, Value: work.Encode(claim)}}, got.End)
		return
	}
	if !errors.Is(err, work.ErrConditionFailed) {
		e.log.Log(logevent.ClaimFailed, logevent.Int("epoch", epoch), logevent.Err(err))
	}
	// Another entry may have claimed, or the answer was lost: the records tell. The silence counts anew.
	e.election.storeLost(clock.BootMs())
}
