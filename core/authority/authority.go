// Package authority decides whether an entry may act as the decider of its region.
//
// The offset of a claim on the log is its epoch. A decider acts only while it has evidence younger than TTL, counted
// from when it asked: a read of the log that showed no newer claim, or a promise of its witness. A new decider makes
// the old witness release its epoch, so that the old decider's evidence ends within TTL of the release.
package authority

import (
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/record"
)

// Config holds the times of the protocol.
type Config struct {
	// TTL is how long evidence lasts.
	TTL time.Duration
	// Max is how long an old decider may go on by a witness that cannot be asked.
	Max time.Duration
	// Silence is how long a decider may write nothing before another entry claims.
	Silence time.Duration
	// Stagger is added per rank so that entries do not claim together.
	Stagger time.Duration
	// Heartbeat is the longest time a decider writes nothing.
	Heartbeat time.Duration
	// PromiseEvery is the time between questions to the witness.
	PromiseEvery time.Duration
}

// DefaultConfig returns the times of the design.
func DefaultConfig() Config {
	return Config{
		TTL: 3 * time.Second, Max: 75 * time.Minute, Silence: 2 * time.Second, Stagger: 500 * time.Millisecond,
		Heartbeat: 500 * time.Millisecond, PromiseEvery: time.Second,
	}
}

// Effect is what the runner carries out.
type Effect interface{ authorityEffect() }

// AppendClaim asks to append a claim.
type AppendClaim struct{}

// AskPromise asks the witness of the epoch for a promise.
type AskPromise struct {
	Epoch       uint64
	Incarnation uint64
	Address     string
}

// AskRelease asks the witness of an older epoch to release it.
type AskRelease struct {
	Epoch       uint64
	Witness     string
	Incarnation uint64
	Address     string
}

func (AppendClaim) authorityEffect() {}
func (AskPromise) authorityEffect()  {}
func (AskRelease) authorityEffect()  {}

// State is the view of one entry.
type State struct {
	cfg         Config
	self        string
	incarnation uint64

	epoch       uint64
	holder      string
	holderInc   uint64
	claim       record.DeciderClaim
	heard       time.Duration
	logRead     time.Duration
	hasRead     bool
	evidence    time.Duration
	claiming    time.Duration
	nextPromise time.Duration

	// presume is when evidence of all older deciders has ended; valid once known is true.
	presume      time.Duration
	presumeKnown bool
	releasing    *AskRelease
	releaseSent  time.Duration

	// released is the highest epoch this entry released as a witness.
	released uint64
}

// New returns the state of an entry.
func New(cfg Config, self string, incarnation uint64) *State {
	return &State{cfg: cfg, self: self, incarnation: incarnation}
}

// Epoch returns the newest epoch and its holder.
func (s *State) Epoch() (uint64, string) { return s.epoch, s.holder }

// Address returns the control address of the newest decider.
func (s *State) Address() string { return s.claim.Address }

// Claim returns the newest claim.
func (s *State) Claim() record.DeciderClaim { return s.claim }

// Holds reports whether this run of the process wrote the newest claim.
func (s *State) Holds() bool {
	return s.epoch > 0 && s.holder == s.self && s.holderInc == s.incarnation
}

// Valid reports whether this entry may act as decider now.
func (s *State) Valid(now clock.Now) bool {
	return s.Holds() && s.evidence > 0 && now.Mono < s.evidence+s.cfg.TTL
}

// EvidenceAge returns the age of this decider's evidence; false if it holds none.
func (s *State) EvidenceAge(now clock.Now) (time.Duration, bool) {
	return now.Mono - s.evidence, s.Holds() && s.evidence > 0
}

// LogFresh reports whether the newest read of the log was sent less than age ago.
func (s *State) LogFresh(now clock.Now, age time.Duration) bool {
	return s.hasRead && now.Mono < s.logRead+age
}

// PresumeFrom returns when all older deciders have certainly stopped granting leases, and whether that is known.
func (s *State) PresumeFrom() (time.Duration, bool) { return s.presume, s.presumeKnown }

// Heard notes a record of the newest decider.
func (s *State) Heard(now clock.Now, writer string, incarnation uint64) {
	if writer == s.holder && incarnation == s.holderInc {
		s.heard = now.Mono
	}
}

