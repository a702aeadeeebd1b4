package work

import (
	"context"
	"errors"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Errors of a Store.
var (
	// ErrConditionFailed means that the topic did not end at the expected offset of a conditional append.
	ErrConditionFailed = errors.New("another record was appended first; read it and retry")
	// ErrFenced means that a producer with a higher epoch has appended.
	ErrFenced = errors.New("a decider with a higher epoch has appended; stop deciding")
	// ErrSequence means that the sequence number is not the next one.
	ErrSequence = errors.New("the sequence number is not the next one; claim a new epoch")
	// ErrExpired means that the requested records have been removed.
	ErrExpired = errors.New("the records have expired; read the newest of each key")
)

// NotAppended reports whether the error of an append guarantees that nothing was appended.
func NotAppended(err error) bool {
	return errdefs.KindOf(err) == errdefs.Unavailable || errors.Is(err, ErrConditionFailed) || errors.Is(err, ErrFenced)
}

// Topics of the system in the store.
const (
	// TopicJobs holds submissions and cancellations.
	TopicJobs = "keyed.jobs"
	// TopicSchedule holds claims of deciders, and the progress and the checkpoints of jobs.
	TopicSchedule = "keyed.sched"
	// TopicSides holds the addresses of side processes.
	TopicSides = "keyed.sides"
	// TopicEntries holds the addresses at which entries call each other.
	TopicEntries = "keyed.entries"
)

// Keys and key prefixes.
const (
	PrefixSubmission   = "j"
	PrefixCancellation = "c"
	PrefixProgress     = "p"
	// PrefixCheckpoints is the prefix of the checkpoints of a job's tasks. They change with each half second of work and are
	// stored less often than the progress.
	PrefixCheckpoints = "k"
	// KeyClaim is the key of the decider's claim, which is also its heartbeat.
	KeyClaim = "L"
	// KeyInterference is the key of the decider's interference estimates.
	KeyInterference = "I"
	// KeyBacklog is the key of the expected wait of new work, which the decider stores while there is too little capacity.
	KeyBacklog = "B"
)

// Record is a keyed record.
type Record struct {
	// Key identifies the subject of the record. A later record with the same key replaces it.
	Key string
	// Value is empty if the record is a tombstone.
	Value []byte
	// Offset is the record's offset in the topic.
	Offset int64
}

// Append is an atomic append to a topic.
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

// Appended is the result of an append.
type Appended struct {
	// Offset is the offset of the first record, End the end of the topic after the last one.
	Offset, End int64
}

// Page holds all records of a range of a topic, from the offset that was asked for up to Next. A key without a record in it
// was not changed in that range.
type Page struct {
	Records []Record
	// Next is the offset to read from next, End the end of the topic.
	Next, End int64
}

// Snapshot holds the newest record of every key that a topic has. A key that is absent from it had no value when it was read:
// if there was a record of it below Next, a tombstone came after that.
type Snapshot struct {
	Records []Record
	// Next is the end of the topic before the first key was read, where reading continues. The keys are read one after the
	// other, so that some of Records may lie at Next or behind it.
	Next int64
}

// Store is the platform's append-only log with topics that keep the newest record of each key.
type Store interface {
	// Append appends records. Errors of kind Unavailable guarantee that nothing was appended. After errors of kind Unknown
	// the records may have been appended, or may still be appended later.
	Append(ctx context.Context, a Append) (Appended, error)
	// Read returns records from the offset on. If there are none it waits up to wait.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key. It fails if it could not read all keys.
	Newest(ctx context.Context, topic string) (Snapshot, error)
}
