// Package claims folds stream claims.<region>: claims of requests that may run at most once, and their kept answers.
//
// A request runs only after its claim was read back as the first one of its key. Log order therefore picks one runner
// whichever entries the caller tried.
package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/record"
)

// Retention.
const (
	// AnswerKept is how long the whole answer is kept for repeats.
	AnswerKept = time.Hour
	// KeyKept is how long a key is remembered; a repeat after AnswerKept gets a definite "expired, not run again".
	KeyKept = 24 * time.Hour
)

// Key identifies a request that may run at most once.
type Key struct {
	Customer string
	Key      string
}

// Claim is a claimed request and its answer.
type Claim struct {
	Customer    string                 `cbor:"1,keyasint" json:"customer"`
	Key         string                 `cbor:"2,keyasint" json:"key"`
	Nonce       uint64                 `cbor:"3,keyasint" json:"nonce"`
	Writer      string                 `cbor:"4,keyasint" json:"entry"`
	Incarnation uint64                 `cbor:"5,keyasint" json:"incarnation"`
	Digest      uint64                 `cbor:"6,keyasint" json:"-"`
	State       lifecycle.RequestState `cbor:"7,keyasint" json:"state"`
	Status      int                    `cbor:"8,keyasint,omitempty" json:"status,omitempty"`
	ContentType string                 `cbor:"9,keyasint,omitempty" json:"content_type,omitempty"`
	Body        []byte                 `cbor:"10,keyasint,omitempty" json:"body,omitempty"`
	Offset      uint64                 `cbor:"11,keyasint" json:"offset"`
	AtMs        int64                  `cbor:"12,keyasint" json:"at_ms"`
	// TooLarge is true when the answer was too large to keep.
	TooLarge bool `cbor:"13,keyasint,omitempty" json:"too_large,omitempty"`
}

// Verdict is the fate of one claim record.
type Verdict struct {
	// Claim is the claim in force for the key.
	Claim *Claim
	// Nonce is the nonce of the claim that was folded.
	Nonce uint64
	// Writer is the entry that wrote it.
	Writer string
	// Won is true when it is the claim in force.
	Won bool
}

// State is the stream at one offset.
type State struct {
	// Next is the first offset not folded.
	Next uint64 `cbor:"1,keyasint"`
	// NewestMs is the highest writer clock seen. Expiry is measured against it, so that every reader expires alike.
	NewestMs int64 `cbor:"2,keyasint"`
	// Order holds the claims whose answers are kept, in the order of their offsets.
	Order []*Claim `cbor:"3,keyasint"`
	// Writers drops repeated records.
	Writers record.Sequences `cbor:"4,keyasint"`
	// Old holds the keys whose answers were dropped, in the order of their offsets.
	Old []OldKey `cbor:"5,keyasint,omitempty"`

	byKey map[Key]*Claim
	// old finds a key of Old by its hash: the index of the key plus forgotten.
	old map[uint64]uint64
	// forgotten counts the keys removed from the front of Old, so that indexes need no shift.
	forgotten uint64
	uses      map[uint64]*use
	total     int64
}

// OldKey remembers a key after its answer was dropped. Keys are kept as hashes, because a day of them is many times an
// hour of claims: two keys that share a 64-bit hash would make the later one read "expired, not run again".
type OldKey struct {
	// Hash is the xxhash of customer and key.
	Hash uint64 `cbor:"1,keyasint"`
	// Digest is the digest of the request.
	Digest uint64 `cbor:"2,keyasint"`
	// Offset and AtMs are those of the claim.
	Offset uint64 `cbor:"3,keyasint"`
	AtMs   int64  `cbor:"4,keyasint"`
	// Owner is the xxhash of the customer; 0 in snapshots written before it was kept.
	Owner uint64 `cbor:"5,keyasint,omitempty"`
}

// New returns an empty state.
func New() *State {
	s := &State{Next: 1, Writers: make(record.Sequences)}
	s.Reindex()
	return s
}

// Reindex rebuilds the indexes that a snapshot does not hold.
func (s *State) Reindex() {
	s.byKey = make(map[Key]*Claim, len(s.Order))
	for _, c := range s.Order {
		s.byKey[Key{c.Customer, c.Key}] = c
	}
	s.old, s.forgotten = make(map[uint64]uint64, len(s.Old)), 0
	for i, k := range s.Old {
		s.old[k.Hash] = uint64(i)
	}
	s.recount()
}

