package entry

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
)

// unreadTopic is a store of which one topic cannot be read until it is released. While it is down, reads fail at once;
// else they wait.
type unreadTopic struct {
	work.Store
	topic    string
	down     bool
	released chan struct{}
}

func (u *unreadTopic) Newest(ctx context.Context, topic string) (work.Snapshot, error) {
	if topic == u.topic {
		select {
		case <-u.released:
		default:
			if u.down {
				return work.Snapshot{}, errdefs.New(errdefs.Unavailable, "the store is down", "try again later")
			}
			select {
			case <-u.released:
			case <-ctx.Done():
				return work.Snapshot{}, errdefs.New(errdefs.Unknown, ctx.Err().Error(), "try again later")
			}
		}
	}
	return u.Store.Newest(ctx, topic)
}

// ready returns the status of the readiness check.
func (s *site) ready(e *Entry) int {
	s.t.Helper()
	resp, err := http.Get("http://" + e.ready.Address() + platform.ReadyPath)
	assert.NilError(s.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against an entry that reports that it is ready, or refuses a count, although it only has not read the jobs or
// their progress for the first time: the count waits for that read.
func TestEntryIsNotReadyBeforeItsFirstReads(t *testing.T) {
	for _, topic := range []string{work.TopicJobs, work.TopicSchedule} {
		t.Run(topic, func(t *testing.T) {
			s := newSite(t)
			u := &unreadTopic{topic: topic, released: make(chan struct{})}
			s.wrap = func(store work.Store) work.Store { u.Store = store; return u }
			e, _ := s.entry("entry-1")
			s.until("the operator's topic", func() bool { return e.operator.ageMs() < maxReadyAgeMs })
			assert.Equal(t, s.ready(e), http.StatusServiceUnavailable)
			assert.Assert(t, !e.viewFresh())
			counted := make(chan int, 1)
			go func() {
				status, _, _ := s.call(e, http.MethodGet, "/p/", "")
				counted <- status
			}()
			s.until("the request", func() bool { return e.public.InProgress() == 1 })
			close(u.released)
			assert.Equal(t, <-counted, http.StatusOK)
			s.until("readiness", func() bool { return s.ready(e) == http.StatusOK })
		})
	}
}

// Guards against callers that wait until their deadline at an entry that started during an outage: it has never read the
// jobs, and its failed attempts to load them have to count as a loss of the store.
func TestOutageIsDetectedBeforeTheFirstRead(t *testing.T) {
	s := newSite(t)
	u := &unreadTopic{topic: work.TopicJobs, down: true, released: make(chan struct{})}
	s.wrap = func(store work.Store) work.Store { u.Store = store; return u }
	e, _ := s.entry("entry-1")
	s.until("the store to be down", e.storeDown)
	began := time.Now()
	for _, c := range []struct{ method, path, body string }{{http.MethodGet, "/p/", ""}, {http.MethodPost, jobPath, jobBody}} {
		status, _, header := s.call(e, c.method, c.path, c.body)
		assert.Equal(t, status, http.StatusServiceUnavailable, "%s %s", c.method, c.path)
		assert.Equal(t, header.Get("Retry-After"), "1")
	}
	t.Logf("refused after %s", time.Since(began))
	assert.Equal(t, len(s.store.Keys(work.TopicJobs)), 0)
	close(u.released)
	s.until("the store to be up", func() bool {
		status, _, _ := s.call(e, http.MethodPost, jobPath, jobBody)
		return status == http.StatusOK
	})
}

// Guards against a new decider that does not know all jobs: a page may hold nothing new because the concurrent reader has
// applied it, while later pages were not read. It would acknowledge the completions of the jobs that it lacks (TWICE).
func TestRefreshReadsToTheEnd(t *testing.T) {
	pages := map[int64]work.Page{
		0: {Records: []work.Record{{Key: "a"}}, Next: 1, End: 2},
		1: {Records: []work.Record{{Key: "b", Offset: 1}}, Next: 2, End: 2},
	}
	var got []string
	r := &topicReader{topic: "t", loaded: true, log: logevent.Nop(), apply: func(records []work.Record) {
		for _, rec := range records {
			got = append(got, rec.Key)
		}
	}}
	r.store = pageStore(func(from int64) work.Page {
		if from == 0 {
			r.applyPage(pages[0]) // the concurrent reader is faster
		}
		return pages[from]
	})
	assert.NilError(t, r.refresh(context.Background()))
	assert.DeepEqual(t, got, []string{"a", "b"})
}

// pageStore is a store that can only be read.
type pageStore func(from int64) work.Page

func (pageStore) Append(context.Context, work.Append) (work.Appended, error) {
	return work.Appended{}, errdefs.OfKind(errdefs.Unavailable)
}

func (p pageStore) Read(_ context.Context, _ string, from int64, _ time.Duration) (work.Page, error) {
	return p(from), nil
}

func (p pageStore) Newest(context.Context, string) (work.Snapshot, error) {
	return work.Snapshot{Records: p(0).Records, Next: p(0).End}, nil
}

// Guards against an election that is held up by requests for states: a read that its caller gives up, as from a slow
// store, is no failure of the topic's reader, which would start the time without a decider anew.
func TestAbandonedReadIsNoFailure(t *testing.T) {
	failures := 0
	r := &topicReader{topic: "t", loaded: true, log: logevent.Nop(), apply: func([]work.Record) {}, onFailure: func() { failures++ }}
	ctx, cancel := context.WithCancel(context.Background())
	r.store = failingStore(func() error {
		cancel()
		return ctx.Err()
	})
	assert.ErrorIs(t, r.refresh(ctx), context.Canceled)
	assert.Equal(t, failures, 0)
	r.store = failingStore(func() error { return errdefs.OfKind(errdefs.Unavailable) })
	assert.ErrorIs(t, r.refresh(context.Background()), errdefs.OfKind(errdefs.Unavailable))
	assert.Equal(t, failures, 1)
}

// failingStore is a store whose reads fail.
type failingStore func() error

func (failingStore) Append(context.Context, work.Append) (work.Appended, error) {
	return work.Appended{}, errdefs.OfKind(errdefs.Unavailable)
}

func (f failingStore) Read(context.Context, string, int64, time.Duration) (work.Page, error) {
	return work.Page{}, f()
}

func (f failingStore) Newest(context.Context, string) (work.Snapshot, error) {
	return work.Snapshot{}, f()
}

// Guards against one odd record that ends every entry that reads it, or hides the records behind it: a job with billions
// of tasks, one whose step depends on itself, one under another key, and an address with a port out of range.
func TestOddRecordsAreSkipped(t *testing.T) {
	s := newSite(t)
	odd := map[string]*work.Job{
		"00000000000000a1": {ID: "00000000000000a1", Steps: []work.Step{{Count: 1 << 40}}},
		"00000000000000a2": {ID: "00000000000000a2", Steps: []work.Step{{Count: 1, DependsOn: []int{7}}}},
		"00000000000000a3": {ID: "00000000000000a4", Steps: []work.Step{{Count: 1}}},
		"00000000000000a5": {ID: "00000000000000a5", Steps: []work.Step{{Count: 1}}, Repeat: 1 << 40},
		"00000000000000a6": {ID: "00000000000000a6", Steps: []work.Step{{Count: 4000}}, Repeat: 4000},
	}
	for id, j := range odd {
		s.store.Put(work.TopicJobs, work.PrefixSubmission+id, work.Encode(j))
	}
	s.store.Put(work.TopicJobs, work.PrefixSubmission+"00000000000000a7", bytes.Repeat([]byte{0x81}, 100_000))
	s.store.Put(work.TopicSides, "side-odd", work.Encode(work.ProcessAddress{Instance: "side-odd", Address: "127.0.0.1:99999"}))
	s.store.Put(work.TopicEntries, "entry-odd", work.Encode(work.ProcessAddress{Instance: "entry-odd", Address: "127.0.0.1:1", Cores: 1e300}))
	e, _ := s.entry("entry-1")
	w := s.worker("side-1")
	s.until("a decider", func() bool { return deciders(e) == 1 })
	status, _, _ := s.call(e, http.MethodPost, jobPath, jobBody)
	assert.Equal(t, status, http.StatusOK)
	s.until("the tasks of the sound job", func() bool { return len(running(w)) == 2 })
	for id := range odd {
		_, known := e.view.get(id)
		assert.Assert(t, !known, id)
	}
	assert.Assert(t, !e.relay.hasLargerEntry(1))
}
