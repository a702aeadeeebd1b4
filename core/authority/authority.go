// Package authority decides whether an entry may act as the decider of its region.
//
// The offset of a claim in the log is its epoch. A decider acts only while it has evidence younger than TTL, counted
// from when it sent the question: a read of the log that showed no newer claim, or a promise of its witness. A new
// decider asks the old witness to release its epoch, so that the old decider's evidence expires within TTL of the
// release. Promises extend authority only for a limited time after the newest read of the log, which bounds how long a
// new decider waits for a witness that was lost.
//
// A decider that proposes another witness ignores promises requested after the proposal until the record is applied:
// an entry that has read the record may have asked only the new witness to release the epoch.
package authority

import (
	"slices"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// Config holds the time limits of the protocol.
type Config struct {
	// TTL is how long evidence is valid.
	TTL time.Duration
	// MaxOnPromises is how long a decider may act on promises alone, counted from its newest evidence from the log. A new
	// decider waits as long for an old one whose witness can't be reached.
	MaxOnPromises time.Duration
	// DeciderTimeout is how long a decider may write no record before another entry claims.
	DeciderTimeout time.Duration
	// Stagger is added per rank so that entries do not claim at the same time.
	Stagger time.Duration
	// Heartbeat is the longest time between two records of a decider.
	Heartbeat time.Duration
	// PromiseInterval is the interval between requests to the witness.
	PromiseInterval time.Duration
	// WitnessTimeout is how long a witness may give no promise before another one is proposed.
	WitnessTimeout time.Duration
}

// DefaultConfig returns the default time limits.
func DefaultConfig() Config {
	return Config{
		TTL: 3 * time.Second, MaxOnPromises: 75 * time.Minute, DeciderTimeout: 2 * time.Second, Stagger: 500 * time.Millisecond,
		Heartbeat: 500 * time.Millisecond, PromiseInterval: time.Second, WitnessTimeout: 5 * time.Second,
	}
}

// Effect is an action that the caller carries out.
type Effect interface{ authorityEffect() }

// AppendClaim requests that a claim be appended to the log.
type AppendClaim struct{}

// AskPromise requests a promise from the witness of the epoch.
type AskPromise struct {
	Epoch       uint64
	Witness     string
	Incarnation uint64
	Address     string
}

// AskRelease requests that the witness of an older epoch release it.
type AskRelease struct {
	Epoch       uint64
	Witness     string
	Incarnation uint64
	Address     string
}

func (AppendClaim) authorityEffect() {}
func (AskPromise) authorityEffect()  {}
func (AskRelease) authorityEffect()  {}

// olderEpoch is an older epoch whose decider may still act.
type olderEpoch struct {
	record.OlderEpoch
	// ended is true once it is certain that the authority of the epoch's decider ends by endsAt.
	ended  bool
	endsAt time.Duration
	// askedAt is when its witness was last asked for the release.
	askedAt time.Duration
}

// State is the protocol state of one entry.
type State struct {
	cfg         Config
	self        string
	incarnation uint64
	// incarnations holds the incarnations by which other entries know this run of the process: the one it started with
	// and higher ones that it adopted since. Records carry the first.
	incarnations []uint64

	epoch             uint64
	holder            string
	holderIncarnation uint64
	claim             record.DeciderClaim
	lastRecordAt      time.Duration
	logReadAt         time.Duration
	hasLogRead        bool
	claimSentAt       time.Duration

	// evidenceAt is when the newest evidence was requested, logEvidenceAt when the newest evidence from the log was.
	evidenceAt    time.Duration
	hasEvidence   bool
	logEvidenceAt time.Duration
	nextPromiseAt time.Duration
	// promisedAt is when the newest promise of the current witness was requested, or when the witness took effect.
	promisedAt time.Duration
	// proposedAt is when another witness was proposed; valid while proposalPending.
	proposalPending bool
	proposedAt      time.Duration
	// candidate is the entry to propose as witness; nil for none.
	candidate *record.DeciderClaim

	// claimedAt is when the newest claim was applied, olderEpochs the epochs that it superseded.
	claimedAt   time.Duration
	olderEpochs []olderEpoch
	// resignedAt is when the resignation of the newest epoch was applied; valid while resigned.
	resigned   bool
	resignedAt time.Duration
	// shuttingDown is true once this entry shuts down: it neither acts as decider nor claims again.
	shuttingDown bool

	// releasedEpoch is the highest epoch that this entry released as witness.
	releasedEpoch uint64
}

// New returns the state of an entry.
func New(cfg Config, self string, incarnation uint64) *State {
	return &State{cfg: cfg, self: self, incarnation: incarnation, incarnations: []uint64{incarnation}}
}

// Epoch returns the newest epoch and the entry that claimed it.
func (s *State) Epoch() (uint64, string) { return s.epoch, s.holder }

// Address returns the control address of the newest decider.
func (s *State) Address() string { return s.claim.Address }

// Claim returns the newest claim.
func (s *State) Claim() record.DeciderClaim { return s.claim }

// Holds reports whether this run of the process wrote the newest claim.
func (s *State) Holds() bool {
	return s.epoch > 0 && s.holder == s.self && s.holderIncarnation == s.incarnation
}

// Valid reports whether this entry may act as decider now.
func (s *State) Valid(now clock.Now) bool {
	return s.Holds() && !s.shuttingDown && !s.resigned && s.hasEvidence && now.Mono < s.evidenceAt+s.cfg.TTL &&
		now.Mono < s.logEvidenceAt+s.cfg.MaxOnPromises
}

// EvidenceAge returns the age of this decider's evidence; false if it has none.
func (s *State) EvidenceAge(now clock.Now) (time.Duration, bool) {
	return now.Mono - s.evidenceAt, s.Holds() && s.evidenceAt > 0
}

// LogFresh reports whether the newest read of the log was sent less than age ago.
func (s *State) LogFresh(now clock.Now, age time.Duration) bool {
	return s.hasLogRead && now.Mono < s.logReadAt+age
}

// GrantsEndedAt returns the time from which all older deciders have certainly stopped granting leases.
func (s *State) GrantsEndedAt() time.Duration {
	from := s.claimedAt
	if !rule.Enabled(rule.AuthorityExpiry) {
		return from
	}
	for _, o := range s.olderEpochs {
		ends := s.claimedAt + clock.WithMargin(s.cfg.MaxOnPromises)
		if o.ended {
			ends = min(ends, o.endsAt)
		}
		from = max(from, ends)
	}
	return from
}

// OlderEpochsEnded reports whether the log lists older epochs and all their deciders have certainly stopped.
func (s *State) OlderEpochsEnded(now clock.Now) bool {
	return len(s.olderEpochs) > 0 && now.Mono >= s.GrantsEndedAt()
}

// DropOlderEpochs drops the older epochs after a record stated that they have ended.
func (s *State) DropOlderEpochs() {
	s.claimedAt = s.GrantsEndedAt()
	s.olderEpochs = nil
}

// ObserveRecord updates the time of the newest decider's last record if the record is its own.
func (s *State) ObserveRecord(now clock.Now, writer string, incarnation uint64) {
	if writer != "" && writer == s.holder && incarnation == s.holderIncarnation {
		s.lastRecordAt = now.Mono
	}
}

// Claimed applies a claim. The deciders of the older epochs may still act.
func (s *State) Claimed(now clock.Now, epoch uint64, writer string, incarnation uint64, claim record.DeciderClaim, older []record.OlderEpoch) []Effect {
	s.epoch, s.holder, s.holderIncarnation, s.claim = epoch, writer, incarnation, claim
	s.lastRecordAt, s.claimSentAt, s.hasEvidence = now.Mono, 0, false
	s.proposalPending, s.resigned, s.promisedAt = false, false, now.Mono
	s.claimedAt, s.olderEpochs = now.Mono, nil
	// A witness that has seen a newer epoch never promises an older one again.
	s.releasedEpoch = max(s.releasedEpoch, epoch-1)
	if !s.Holds() {
		return nil
	}
	for _, e := range older {
		o := olderEpoch{OlderEpoch: e, askedAt: now.Mono}
		// Without a witness, or with this entry as its witness, the old decider can get no evidence from now on.
		if !e.Merged && (e.Witness == "" || (e.Witness == s.self && slices.Contains(s.incarnations, e.WitnessIncarnation))) {
			o.ended, o.endsAt = true, now.Mono+clock.WithMargin(s.cfg.TTL)
		}
		s.olderEpochs = append(s.olderEpochs, o)
	}
	return s.askReleases(now, true)
}

// askReleases requests releases from the witnesses of older epochs whose deciders may still act.
func (s *State) askReleases(now clock.Now, first bool) []Effect {
	var effects []Effect
	for i := range s.olderEpochs {
		o := &s.olderEpochs[i]
		if o.ended || o.Merged || (!first && now.Mono < o.askedAt+s.cfg.PromiseInterval) {
			continue
		}
		o.askedAt = now.Mono
		effects = append(effects, AskRelease{o.Epoch, o.Witness, o.WitnessIncarnation, o.WitnessAddress})
	}
	return effects
}

// WitnessChanged applies a change of the newest epoch's witness.
func (s *State) WitnessChanged(now clock.Now, claim record.DeciderClaim) {
	s.claim, s.proposalPending, s.promisedAt = claim, false, now.Mono
}

// EpochResigned applies the resignation of the newest epoch.
func (s *State) EpochResigned(now clock.Now) {
	s.resigned, s.resignedAt = true, now.Mono
}

// Leave permanently stops this entry from acting as decider and from claiming. Call it before a resignation is recorded.
func (s *State) Leave() { s.shuttingDown = true }

// Restore sets the newest claim as it is in a snapshot.
func (s *State) Restore(now clock.Now, epoch uint64, writer string, incarnation uint64, claim record.DeciderClaim, older []record.OlderEpoch, resigned bool) {
	if epoch == 0 {
		return
	}
	if epoch != s.epoch {
		_ = s.Claimed(now, epoch, writer, incarnation, claim, older)
	} else if claim != s.claim {
		s.WitnessChanged(now, claim)
	}
	s.lastRecordAt = now.Mono
	if resigned && !s.resigned {
		s.EpochResigned(now)
	}
}

// ObserveLogRead records that a read of the log, sent at sentAt, showed no record that is not applied.
func (s *State) ObserveLogRead(now clock.Now, sentAt time.Duration) {
	if !s.hasLogRead {
		s.lastRecordAt = max(s.lastRecordAt, now.Mono)
	}
	s.hasLogRead = true
	s.logReadAt = max(s.logReadAt, sentAt)
	if !s.Holds() {
		return
	}
	if !s.hasEvidence {
		s.evidenceAt, s.logEvidenceAt, s.hasEvidence = sentAt, sentAt, true
	}
	s.evidenceAt, s.logEvidenceAt = max(s.evidenceAt, sentAt), max(s.logEvidenceAt, sentAt)
}

// Promised records a promise of a witness that was requested at sentAt.
func (s *State) Promised(epoch uint64, witness string, incarnation uint64, sentAt time.Duration) {
	if !s.Holds() || epoch != s.epoch || !s.hasEvidence || (s.proposalPending && sentAt >= s.proposedAt) {
		return
	}
	if witness != s.claim.Witness || incarnation != s.claim.WitnessIncarnation {
		return
	}
	s.promisedAt = max(s.promisedAt, sentAt)
	s.evidenceAt = max(s.evidenceAt, sentAt)
}

// Released records that the witness of an older epoch released it.
func (s *State) Released(now clock.Now, epoch uint64) {
	for i := range s.olderEpochs {
		if o := &s.olderEpochs[i]; o.Epoch == epoch && !o.ended && !o.Merged {
			o.ended, o.endsAt = true, now.Mono+clock.WithMargin(s.cfg.TTL)
		}
	}
}

// Promise reports whether this entry, as witness, promises the epoch to a decider.
func (s *State) Promise(epoch, incarnation uint64) bool {
	return slices.Contains(s.incarnations, incarnation) && epoch > s.releasedEpoch && epoch >= s.epoch
}

// AddIncarnation records a further incarnation by which other entries know this run. Promises given under the earlier ones
// stay in force.
func (s *State) AddIncarnation(incarnation uint64) {
	s.incarnations = append(s.incarnations, incarnation)
}

// Release releases an older epoch for a new decider and reports whether this entry can do so as its witness. A restarted
// witness has lost its promises and can't release them.
func (s *State) Release(epoch, incarnation uint64) bool {
	if !slices.Contains(s.incarnations, incarnation) {
		return false
	}
	s.releasedEpoch = max(s.releasedEpoch, epoch)
	return true
}

// WitnessProposal returns a claim that names another witness if the current one must be replaced, or nil. Promises
// requested after it don't count until the proposal is applied or dropped.
func (s *State) WitnessProposal(now clock.Now) *record.DeciderClaim {
	c := s.candidate
	if c == nil || s.proposalPending || !s.LogFresh(now, s.cfg.TTL/3) {
		return nil
	}
	if c.Witness == s.claim.Witness && c.WitnessIncarnation == s.claim.WitnessIncarnation {
		return nil
	}
	if s.claim.Witness != "" && now.Mono < s.promisedAt+s.cfg.WitnessTimeout {
		return nil
	}
	s.proposalPending, s.proposedAt = true, now.Mono
	claim := s.claim
	claim.Witness, claim.WitnessIncarnation, claim.WitnessAddress = c.Witness, c.WitnessIncarnation, c.WitnessAddress
	return &claim
}

// ProposalDropped records that the proposal can never take effect.
func (s *State) ProposalDropped() { s.proposalPending = false }

// Tick returns the actions that are due. Rank orders the entries; the lowest claims first. Candidate is the entry to
// propose as witness if one is needed; nil for none.
func (s *State) Tick(now clock.Now, rank int, candidate *record.DeciderClaim) []Effect {
	s.candidate = candidate
	if s.shuttingDown {
		return nil
	}
	if s.Holds() && !s.resigned {
		effects := s.askReleases(now, false)
		if s.claim.Witness != "" && !s.proposalPending && now.Mono >= s.nextPromiseAt {
			s.nextPromiseAt = now.Mono + s.cfg.PromiseInterval
			effects = append(effects, AskPromise{s.epoch, s.claim.Witness, s.claim.WitnessIncarnation, s.claim.WitnessAddress})
		}
		return effects
	}
	claimAt := s.lastRecordAt + s.cfg.DeciderTimeout + time.Duration(rank)*s.cfg.Stagger
	if s.resigned {
		claimAt = s.resignedAt + time.Duration(rank)*s.cfg.Stagger
	}
	if s.LogFresh(now, s.cfg.TTL/3) && now.Mono > claimAt && (s.claimSentAt == 0 || now.Mono > s.claimSentAt+s.cfg.DeciderTimeout) {
		s.claimSentAt = now.Mono
		return []Effect{AppendClaim{}}
	}
	return nil
}
