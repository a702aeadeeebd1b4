package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/record"
)

func at(d time.Duration) clock.Now { return clock.Now{Mono: d} }

func claim(witness string, incarnation uint64) record.DeciderClaim {
	return record.DeciderClaim{Address: "a", Witness: witness, WitnessIncarnation: incarnation, WitnessAddress: witness}
}

// acting returns the state of e1 as decider of epoch 10 with witness e2 and evidence from a log read sent at 1 s.
func acting() *State {
	s := New(DefaultConfig(), "e1", 5)
	s.Claimed(at(time.Second), 10, "e1", 5, claim("e2", 7), nil)
	s.ObserveLogRead(at(time.Second), time.Second)
	return s
}

// Guards against a decider that acts without evidence, on promises of the wrong witness, or on promises without limit.
func TestEvidence(t *testing.T) {
	s := acting()
	assert.Assert(t, s.Valid(at(3*time.Second)))
	assert.Assert(t, !s.Valid(at(4*time.Second)))
	s.Promised(10, "e3", 7, 3*time.Second)
	s.Promised(10, "e2", 8, 3*time.Second)
	s.Promised(9, "e2", 7, 3*time.Second)
	assert.Assert(t, !s.Valid(at(4*time.Second)), "promise of another witness, run or epoch")
	s.Promised(10, "e2", 7, 3*time.Second)
	assert.Assert(t, s.Valid(at(5*time.Second)))
	last := time.Second + s.cfg.MaxOnPromises
	s.Promised(10, "e2", 7, last)
	assert.Assert(t, s.Valid(at(last-1)))
	assert.Assert(t, !s.Valid(at(last)), "promises extend authority beyond authority_max")
	s.Claimed(at(6*time.Second), 11, "e3", 1, claim("", 0), nil)
	assert.Assert(t, !s.Valid(at(6*time.Second)), "a newer claim is on record")
}

// Guards against evidence from a witness that was replaced: a new decider that has read the change asks only the new
// witness to release the epoch.
func TestWitnessChange(t *testing.T) {
	s := acting()
	other := claim("e3", 4)
	s.ObserveLogRead(at(7*time.Second), 7*time.Second)
	s.Tick(at(7*time.Second), 0, &other)
	p := s.WitnessProposal(at(7 * time.Second))
	assert.Assert(t, p != nil && p.Witness == "e3")
	assert.Assert(t, s.WitnessProposal(at(7*time.Second)) == nil, "two proposals at once")
	s.Promised(10, "e2", 7, 9*time.Second)
	assert.Assert(t, !s.Valid(at(10*time.Second)), "the old witness counts after the proposal")
	s.WitnessChanged(at(9*time.Second), *p)
	s.Promised(10, "e2", 7, 9*time.Second)
	assert.Assert(t, !s.Valid(at(10*time.Second)), "the old witness counts after the change")
	s.Promised(10, "e3", 4, 9*time.Second)
	assert.Assert(t, s.Valid(at(10*time.Second)))

	s = acting()
	s.ObserveLogRead(at(7*time.Second), 7*time.Second)
	s.Tick(at(7*time.Second), 0, &other)
	assert.Assert(t, s.WitnessProposal(at(7*time.Second)) != nil)
	s.ProposalDropped()
	s.Promised(10, "e2", 7, 9*time.Second)
	assert.Assert(t, s.Valid(at(10*time.Second)), "the old witness counts again when the proposal was dropped")
}

// Guards against a second claim in a row that waits only for the decider of the epoch directly before it.
func TestTwoClaimsInARow(t *testing.T) {
	cfg := DefaultConfig()
	s := New(cfg, "e3", 1)
	older := []record.OlderEpoch{
		{Epoch: 10, Witness: "e2", WitnessIncarnation: 7, WitnessAddress: "e2"},
		{Epoch: 11, Witness: "e1", WitnessIncarnation: 5, WitnessAddress: "e1"},
	}
	effects := s.Claimed(at(time.Second), 12, "e3", 1, claim("e4", 1), older)
	assert.Equal(t, len(effects), 2)
	s.Released(at(2*time.Second), 11)
	assert.Equal(t, s.GrantsEndedAt(), time.Second+clock.WithMargin(cfg.MaxOnPromises))
	s.Released(at(3*time.Second), 10)
	assert.Equal(t, s.GrantsEndedAt(), 3*time.Second+clock.WithMargin(cfg.TTL))
	assert.Assert(t, !s.OlderEpochsEnded(at(4*time.Second)))
	assert.Assert(t, s.OlderEpochsEnded(at(7*time.Second)))
}

// Guards against a witness that promises an epoch it released, or that answers for an earlier run of its process.
func TestWitness(t *testing.T) {
	s := New(DefaultConfig(), "e2", 7)
	assert.Assert(t, s.Promise(10, 7))
	assert.Assert(t, !s.Promise(10, 6) && !s.Release(10, 6), "a restarted witness has lost its promises")
	assert.Assert(t, s.Release(10, 7))
	assert.Assert(t, !s.Promise(10, 7))
	assert.Assert(t, s.Promise(11, 7))
	s.Claimed(at(time.Second), 12, "e3", 1, claim("e2", 7), nil)
	assert.Assert(t, !s.Promise(11, 7), "a newer claim is known")
}

// Guards against a takeover after a graceful shutdown that waits for the heartbeat timeout, and against an entry that
// claims again after it began to shut down.
func TestResign(t *testing.T) {
	s := New(DefaultConfig(), "e3", 1)
	s.Claimed(at(time.Second), 10, "e1", 5, claim("e2", 7), nil)
	s.ObserveLogRead(at(2*time.Second), 2*time.Second)
	assert.Equal(t, len(s.Tick(at(2*time.Second), 0, nil)), 0)
	s.EpochResigned(at(2 * time.Second))
	assert.Equal(t, len(s.Tick(at(2*time.Second+1), 0, nil)), 1)

	s = acting()
	s.Leave()
	assert.Assert(t, !s.Valid(at(2*time.Second)))
	assert.Equal(t, len(s.Tick(at(2*time.Second), 0, nil)), 0)
}

// Guards against older deciders that count as stopped because this entry's own claim was restored from a snapshot.
func TestRestoredOwnClaim(t *testing.T) {
	cfg := DefaultConfig()
	s := New(cfg, "e1", 5)
	s.Restore(at(time.Second), 10, "e1", 5, claim("e2", 7), []record.OlderEpoch{{Epoch: 4, Witness: "e2", WitnessIncarnation: 6}}, false)
	assert.Assert(t, s.Holds() && !s.Valid(at(time.Second)))
	assert.Equal(t, s.GrantsEndedAt(), time.Second+clock.WithMargin(cfg.MaxOnPromises))
}
