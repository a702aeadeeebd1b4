package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// lateStore carries out the first append of a submission when it is released, without an answer until then.
type lateStore struct {
	work.Store
	mu      *sync.Mutex
	began   chan struct{}
	release chan struct{}
	stored  chan struct{}
	late    *bool
}

func newLateStore(s work.Store) *lateStore {
	return &lateStore{s, &sync.Mutex{}, make(chan struct{}), make(chan struct{}), make(chan struct{}), new(bool)}
}

func (s *lateStore) Append(ctx context.Context, a work.Append) (work.Appended, error) {
	s.mu.Lock()
	first := a.Topic == work.TopicJobs && !*s.late && a.Records[0].Key[:len(work.PrefixSubmission)] == work.PrefixSubmission
	if first {
		*s.late = true
	}
	s.mu.Unlock()
	if !first {
		return s.Store.Append(ctx, a)
	}
	close(s.began)
	go func() {
		<-s.release
		_, _ = s.Store.Append(context.Background(), a)
		close(s.stored)
	}()
	<-ctx.Done()
	return work.Appended{}, errdefs.New(errdefs.Unknown, "no answer", "repeat the call; it may have been carried out")
}

// Guards against a job that runs after its DELETE was acknowledged (review-2 cancel, UNASKED): the entry was still storing the submission
// and answered 410.
func TestCancelOvertakesNoSubmission(t *testing.T) {
	s := newSite(t)
	var late *lateStore
	s.wrap = func(st work.Store) work.Store {
		late = newLateStore(st)
		return late
	}
	e, _ := s.entry("entry-1")
	w := s.worker("side-1")
	s.until("a decider", func() bool { return deciders(e) == 1 && e.currentDecider() != nil })
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		submitTo(e, "00112233445566aa")
	}()
	<-late.began
	status, body, _ := s.call(e, http.MethodDelete, jobPath, "")
	assert.Equal(t, status, http.StatusOK, body)
	close(late.release)
	<-late.stored
	s.until("the job to be known", func() bool {
		status, body, _ := s.call(e, http.MethodGet, jobPath, "")
		return status == http.StatusOK && body == `{"state":"cancelled"}`
	})
	<-submitted
	time.Sleep(time.Second) // a start takes 0.1 s
	assert.Equal(t, len(running(w)), 0)
	status, _, _ = s.call(e, http.MethodDelete, "/p/00112233445566ab", "")
	assert.Equal(t, status, http.StatusGone, "a job that nobody submitted")
}

// Guards against cancellations without a submission that stay in the store for good.
func TestOrphanedCancellationsAreDropped(t *testing.T) {
	s := newSite(t)
	e, _ := s.entry("entry-1")
	s.until("a decider", func() bool { return deciders(e) == 1 && e.currentDecider() != nil })
	const id = "00112233445566ac"
	s.store.Put(work.TopicJobs, work.PrefixCancellation+id, []byte{1})
	s.until("the cancellation to be read", func() bool {
		e.view.mu.Lock()
		defer e.view.mu.Unlock()
		if e.view.unsubmitted[id] == nil {
			return false
		}
		e.view.unsubmitted[id].cancelledMs -= orphanedCancellationTTLMs
		return true
	})
	s.until("it to be removed", func() bool { return len(s.store.Keys(work.TopicJobs)[work.PrefixCancellation+id]) == 0 })
	s.until("it to be forgotten", func() bool {
		e.view.mu.Lock()
		defer e.view.mu.Unlock()
		return e.view.unsubmitted[id] == nil
	})
}
