// Package claims folds stream claims.<region>: claims of requests that may run at most once, and their kept answers.
//
// A request runs only after its claim was read back as the first one of its key. Log order therefore picks one runner
// whichever entries the caller tried.
package claims

import (
	"time"

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
	// Order holds the claims in the order of their offsets.
	Order []*Claim `cbor:"3,keyasint"`
	// Writers drops repeated records.
	Writers record.Sequences `cbor:"4,keyasint"`

	byKey map[Key]*Claim
	// stripped counts the leading claims of Order whose answers were dropped.
	stripped int
}

// New returns an empty state.
func New() *State {
	return &State{Next: 1, Writers: make(record.Sequences), byKey: make(map[Key]*Claim)}
}

// Reindex rebuilds the indexes that a snapshot does not hold.
func (s *State) Reindex() {
	s.byKey = make(map[Key]*Claim, len(s.Order))
	s.stripped = 0
	for _, c := range s.Order {
		s.byKey[Key{c.Customer, c.Key}] = c
	}
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
	if c := s.byKey[key]; c != nil {
		return Verdict{c, rc.Nonce, rec.Writer, false}
	}
	c := &Claim{
		Customer: rc.Customer, Key: rc.Key, Nonce: rc.Nonce, Writer: rec.Writer, Incarnation: rec.Incarnation,
		Digest: rc.Digest, State: lifecycle.RequestClaimed, Offset: offset, AtMs: rec.AtMs,
	}
	s.byKey[key] = c
	s.Order = append(s.Order, c)
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
}

// expire drops answers after AnswerKept and keys after KeyKept.
func (s *State) expire() {
	forget := 0
	for forget < len(s.Order) && s.Order[forget].AtMs+KeyKept.Milliseconds() < s.NewestMs {
		c := s.Order[forget]
		delete(s.byKey, Key{c.Customer, c.Key})
		forget++
	}
	s.Order = s.Order[forget:]
	s.stripped = max(0, s.stripped-forget)
	for s.stripped < len(s.Order) && s.Order[s.stripped].AtMs+AnswerKept.Milliseconds() < s.NewestMs {
		c := s.Order[s.stripped]
		if lifecycle.Request.Fire(&c.State, lifecycle.ExpireRequest) == nil {
			c.Body, c.ContentType, c.Status = nil, "", 0
		}
		s.stripped++
	}
}

// Lookup returns the claim in force for the key.
func (s *State) Lookup(customer, key string) (*Claim, bool) {
	c, ok := s.byKey[Key{customer, key}]
	return c, ok
}
