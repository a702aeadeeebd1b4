package entry

import (
	"sync"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/record"
)

// maxUnrecorded bounds the answers held in memory during an outage of the log. No further requests are claimed during
// an outage, so only those in progress at its start can add answers.
const maxUnrecorded = 4096

// answerTable holds answers of requests claimed by this entry until their records are read back.
type answerTable struct {
	mu    sync.Mutex
	byKey map[claims.Key]record.RequestAnswer
}

func (t *answerTable) put(a record.RequestAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey == nil {
		t.byKey = make(map[claims.Key]record.RequestAnswer)
	}
	if len(t.byKey) < maxUnrecorded {
		t.byKey[claims.Key{Customer: a.Customer, Key: a.Key}] = a
	}
}

func (t *answerTable) get(customer, key string, nonce uint64) (unrecordedAnswer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byKey[claims.Key{Customer: customer, Key: key}]
	return unrecordedAnswer(a), ok && a.Nonce == nonce
}

// unrecordedAnswer is an answer that has not been read back yet.
type unrecordedAnswer record.RequestAnswer

// apply updates the claim as the record of the answer will.
func (a unrecordedAnswer) apply(c *claims.Claim) {
	switch {
	case a.NotRun:
		c.State = lifecycle.RequestNotRun
	case a.Unknown:
		c.State = lifecycle.RequestUnknown
	default:
		c.State = lifecycle.RequestAnswered
	}
	c.Status, c.ContentType, c.Body, c.TooLarge = a.Status, a.ContentType, a.Body, a.TooLarge
}

// pruneUnrecorded removes answers whose records were read back.
func (e *Entry) pruneUnrecorded() {
	e.unrecorded.mu.Lock()
	defer e.unrecorded.mu.Unlock()
	if len(e.unrecorded.byKey) == 0 {
		return
	}
	e.read(func(s *core.State) {
		for key, a := range e.unrecorded.byKey {
			c, ok := s.Claims.Lookup(key.Customer, key.Key)
			recorded := ok && c.State != lifecycle.RequestClaimed && (c.State != lifecycle.RequestUnknown || a.Unknown)
			// A claim that lost to another one has no answer of its own.
			if recorded || (ok && c.Nonce != a.Nonce) {
				delete(e.unrecorded.byKey, key)
			}
		}
	})
}
