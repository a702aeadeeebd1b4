// Package authority decides whether an entry may act as the decider of its region.
//
// The offset of a claim on the log is its epoch. A decider acts only while it has evidence younger than TTL, counted
// from when it asked: a read of the log that showed no newer claim, or a promise of its witness. A new decider makes
// the old witness release its epoch, so that the old decider's evidence ends within TTL of the release. Promises extend
// authority to at most Max after the newest read of the log, so that a witness that was lost is waited for no longer.
//
// A decider that proposes another witness relies on no promise asked for after that moment until the record is folded:
// a reader of the record may already have made only the new witness release the epoch.
package authority

import (
	"slices"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// Config holds the times of the protocol.
type Config struct {
	// TTL is how long evidence lasts.
	TTL time.Duration
	// Max is how long a decider may go on by promises alone, counted from its newest evidence from the log. A new
	// decider waits as long for an old one whose witness cannot be asked.
	Max time.Duration
	// Silence is how long a decider may write nothing before another entry claims.
	Silence time.Duration
	// Stagger is added per rank so that entries do not claim together.
	Stagger time.Duration
	// Heartbeat is the longest time a decider writes nothing.
	Heartbeat time.Duration
	// PromiseEvery is the time between questions to the witness.
	PromiseEvery time.Duration
	// WitnessSilent is how long a witness may give no promise before another one is named.
	WitnessSilent time.Duration
}

// DefaultConfig returns the times of the design.
func DefaultConfig() Config {
	return Config{
		TTL: 3 * time.Second, Max: 75 * time.Minute, Silence: 2 * time.Second, Stagger: 500 * time.Millisecond,
		Heartbeat: 500 * time.Millisecond, PromiseEvery: time.Second, WitnessSilent: 5 * time.Second,
	}
}

// Effect is what the runner carries out.
type Effect interface{ authorityEffect() }

// AppendClaim asks to append a claim.
type AppendClaim struct{}

// AskPromise asks the witness of the epoch for a promise.
type AskPromise struct {
	Epoch       uint64
	Witness     string
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

// older is an older epoch whose decider may still act.
type older struct {
	record.OlderEpoch
	// done is true once its authority ends at ends for certain.
	done bool
	ends time.Duration
	// asked is when its witness was last asked to release it.
	asked time.Duration
}

// State is the view of one entry.
type State struct {
	cfg         Config
	self        string
	incarnation uint64
	// names holds the incarnations by which other entries know this run: the one it started with, and higher ones that it
	// took since. Records carry the first.
	names []uint64

	epoch     uint64
	holder    string
	holderInc uint64
	claim     record.DeciderClaim
	heard     time.Duration
	logRead   time.Duration
	hasRead   bool
	claiming  time.Duration

	// evidence is when the newest evidence was asked for, logEvidence the newest one from the log.
	evidence    time.Duration
	hasEvidence bool
	logEvidence time.Duration
	nextPromise time.Duration
	// promised is when the newest promise of the current witness was asked for, or when the witness was named.
	promised time.Duration
	// frozenAt is when another witness was proposed; valid while frozen.
	frozen   bool
	frozenAt time.Duration
	// candidate is the entry to name as witness; nil for none.
	candidate *record.DeciderClaim

	// claimed is when the newest claim was folded, and older what it superseded.
	claimed time.Duration
	older   []older
	// resignedAt is when the newest epoch was seen to be resigned; valid while resigned.
	resigned   bool
	resignedAt time.Duration
	// leaving is true once this entry shuts down: it neither acts nor claims again.
	leaving bool

	// released is the highest epoch this entry released as a witness.
	released uint64
}

// New returns the state of an entry.
func New(cfg Config, self string, incarnation uint64) *State {
	return &State{cfg: cfg, self: self, incarnation: incarnation, names: []uint64{incarnation}}
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
	return s.Holds() && !s.leaving && !s.resigned && s.hasEvidence && now.Mono < s.evidence+s.cfg.TTL &&
		now.Mono < s.logEvidence+s.cfg.Max
}

// EvidenceAge returns the age of this decider's evidence; false if it holds none.
func (s *State) EvidenceAge(now clock.Now) (time.Duration, bool) {
	return now.Mono - s.evidence, s.Holds() && s.evidence > 0
}

// LogFresh reports whether the newest read of the log was sent less than age ago.
func (s *State) LogFresh(now clock.Now, age time.Duration) bool {
	return s.hasRead && now.Mono < s.logRead+age
}

// PresumeFrom returns when all older deciders have certainly stopped granting leases.
func (s *State) PresumeFrom() time.Duration {
	from := s.claimed
	if !rule.On(rule.Presume) {
		return from
	}
	for _, o := range s.older {
		ends := s.claimed + clock.WithMargin(s.cfg.Max)
		if o.done {
			ends = min(ends, o.ends)
		}
		from = max(from, ends)
	}
	return from
}

// Settled reports whether older epochs are on record whose deciders have certainly stopped.
func (s *State) Settled(now clock.Now) bool {
	return len(s.older) > 0 && now.Mono >= s.PresumeFrom()
}

// SettledFolded notes that the end of the older epochs is on record.
func (s *State) SettledFolded() {
	s.claimed = s.PresumeFrom()
	s.older = nil
}

// Heard notes a record of the newest decider.
func (s *State) Heard(now clock.Now, writer string, incarnation uint64) {
	if writer != "" && writer == s.holder && incarnation == s.holderInc {
		s.heard = now.Mono
	}
}

// Claimed folds a claim. Before holds the older epochs whose deciders may still act.
func (s *State) Claimed(now clock.Now, epoch uint64, writer string, incarnation uint64, claim record.DeciderClaim, before []record.OlderEpoch) []Effect {
	s.epoch, s.holder, s.holderInc, s.claim = epoch, writer, incarnation, claim
	s.heard, s.claiming, s.hasEvidence = now.Mono, 0, false
	s.frozen, s.resigned, s.promised = false, false, now.Mono
	s.claimed, s.older = now.Mono, nil
	// A witness that sees a newer epoch never promises an older one again.
	s.released = max(s.released, epoch-1)
	if !s.Holds() {
		return nil
	}
	for _, b := range before {
		o := older{OlderEpoch: b, asked: now.Mono}
		// Without a witness, or with this entry as the witness, all evidence of the old decider is from before now.
		if !b.Unasked && (b.Witness == "" || (b.Witness == s.self && slices.Contains(s.names, b.WitnessIncarnation))) {
			o.done, o.ends = true, now.Mono+clock.WithMargin(s.cfg.TTL)
		}
		s.older = append(s.older, o)
	}
	return s.askReleases(now, true)
}

// askReleases asks the witnesses of older epochs that may still be acted in.
func (s *State) askReleases(now clock.Now, first bool) []Effect {
	var effects []Effect
	for i := range s.older {
		o := &s.older[i]
		if o.done || o.Unasked || (!first && now.Mono < o.asked+s.cfg.PromiseEvery) {
			continue
		}
		o.asked = now.Mono
		effects = append(effects, AskRelease{o.Epoch, o.Witness, o.WitnessIncarnation, o.WitnessAddress})
	}
	return effects
}

// WitnessChanged folds a change of the witness of the newest epoch.
func (s *State) WitnessChanged(now clock.Now, claim record.DeciderClaim) {
	s.claim, s.frozen, s.promised = claim, false, now.Mono
}

// EpochResigned folds the resignation of the newest epoch.
func (s *State) EpochResigned(now clock.Now) {
	s.resigned, s.resignedAt = true, now.Mono
}

// Leave ends this entry's work as decider and candidate for good. Call it before a resignation is recorded.
func (s *State) Leave() { s.leaving = true }

// Restored sets the newest claim from a snapshot.
func (s *State) Restored(now clock.Now, epoch uint64, writer string, incarnation uint64, claim record.DeciderClaim, before []record.OlderEpoch, resigned bool) {
	if epoch == 0 {
		return
	}
	if epoch != s.epoch {
		_ = s.Claimed(now, epoch, writer, incarnation, claim, before)
	} else if claim != s.claim {
		s.WitnessChanged(now, claim)
	}
	s.heard = now.Mono
	if resigned && !s.resigned {
		s.EpochResigned(now)
	}
}

// Read notes that a read of the log sent at sentAt showed that all records were folded.
func (s *State) Read(now clock.Now, sentAt time.Duration) {
	if !s.hasRead {
		s.heard = max(s.heard, now.Mono)
	}
	s.hasRead = true
	s.logRead = max(s.logRead, sentAt)
	if !s.Holds() {
		return
	}
	if !s.hasEvidence {
		s.evidence, s.logEvidence, s.hasEvidence = sentAt, sentAt, true
	}
	s.evidence, s.logEvidence = max(s.evidence, sentAt), max(s.logEvidence, sentAt)
}

// Promised notes an answer of a witness to a question sent at sentAt.
func (s *State) Promised(epoch uint64, witness string, incarnation uint64, sentAt time.Duration) {
	if !s.Holds() || epoch != s.epoch || !s.hasEvidence || (s.frozen && sentAt >= s.frozenAt) {
		return
	}
	if witness != s.claim.Witness || incarnation != s.claim.WitnessIncarnation {
		return
	}
	s.promised = max(s.promised, sentAt)
	s.evidence = max(s.evidence, sentAt)
}

// Released notes that the witness of an older epoch released it.
func (s *State) Released(now clock.Now, epoch uint64) {
	for i := range s.older {
		if o := &s.older[i]; o.Epoch == epoch && !o.done && !o.Unasked {
			o.done, o.ends = true, now.Mono+clock.WithMargin(s.cfg.TTL)
		}
	}
}

// Promise answers a decider as its witness.
func (s *State) Promise(epoch, incarnation uint64) bool {
	return slices.Contains(s.names, incarnation) && epoch > s.released && epoch >= s.epoch
}

// Raise notes a further incarnation by which other entries know this run. It remembers what it promised by the earlier
// ones.
func (s *State) Raise(incarnation uint64) { s.names = append(s.names, incarnation) }

// Release answers a new decider as the witness of an older epoch. A witness that was restarted has forgotten its
// promises and cannot release them.
func (s *State) Release(epoch, incarnation uint64) bool {
	if !slices.Contains(s.names, incarnation) {
		return false
	}
	s.released = max(s.released, epoch)
	return true
}

// WitnessProposal returns a claim that names another witness if one is due, or nil. From then on promises do not count
// until the proposal is folded or dropped.
func (s *State) WitnessProposal(now clock.Now) *record.DeciderClaim {
	c := s.candidate
	if c == nil || s.frozen || !s.LogFresh(now, s.cfg.TTL/3) {
		return nil
	}
	if c.Witness == s.claim.Witness && c.WitnessIncarnation == s.claim.WitnessIncarnation {
		return nil
	}
	if s.claim.Witness != "" && now.Mono < s.promised+s.cfg.WitnessSilent {
		return nil
	}
	s.frozen, s.frozenAt = true, now.Mono
	claim := s.claim
	claim.Witness, claim.WitnessIncarnation, claim.WitnessAddress = c.Witness, c.WitnessIncarnation, c.WitnessAddress
	return &claim
}

// ProposalDropped tells that the proposal certainly never takes effect.
func (s *State) ProposalDropped() { s.frozen = false }

// Tick returns what is due. Rank orders the entries; the lowest claims first. Candidate is the entry to name as witness
// if one is needed; nil for none.
func (s *State) Tick(now clock.Now, rank int, candidate *record.DeciderClaim) []Effect {
	s.candidate = candidate
	if s.leaving {
		return nil
	}
	if s.Holds() && !s.resigned {
		effects := s.askReleases(now, false)
		if s.claim.Witness != "" && !s.frozen && now.Mono >= s.nextPromise {
			s.nextPromise = now.Mono + s.cfg.PromiseEvery
			effects = append(effects, AskPromise{s.epoch, s.claim.Witness, s.claim.WitnessIncarnation, s.claim.WitnessAddress})
		}
		return effects
	}
	due := s.heard + s.cfg.Silence + time.Duration(rank)*s.cfg.Stagger
	if s.resigned {
		due = s.resignedAt + time.Duration(rank)*s.cfg.Stagger
	}
	if s.LogFresh(now, s.cfg.TTL/3) && now.Mono > due && (s.claiming == 0 || now.Mono > s.claiming+s.cfg.Silence) {
		s.claiming = now.Mono
		return []Effect{AppendClaim{}}
	}
	return nil
}
