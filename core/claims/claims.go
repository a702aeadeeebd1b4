// Package claims applies stream claims.<region>: claims of requests that may run at most once, and their stored answers.
//
// An entry runs a request only after it has read back its claim as the first one of the key. The order of the log thus
// selects a single entry to run the request, however many entries the caller tried.
package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/record"
)

// Retention.
const (
	// AnswerRetention is how long the whole answer is stored for repeats.
	AnswerRetention = time.Hour
	// KeyRetention is how long a key is stored. A repeat after its answer was dropped gets a definite "expired, not run
	// again".
	KeyRetention = 24 * time.Hour
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
	// TooLarge is true if the answer was too large to be stored.
	TooLarge bool `cbor:"13,keyasint,omitempty" json:"too_large,omitempty"`
}

// Verdict is the result of one claim record.
type Verdict struct {
	// Claim is the claim in force for the key.
	Claim *Claim
	// Nonce is the nonce of the claim that was applied.
	Nonce uint64
	// Writer is the entry that wrote it.
	Writer string
	// Won is true if it is the claim in force.
	Won bool
}

// State is the state of the stream at one offset.
type State struct {
	// Next is the first offset that is not applied.
	Next uint64 `cbor:"1,keyasint"`
	// NewestMs is the highest writer clock in the stream. Expiry is measured against it, so that all readers expire the
	// same entries at the same offset.
	NewestMs int64 `cbor:"2,keyasint"`
	// Claims holds the claims whose answers are stored, in the order of their offsets.
	Claims []*Claim `cbor:"3,keyasint"`
	// Writers detects repeated records.
	Writers record.Sequences `cbor:"4,keyasint"`
	// ExpiredKeys holds the keys whose answers were dropped, in the order of their offsets.
	ExpiredKeys []ExpiredKey `cbor:"5,keyasint,omitempty"`

	byKey map[Key]*Claim
	// expiredIndex maps the hash of a key to its index in ExpiredKeys plus expiredRemoved.
	expiredIndex map[uint64]uint64
	// expiredRemoved counts the keys removed from the front of ExpiredKeys, so that stored indexes stay valid.
	expiredRemoved uint64
	usage          map[uint64]*customerUse
	totalBytes     int64
}

// ExpiredKey stands for a key whose answer was dropped. Only its hash is stored, because a day has many times the keys
// of an hour's claims. If two keys share a 64-bit hash, the later one reads "expired, not run again".
type ExpiredKey struct {
	// Hash is the xxhash of customer and key.
	Hash uint64 `cbor:"1,keyasint"`
	// Digest is the digest of the request.
	Digest uint64 `cbor:"2,keyasint"`
	// Offset and AtMs are those of the claim.
	Offset uint64 `cbor:"3,keyasint"`
	AtMs   int64  `cbor:"4,keyasint"`
	// Owner is the xxhash of the customer; 0 in snapshots of versions that did not store it.
	Owner uint64 `cbor:"5,keyasint,omitempty"`
}

// New returns an empty state.
func New() *State {
	s := &State{Next: 1, Writers: make(record.Sequences)}
	s.Reindex()
	return s
}

// Reindex rebuilds the indexes, which are not part of a snapshot.
func (s *State) Reindex() {
	s.byKey = make(map[Key]*Claim, len(s.Claims))
	for _, c := range s.Claims {
		s.byKey[Key{c.Customer, c.Key}] = c
	}
	s.expiredIndex, s.expiredRemoved = make(map[uint64]uint64, len(s.ExpiredKeys)), 0
	for i, k := range s.ExpiredKeys {
		s.expiredIndex[k.Hash] = uint64(i)
	}
	s.rebuildUsage()
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
	for _, claim := range rec.RequestClaims {
		verdicts = append(verdicts, s.applyClaim(offset, rec, claim))
	}
	for _, a := range rec.RequestAnswers {
		s.applyAnswer(rec, a)
	}
	return verdicts
}

func (s *State) applyClaim(offset uint64, rec *record.Record, rc record.RequestClaim) Verdict {
	key := Key{rc.Customer, rc.Key}
	if c, ok := s.Lookup(rc.Customer, rc.Key); ok {
		return Verdict{c, rc.Nonce, rec.Writer, false}
	}
	c := &Claim{
		Customer: rc.Customer, Key: rc.Key, Nonce: rc.Nonce, Writer: rec.Writer, Incarnation: rec.Incarnation,
		Digest: rc.Digest, State: lifecycle.RequestClaimed, Offset: offset, AtMs: rec.AtMs,
	}
	s.byKey[key] = c
	s.Claims = append(s.Claims, c)
	s.addUsage(xxhash.Sum64String(c.Customer), 1, c.memoryBytes())
	return Verdict{c, rc.Nonce, rec.Writer, true}
}

func (s *State) applyAnswer(rec *record.Record, a record.RequestAnswer) {
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
	s.addUsage(xxhash.Sum64String(c.Customer), 0, int64(len(c.Body)))
}

// expire drops expired answers and keys.
func (s *State) expire() {
	answersDropped := 0
	for answersDropped < len(s.Claims) && s.Claims[answersDropped].AtMs+AnswerRetention.Milliseconds() < s.NewestMs {
		s.dropAnswer(s.Claims[answersDropped])
		s.Claims[answersDropped] = nil
		answersDropped++
	}
	s.Claims = s.Claims[answersDropped:]
	keysRemoved := 0
	for keysRemoved < len(s.ExpiredKeys) && s.ExpiredKeys[keysRemoved].AtMs+KeyRetention.Milliseconds() < s.NewestMs {
		key := s.ExpiredKeys[keysRemoved]
		// A later key with the same hash may have overwritten the entry.
		if s.expiredIndex[key.Hash] == s.expiredRemoved+uint64(keysRemoved) {
			delete(s.expiredIndex, key.Hash)
		}
		s.addUsage(key.Owner, -1, -expiredKeyBytes)
		keysRemoved++
	}
	s.ExpiredKeys = s.ExpiredKeys[keysRemoved:]
	s.expiredRemoved += uint64(keysRemoved)
}

// dropAnswer replaces a claim by the hash of its key.
func (s *State) dropAnswer(c *Claim) {
	key := Key{c.Customer, c.Key}
	delete(s.byKey, key)
	k := ExpiredKey{key.hash(), c.Digest, c.Offset, c.AtMs, xxhash.Sum64String(c.Customer)}
	s.expiredIndex[k.Hash] = s.expiredRemoved + uint64(len(s.ExpiredKeys))
	s.ExpiredKeys = append(s.ExpiredKeys, k)
	s.addUsage(k.Owner, 0, expiredKeyBytes-c.memoryBytes())
}

// Lookup returns the claim in force for the key. For a key whose answer was dropped it returns a claim in state expired.
func (s *State) Lookup(customer, key string) (*Claim, bool) {
	k := Key{customer, key}
	if c, ok := s.byKey[k]; ok {
		return c, true
	}
	i, ok := s.expiredIndex[k.hash()]
	if !ok {
		return nil, false
	}
	expired := s.ExpiredKeys[i-s.expiredRemoved]
	return &Claim{
		Customer: customer, Key: key, Digest: expired.Digest, State: lifecycle.RequestExpired, Offset: expired.Offset, AtMs: expired.AtMs,
	}, true
}
