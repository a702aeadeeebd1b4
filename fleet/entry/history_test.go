package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
)

// Guards against an availability zone that stays out of service for good: the store loses its history while the zone is
// brought back, and the record that says so is not among the newest records of the keys that are left (review/3, LOST).
func TestZoneBroughtBackWhileHistoryIsLost(t *testing.T) {
	s := newSite(t)
	e, _ := s.entry("entry-1")
	w := s.worker("side-1")
	isEvacuated := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.evacuated["a"]
	}
	s.until("a decider", func() bool { return deciders(e) == 1 })
	s.store.Put(platform.TopicOperator, "evacuate/a", []byte("{}"))
	s.until("the evacuation", isEvacuated)
	s.store.LoseHistory(platform.TopicOperator, func(put func(string, []byte)) { put("evacuate/a", nil) })
	s.until("the return of the zone", func() bool { return !isEvacuated() })
	status, _, _ := s.call(e, http.MethodPost, jobPath, jobBody)
	assert.Equal(t, status, http.StatusOK)
	s.until("the job's tasks on the zone's worker", func() bool { return len(running(w)) == 2 })
}

// snapshotStore is a store whose reads find that all records have expired, and that returns a snapshot.
type snapshotStore work.Snapshot

func (snapshotStore) Append(context.Context, work.Append) (work.Appended, error) {
	return work.Appended{}, errdefs.OfKind(errdefs.Unavailable)
}

func (snapshotStore) Read(context.Context, string, int64, time.Duration) (work.Page, error) {
	return work.Page{}, work.ErrExpired
}

func (s snapshotStore) Newest(context.Context, string) (work.Snapshot, error) {
	return work.Snapshot(s), nil
}

// newKeyReader returns a reader that keeps the values of a topic in the returned map.
func newKeyReader() (*topicReader, map[string]string) {
	values := map[string]string{}
	return &topicReader{topic: "t", log: logevent.Nop(), apply: func(records []work.Record) {
		for _, rec := range records {
			if len(rec.Value) == 0 {
				delete(values, rec.Key)
			} else {
				values[rec.Key] = string(rec.Value)
			}
		}
	}}, values
}

func record(key, value string, offset int64) work.Record {
	return work.Record{Key: key, Value: []byte(value), Offset: offset}
}

// Guards against keys that are kept for good after the records that removed them have expired unread. The end of the topic
// is known only after a further read.
func TestSnapshotRemovesAbsentKeys(t *testing.T) {
	r, values := newKeyReader()
	r.applySnapshot(work.Snapshot{Records: []work.Record{record("a", "1", 0), record("b", "1", 1), record("c", "1", 2)}, Next: 3})
	r.applyPage(work.Page{Records: []work.Record{record("d", "1", 3)}, Next: 4, End: 4})
	r.applyOwn([]work.Record{record("e", "1", 0), record("f", "1", 0)}, 6)
	r.store = snapshotStore{Records: []work.Record{record("b", "2", 8), record("c", "1", 2), record("f", "1", 5), record("g", "1", 9)}, Next: 12}
	n, atEnd, err := r.read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, n, 5, "a, d and e are gone, b and g are new")
	assert.Assert(t, !atEnd)
	assert.DeepEqual(t, values, map[string]string{"b": "2", "c": "1", "f": "1", "g": "1"})
	next, loaded := r.position()
	assert.Equal(t, next, int64(12))
	assert.Assert(t, loaded)
}

// Guards against a slow snapshot that reverts what a concurrent read has applied meanwhile: a key that was written after the
// snapshot began is kept, and one that was removed since does not come back.
func TestOlderSnapshotRevertsNothing(t *testing.T) {
	r, values := newKeyReader()
	r.applySnapshot(work.Snapshot{Records: []work.Record{record("removed", "1", 0), record("changed", "1", 1)}, Next: 2})
	older := work.Snapshot{Records: []work.Record{record("changed", "1", 1), record("removed", "1", 0)}, Next: 2}
	r.applyPage(work.Page{Records: []work.Record{record("added", "1", 2), record("removed", "", 3), record("changed", "2", 4)}, Next: 5, End: 5})
	assert.Equal(t, r.applySnapshot(older), 0)
	assert.DeepEqual(t, values, map[string]string{"added": "1", "changed": "2"})
	next, _ := r.position()
	assert.Equal(t, next, int64(5))
}

// Guards against a decider whose own record is reverted by a snapshot that began before it was stored: without its offset the
// record counts as older than the snapshot, and its absence as its removal.
func TestOlderSnapshotKeepsOwnRecords(t *testing.T) {
	r, values := newKeyReader()
	older := work.Snapshot{Records: []work.Record{record("a", "1", 0)}, Next: 1}
	r.applySnapshot(older)
	r.applyOwn([]work.Record{record("own", "1", 0), record("other", "1", 0)}, 3)
	assert.Equal(t, r.applySnapshot(older), 0)
	assert.DeepEqual(t, values, map[string]string{"a": "1", "own": "1", "other": "1"})
	// A snapshot that began after the first of them shows that it is gone.
	assert.Equal(t, r.applySnapshot(work.Snapshot{Records: []work.Record{record("a", "1", 0)}, Next: 2}), 1)
	assert.DeepEqual(t, values, map[string]string{"a": "1", "other": "1"})
}

// Guards against a decider that takes jobs as known to the end of the topic although it has read only a snapshot, behind
// which records may follow.
func TestSnapshotIsNotTheEnd(t *testing.T) {
	r, values := newKeyReader()
	r.store = snapshotStore{Records: []work.Record{record("a", "1", 0)}, Next: 1}
	_, atEnd, err := r.read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Assert(t, !atEnd)
	_, atEnd, err = r.read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Assert(t, !atEnd, "the snapshot after records have expired")
	assert.DeepEqual(t, values, map[string]string{"a": "1"})
}

// threePages is a store whose topic has three records and gives out one with each read.
type threePages struct{ work.Store }

func (threePages) Read(_ context.Context, _ string, from int64, _ time.Duration) (work.Page, error) {
	return work.Page{Records: []work.Record{record(fmt.Sprint(from), "1", from)}, Next: from + 1, End: 3}, nil
}

// Guards against an id that is refused because of the backlog although another entry has accepted it: a read that has not
// reached the end of the topic was taken for one that has.
func TestPartOfATopicIsNotItsEnd(t *testing.T) {
	r, values := newKeyReader()
	r.applySnapshot(work.Snapshot{})
	r.store = threePages{}
	_, atEnd, err := r.read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Assert(t, !atEnd)
	assert.NilError(t, r.refreshSince(context.Background(), 0))
	assert.Equal(t, len(values), 3)
}
