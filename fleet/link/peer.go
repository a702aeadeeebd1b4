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
	// Explain asks where a job would go. An entry of an earlier version takes the call for an empty one and replies without
	// Explained.
	Explain *ExplainCall `cbor:"5,keyasint,omitempty"`
}

// ExplainCall asks where a job would go if it were submitted now.
type ExplainCall struct {
	// Job is the job without its queue, Queue the name of the queue.
	Job   work.Job `cbor:"1,keyasint"`
	Queue string   `cbor:"2,keyasint"`
	// Workers asks for a list of all workers.
	Workers bool `cbor:"3,keyasint,omitempty"`
	// Forwarded is true if another entry forwards the call. It is not forwarded again.
	Forwarded bool `cbor:"4,keyasint,omitempty"`
}

// Explained is the response to an ExplainCall.
type Explained struct {
	// Answer is the encoded answer; empty if Failure is set.
	Answer []byte `cbor:"1,keyasint,omitempty"`
	// Failure is the error of the call; nil if it succeeded.
	Failure *Failure `cbor:"2,keyasint,omitempty"`
}

// Failure is the encoded form of an error with its kind and remedy.
type Failure struct {
	Kind    string `cbor:"1,keyasint"`
	Field   string `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint"`
	Remedy  string `cbor:"4,keyasint,omitempty"`
}

// FailureOf returns the encoded form of an error, or nil.
func FailureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	var e *errdefs.Error
	if !errors.As(err, &e) {
		return &Failure{Kind: string(errdefs.Unknown), Message: err.Error(), Remedy: "read the logs of the entry"}
	}
	return &Failure{Kind: string(e.Kind), Field: e.Field, Message: e.Message, Remedy: e.Remedy}
}

// Err returns the error that f encodes, or nil.
func (f *Failure) Err() error {
	if f == nil {
		return nil
	}
	return &errdefs.Error{Kind: errdefs.Kind(f.Kind), Field: f.Field, Message: f.Message, Remedy: f.Remedy}
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
	// Explained is the response to PeerCall.Explain; nil if the entry does not know such calls.
	Explained *Explained `cbor:"5,keyasint,omitempty"`
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
