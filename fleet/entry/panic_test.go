package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// Guards against an unexpected error in the decider that ends the entry, or leaves it without a decider: the entry gives the
// role up and decides again under the next epoch.
func TestDeciderPanicEndsOnlyTheRole(t *testing.T) {
	s := newSite(t)
	e, _ := s.entry("entry-1")
	s.until("a decider", func() bool { return deciders(e) == 1 && e.currentDecider() != nil })
	first := e.currentDecider()
	first.post(func() { panic("unexpected") })
	s.until("the next decider", func() bool { d := e.currentDecider(); return d != nil && d.epoch > first.epoch })
	w := s.worker("side-1")
	status, _, _ := s.call(e, http.MethodPost, jobPath, jobBody)
	assert.Equal(t, status, http.StatusOK)
	s.until("both tasks to run", func() bool { return len(running(w)) == 2 })
}

// Guards against one stored job on which every decider fails: the second decider leaves it out and other jobs run.
func TestJobThatPanicsIsLeftOut(t *testing.T) {
	s := newSite(t)
	e, _ := s.entry("entry-1")
	s.until("a decider", func() bool { return deciders(e) == 1 && e.currentDecider() != nil })
	first := e.currentDecider()
	odd := &work.Job{ID: "odd", Steps: []work.Step{{Count: 1, DependsOn: []int{7}}}}
	e.view.mu.Lock()
	e.view.jobs[odd.ID] = &jobView{job: odd}
	e.view.notifyDecider(odd.ID, e.view.jobs[odd.ID])
	e.view.mu.Unlock()
	s.until("the next decider", func() bool { d := e.currentDecider(); return d != nil && d.epoch > first.epoch })
	w := s.worker("side-1")
	status, _, _ := s.call(e, http.MethodPost, jobPath, jobBody)
	assert.Equal(t, status, http.StatusOK)
	s.until("both tasks to run", func() bool { return len(running(w)) == 2 })
}

// Guards against a reader that ends, or misses the records behind it, because handling one record fails unexpectedly.
func TestRecordThatPanicsIsSkipped(t *testing.T) {
	var applied []string
	r := &topicReader{topic: work.TopicJobs, log: logevent.Nop(), apply: func(records []work.Record) {
		for _, rec := range records {
			if rec.Key == "odd" {
				panic("unexpected")
			}
			applied = append(applied, rec.Key)
		}
	}}
	r.applyPage(work.Page{Records: []work.Record{{Key: "a"}, {Key: "odd", Offset: 1}, {Key: "b", Offset: 2}}, Next: 3, End: 3})
	next, _ := r.position()
	assert.Equal(t, next, int64(3))
	assert.DeepEqual(t, applied[len(applied)-2:], []string{"a", "b"})
	r.applyOwn([]work.Record{{Key: "odd", Offset: 3}, {Key: "c", Offset: 4}}, 5)
	assert.Equal(t, applied[len(applied)-1], "c")
}