func (k Key) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(k.Customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.Key)
	return d.Sum64()
}

// Fold applies the record at offset and returns the verdicts on its claims.
func (s *State) Fold(offset uint64, rec *record.Record) []Verdict {
	if offset < s.Next {
		return nil
	}
	s.Next = offset + 1
	if !s.Writers.Accept(rec) {
		return nil
	}
	s.NewestMs = max(s.NewestMs, rec.AtMs)
	s.expire()
	var verdicts []Verdict
	for _, rc := range rec.RequestClaims {
		verdicts = append(verdicts, s.claim(offset, rec, rc))
	}
	for _, a := range rec.RequestAnswers {
		s.answer(rec, a)
	}
	return verdicts
}

func (s *State) claim(offset uint64, rec *record.Record, rc record.RequestClaim) Verdict {
	key := Key{rc.Customer, rc.Key}
	if c, ok := s.Lookup(rc.Customer, rc.Key); ok {
		return Verdict{c, rc.Nonce, rec.Writer, false}
	}
	c := &Claim{
		Customer: rc.Customer, Key: rc.Key, Nonce: rc.Nonce, Writer: rec.Writer, Incarnation: rec.Incarnation,
		Digest: rc.Digest, State: lifecycle.RequestClaimed, Offset: offset, AtMs: rec.AtMs,
	}
	s.byKey[key] = c
	s.Order = append(s.Order, c)
	s.charge(xxhash.Sum64String(c.Customer), 1, c.cost())
	return Verdict{c, rc.Nonce, rec.Writer, true}
}

func (s *State) answer(rec *record.Record, a record.RequestAnswer) {
	c := s.byKey[Key{a.Customer, a.Key}]
	if c == nil || c.Nonce != a.Nonce || c.Writer != rec.Writer || c.Incarnation != rec.Incarnation {
		return
	}
	trigger := lifecycle.AnswerRequest
	switch {
	case a.NotRun:
		trigger = lifecycle.RefuseRequest
	case a.Unknown:
		trigger = lifecycle.LoseRequest
	}
	if lifecycle.Request.Fire(&c.State, trigger) != nil {
		return
	}
	c.Status, c.ContentType, c.Body, c.TooLarge = a.Status, a.ContentType, a.Body, a.TooLarge
	s.charge(xxhash.Sum64String(c.Customer), 0, int64(len(c.Body)))
}

// expire drops answers after AnswerKept and keys after KeyKept.
func (s *State) expire() {
	dropped := 0
	for dropped < len(s.Order) && s.Order[dropped].AtMs+AnswerKept.Milliseconds() < s.NewestMs {
		s.dropAnswer(s.Order[dropped])
		s.Order[dropped] = nil
		dropped++
	}
	s.Order = s.Order[dropped:]
	forgotten := 0
	for forgotten < len(s.Old) && s.Old[forgotten].AtMs+KeyKept.Milliseconds() < s.NewestMs {
		k := s.Old[forgotten]
		// A later key with the same hash has taken the entry over.
		if s.old[k.Hash] == s.forgotten+uint64(forgotten) {
			delete(s.old, k.Hash)
		}
		s.charge(k.Owner, -1, -oldKeyCost)
		forgotten++
	}
	s.Old = s.Old[forgotten:]
	s.forgotten += uint64(forgotten)
}

// dropAnswer keeps only the hash of a claim's key.
func (s *State) dropAnswer(c *Claim) {
	key := Key{c.Customer, c.Key}
	delete(s.byKey, key)
	k := OldKey{key.hash(), c.Digest, c.Offset, c.AtMs, xxhash.Sum64String(c.Customer)}
	s.old[k.Hash] = s.forgotten + uint64(len(s.Old))
	s.Old = append(s.Old, k)
	s.charge(k.Owner, 0, oldKeyCost-c.cost())
}

// Lookup returns the claim in force for the key. A key whose answer was dropped gives a claim in state expired.
func (s *State) Lookup(customer, key string) (*Claim, bool) {
	k := Key{customer, key}
	if c, ok := s.byKey[k]; ok {
		return c, true
	}
	i, ok := s.old[k.hash()]
	if !ok {
		return nil, false
	}
	old := s.Old[i-s.forgotten]
	return &Claim{
		Customer: customer, Key: key, Digest: old.Digest, State: lifecycle.RequestExpired, Offset: old.Offset, AtMs: old.AtMs,
	}, true
}
