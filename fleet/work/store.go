package work

import (
	"context"
	"errors"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Errors of a Store.
var (
	// ErrConditionFailed means that the topic did not end at the offset of a conditional append.
	ErrConditionFailed = errors.New("another record was appended first; read it and decide again")
	// ErrFenced means that a producer with a higher epoch has appended.
	ErrFenced = errors.New("a newer decider writes here; stop deciding")
	// ErrSequence means that the sequence number is not the next one.
	ErrSequence = errors.New("the sequence number is not the next one; claim a new epoch")
	// ErrExpired means that records that were asked for are gone.
	ErrExpired = errors.New("the records have expired; read the newest of each key")
)

// NotDone reports whether an error of an append says for certain that nothing was appended.
func NotDone(err error) bool {
	return errdefs.KindOf(err) == errdefs.Unavailable || errors.Is(err, ErrConditionFailed) || errors.Is(err, ErrFenced)
}

// Topics of the system in the store.
const (
	// TopicJobs holds submissions and cancellations.
	TopicJobs = "keyed.jobs"
	// TopicSchedule holds claims of deciders and the progress of jobs.
	TopicSchedule = "keyed.sched"
	// TopicSides holds the addresses of side processes.
	TopicSides = "keyed.sides"
	// TopicEntries holds the addresses at which entries reach each other.
	TopicEntries = "keyed.entries"
)

// Prefixes of keys.
const (
	PrefixSubmission   = "j"
	PrefixCancellation = "c"
	PrefixProgress     = "p"
	// KeyClaim is the key of the decider's claim and sign of life.
	KeyClaim = "L"
	// KeyInterference is the key of what the decider has learned of images that disturb each other.
	KeyInterference = "I"
)

// Record is a record with a key.
type Record struct {
	// Key names what the record is about. A later record with the same key replaces it.
	Key string
	// Value is empty if the key was dropped.
	Value []byte
	// Offset is its place in the topic.
	Offset int64
}

// Append is an append to a topic; all of its records are appended or none.
type Append struct {
	Topic   string
	Records []Record
	// Producer, Epoch and Seq make an append idempotent and fence off older epochs; unused if Producer is empty.
	Producer   string
	Epoch, Seq uint64
	// Conditional makes the append fail unless the topic ends at ExpectedEnd.
	Conditional bool
	ExpectedEnd int64
}

// Appended says where records were appended.
type Appended struct {
	// Offset is the place of the first record, End the end of the topic after the last one.
	Offset, End int64
}

// Page is the result of one read.
type Page struct {
	Records []Record
	// Next is the offset to read from next, End the end of the topic.
	Next, End int64
}

// Store is the platform's append-only log with topics that keep the newest record of each key.
type Store interface {
	// Append appends records. Errors of kind Unavailable mean that nothing was appended, those of kind Unknown that
	// the records may have been appended or may be later.
	Append(ctx context.Context, a Append) (Appended, error)
	// Read returns records from the offset on. If there are none it waits at most for wait.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key. Reading goes on at Next.
	Newest(ctx context.Context, topic string) (Page, error)
}