// Claimed folds a claim.
func (s *State) Claimed(now clock.Now, epoch uint64, writer string, incarnation uint64, claim record.DeciderClaim) []Effect {
	old, oldEpoch, hadOld := s.claim, s.epoch, s.epoch > 0
	s.epoch, s.holder, s.holderInc, s.claim = epoch, writer, incarnation, claim
	s.heard, s.claiming, s.evidence = now.Mono, 0, 0
	s.presumeKnown, s.releasing = false, nil
	// A witness that sees a newer epoch never promises an older one again.
	s.released = max(s.released, oldEpoch)
	if !s.Holds() {
		return nil
	}
	switch {
	case !hadOld:
		s.presume, s.presumeKnown = now.Mono, true
	case old.Witness == "" || (old.Witness == s.self && old.WitnessIncarnation == s.incarnation):
		// The old decider can only have evidence from before this claim.
		s.presume, s.presumeKnown = now.Mono+clock.WithMargin(s.cfg.TTL), true
	default:
		s.presume, s.presumeKnown = now.Mono+clock.WithMargin(s.cfg.Max), true
		s.releasing = &AskRelease{oldEpoch, old.Witness, old.WitnessIncarnation, old.WitnessAddress}
		s.releaseSent = now.Mono
		return []Effect{*s.releasing}
	}
	return nil
}

// WitnessChanged folds a change of the witness of the newest epoch.
func (s *State) WitnessChanged(claim record.DeciderClaim) { s.claim = claim }

// Restored sets the newest claim from a snapshot.
func (s *State) Restored(now clock.Now, epoch uint64, writer string, incarnation uint64, claim record.DeciderClaim) {
	s.epoch, s.holder, s.holderInc, s.claim, s.heard = epoch, writer, incarnation, claim, now.Mono
}

// Read notes that a read of the log sent at sentAt showed that all records were folded.
func (s *State) Read(now clock.Now, sentAt time.Duration) {
	if !s.hasRead {
		s.heard = max(s.heard, now.Mono)
	}
	s.hasRead = true
	s.logRead = max(s.logRead, sentAt)
	if s.Holds() {
		s.evidence = max(s.evidence, sentAt)
	}
}

// Promised notes an answer of the witness to a question sent at sentAt.
func (s *State) Promised(epoch uint64, sentAt time.Duration) {
	if s.Holds() && epoch == s.epoch && s.evidence > 0 {
		s.evidence = max(s.evidence, sentAt)
	}
}

// Released notes that the old witness released the epoch.
func (s *State) Released(now clock.Now, epoch uint64) {
	if s.releasing == nil || s.releasing.Epoch != epoch {
		return
	}
	s.releasing = nil
	s.presume = min(s.presume, now.Mono+clock.WithMargin(s.cfg.TTL))
}

// Promise answers a decider as its witness.
func (s *State) Promise(epoch, incarnation uint64) bool {
	return incarnation == s.incarnation && epoch > s.released && epoch >= s.epoch
}

// Release answers a new decider as the witness of an older epoch. A witness that was restarted has forgotten its
// promises and cannot release them.
func (s *State) Release(epoch, incarnation uint64) bool {
	if incarnation != s.incarnation {
		return false
	}
	s.released = max(s.released, epoch)
	return true
}

// Tick returns what is due. Rank orders the entries; the lowest claims first.
func (s *State) Tick(now clock.Now, rank int) []Effect {
	var effects []Effect
	if s.releasing != nil && now.Mono >= s.releaseSent+s.cfg.PromiseEvery {
		s.releaseSent = now.Mono
		effects = append(effects, *s.releasing)
	}
	if s.Holds() {
		if s.claim.Witness != "" && now.Mono >= s.nextPromise {
			s.nextPromise = now.Mono + s.cfg.PromiseEvery
			effects = append(effects, AskPromise{s.epoch, s.claim.WitnessIncarnation, s.claim.WitnessAddress})
		}
		return effects
	}
	silent := now.Mono - s.heard
	wait := s.cfg.Silence + time.Duration(rank)*s.cfg.Stagger
	if s.LogFresh(now, s.cfg.TTL/3) && silent > wait && now.Mono > s.claiming+s.cfg.Silence {
		s.claiming = now.Mono
		effects = append(effects, AppendClaim{})
	}
	return effects
}
