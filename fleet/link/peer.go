package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// PeerCall is what one entry asks of another: a call to the store on its behalf, or whether it decides.
type PeerCall struct {
	Append *work.Append `cbor:"1,keyasint,omitempty"`
	Read   *ReadCall    `cbor:"2,keyasint,omitempty"`
	// Newest names the topic whose newest records are wanted.
	Newest string `cbor:"3,keyasint,omitempty"`
}

// ReadCall is a read of a topic.
type ReadCall struct {
	Topic string        `cbor:"1,keyasint"`
	From  int64         `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// PeerReply is the answer to a PeerCall.
type PeerReply struct {
	Appended work.Appended `cbor:"1,keyasint"`
	Page     work.Page     `cbor:"2,keyasint"`
	// Problem says how the call failed; empty if it did not.
	Problem Problem `cbor:"3,keyasint,omitempty"`
	// Deciding is the epoch in which the entry decides; 0 if it does not.
	Deciding uint64 `cbor:"4,keyasint,omitempty"`
}

// Problem names an error of the store.
type Problem string

// problems maps errors of the store to their names.
var problems = map[Problem]error{
	"condition": work.ErrConditionFailed, "fenced": work.ErrFenced, "sequence": work.ErrSequence, "expired": work.ErrExpired,
}

const (
	problemRefused Problem = "refused"
	problemUnknown Problem = "unknown"
)

// ProblemOf names an error.
func ProblemOf(err error) Problem {
	if err == nil {
		return ""
	}
	for name, e := range problems {
		if errors.Is(err, e) {
			return name
		}
	}
	if errdefs.KindOf(err) == errdefs.Unavailable {
		return problemRefused
	}
	return problemUnknown
}

// Err returns the error that a problem names.
func (p Problem) Err() error {
	if p == "" {
		return nil
	}
	if e, ok := problems[p]; ok {
		return fmt.Errorf("through another entry: %w", e)
	}
	kind := errdefs.Unknown
	if p == problemRefused {
		kind = errdefs.Unavailable
	}
	return fmt.Errorf("through another entry: %w", errdefs.New(kind, "the store does not answer it", "try again later"))
}
