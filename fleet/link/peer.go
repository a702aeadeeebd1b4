package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// PeerCall is a request of one entry to another: a store call to make on its behalf, a connection to forward, or, if empty,
// whether it is the decider.
type PeerCall struct {
	Append *work.Append `cbor:"1,keyasint,omitempty"`
	Read   *ReadCall    `cbor:"2,keyasint,omitempty"`
	// Newest is the topic of which the newest records are requested.
	Newest string `cbor:"3,keyasint,omitempty"`
	// Bridge is the address of a side process to which the connection is to be forwarded after the reply.
	Bridge string `cbor:"4,keyasint,omitempty"`
}

// ReadCall is a read of a topic.
type ReadCall struct {
	Topic string        `cbor:"1,keyasint"`
	From  int64         `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// PeerReply is the response to a PeerCall.
type PeerReply struct {
	Appended work.Appended `cbor:"1,keyasint"`
	// Page is the result of a read. It also carries a snapshot, whose Records and Next it holds; use Snapshot.
	Page work.Page `cbor:"2,keyasint"`
	// Problem is the error of the call; empty if it succeeded.
	Problem Problem `cbor:"3,keyasint,omitempty"`
	// Deciding is the epoch in which the responding entry is the decider; 0 if it is not.
	Deciding uint64 `cbor:"4,keyasint,omitempty"`
}

// SnapshotReply returns the reply that carries a snapshot.
func SnapshotReply(s work.Snapshot) PeerReply {
	return PeerReply{Page: work.Page{Records: s.Records, Next: s.Next}}
}

// Snapshot returns the snapshot that the reply to a call of Newest carries.
func (r *PeerReply) Snapshot() work.Snapshot {
	return work.Snapshot{Records: r.Page.Records, Next: r.Page.Next}
}

// Problem is the encoded form of an error of the store.
type Problem string

// problems maps the encoded form to the store's errors.
var problems = map[Problem]error{
	"condition": work.ErrConditionFailed, "fenced": work.ErrFenced, "sequence": work.ErrSequence, "expired": work.ErrExpired,
}

const (
	problemRefused Problem = "refused"
	problemUnknown Problem = "unknown"
)

// ProblemOf returns the encoded form of an error.
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

// Err returns the error that p encodes, or nil.
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
	return fmt.Errorf("through another entry: %w", errdefs.New(kind, "the store does not answer that entry", "try again later"))
}
