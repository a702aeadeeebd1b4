package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/admission"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// overloadRecord returns a backlog of a minute, computed the given time ago, that refuses jobBody.
func overloadRecord(agoMs int64) []byte {
	return admission.Encode(&admission.Backlog{ComputedMs: clock.WallMs() - agoMs, Rows: []admission.Row{{Service: "s", WaitMs: 60_000}}})
}

// publishOverload publishes a backlog as another decider does, until the returned function is called. Its records are also
// the heartbeats that keep the entries from claiming.
func (s *site) publishOverload() (stop func()) {
	s.store.Put(work.TopicSchedule, work.KeyClaim, work.Encode(&work.Claim{Epoch: 5, Instance: "entry-0", Nonce: 1}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			s.store.Put(work.TopicSchedule, work.KeyBacklog, overloadRecord(0))
			clock.Sleep(ctx, 100*time.Millisecond)
		}
	}()
	stop = func() {
		cancel()
		<-ended
	}
	s.t.Cleanup(stop)
	return stop
}

// Guards against a job that runs although its caller was told that it never does, and against a next decider that leaves the
// backlog of the one before, by which entries would refuse on. Load: a job whose wait would be a minute.
func TestJobRefusedByBacklogNeverRuns(t *testing.T) {
	s := newSite(t)
	stop := s.publishOverload()
	e, _ := s.entry("entry-1")
	w := s.worker("side-1")
	refused := ""
	for n := 0; refused == ""; n++ {
		// The record may be old for a moment if this machine stalls; the submission is accepted then.
		id := fmt.Sprintf("00000000000000%02x", n)
		s.until("the backlog", func() bool { b, ageMs := e.view.backlog.get(); return b != nil && ageMs < admission.MaxAgeMs/2 })
		status, body, header := s.call(e, http.MethodPost, "/p/"+id, jobBody)
		if status == http.StatusOK {
			continue
		}
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		assert.Assert(t, strings.Contains(body, "60000 ms"), body)
		after, err := strconv.Atoi(header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, after >= 1 && after <= 30)
		refused = id
	}
	_, stored := s.store.Keys(work.TopicJobs)[work.PrefixSubmission+refused]
	assert.Assert(t, !stored, "a refused job was stored")
	status, _, _ := s.call(e, http.MethodGet, "/p/"+refused, "")
	assert.Equal(t, status, http.StatusGone)

	stop()
	s.until("a decider", func() bool { return deciders(e) == 1 })
	s.until("the removal of the backlog", func() bool { return len(s.store.Keys(work.TopicSchedule)[work.KeyBacklog]) == 0 })
	s.until("an accepted job", func() bool {
		status, _, _ := s.call(e, http.MethodPost, jobPath, jobBody)
		return status == http.StatusOK
	})
	s.until("its tasks to run", func() bool {
		n := 0
		for _, name := range running(w) {
			assert.Assert(t, !strings.HasPrefix(name, refused), "the refused job runs")
			if strings.HasPrefix(name, "00112233445566aa") {
				n++
			}
		}
		return n == 2
	})
	// The caller comes back with the same id.
	status, body, _ := s.call(e, http.MethodPost, "/p/"+refused, jobBody)
	assert.Equal(t, status, http.StatusOK, body)
	s.until("the tasks of the job that was refused before", func() bool {
		return strings.Contains(strings.Join(running(w), " "), refused)
	})
}

// idleEntry returns an entry that serves nothing and reads the store only on request.
func (s *site) idleEntry(log logevent.Logger) *Entry {
	s.t.Helper()
	registry, err := telemetry.New()
	assert.NilError(s.t, err)
	m, err := NewMeters(registry)
	assert.NilError(s.t, err)
	e, err := New(s.settings("entry-1"), platform.NewStore(s.addr), log, m)
	assert.NilError(s.t, err)
	assert.NilError(s.t, e.operator.refresh(context.Background()))
	assert.NilError(s.t, e.jobs.refresh(context.Background()))
	return e
}

// submitTo submits jobBody to an entry without its listener.
func submitTo(e *Entry, id string) (status int, body string) {
	c := app.NewContext(0)
	c.Request.SetBody([]byte(jobBody))
	cfg := e.config.Load()
	e.submit(context.Background(), c, cfg, &cfg.Queues[0], id)
	return c.Response.StatusCode(), string(c.Response.Body())
}

// Guards against a refusal, which promises that the job never runs, of an id that another entry has accepted a moment ago or
// that this entry may still store.
func TestKnownIdIsNotRefusedByBacklog(t *testing.T) {
	s := newSite(t)
	e := s.idleEntry(logevent.Nop())
	overload := func() {
		e.view.applyProgress([]work.Record{{Key: work.KeyBacklog, Value: overloadRecord(0)}})
	}
	const elsewhere, attempted, unknown = "00112233445566a1", "00112233445566a2", "00112233445566a3"
	job, err := platform.DecodeJob(elsewhere, []byte(jobBody))
	assert.NilError(t, err)
	s.store.Put(work.TopicJobs, work.PrefixSubmission+elsewhere, work.Encode(job))
	_, read := e.view.get(elsewhere)
	assert.Assert(t, !read, "the test needs a job that this entry has not read")
	overload()
	status, body := submitTo(e, elsewhere)
	assert.Equal(t, status, http.StatusOK, body)
	e.attempts.add(attempted, clock.BootMs())
	overload()
	status, body = submitTo(e, attempted)
	assert.Equal(t, status, http.StatusOK, body)
	e.set.Admission = settings.AdmissionOff
	overload()
	status, body = submitTo(e, unknown)
	assert.Equal(t, status, http.StatusOK, "refused although admission is off: %s", body)
}

// Guards against an attempt that counts as known for ever, and against a list that grows without bound.
func TestAttemptsExpire(t *testing.T) {
	var l attemptList
	l.add("a", 100_000)
	assert.Assert(t, l.has("a", 100_000+attemptTTLMs-1) && !l.has("b", 100_000))
	assert.Assert(t, !l.has("a", 100_000+attemptTTLMs))
	l.add("b", 100_000+attemptTTLMs)
	assert.Equal(t, len(l.lastMs), 1)
}

// Guards against an id that counts as attempted although it was certainly not stored, and against one that does not although a call may
// still store it.
func TestAttemptsEndWithTheirOutcome(t *testing.T) {
	refused := errdefs.New(errdefs.Unavailable, "status 503", "try again later")
	unknown := errdefs.New(errdefs.Unknown, "no answer", "repeat the call")
	var l attemptList
	l.begin("a", 100_000)
	l.begin("a", 100_000)
	l.end("a", refused)
	assert.Assert(t, l.has("a", 100_000), "another attempt goes on")
	l.end("a", refused)
	assert.Assert(t, !l.has("a", 100_000))
	l.begin("b", 100_000)
	l.end("b", unknown)
	l.begin("b", 100_000)
	l.end("b", refused)
	assert.Assert(t, l.has("b", 100_000), "the first call may still store it")
	l.add("c", 100_000+attemptTTLMs)
	assert.Equal(t, len(l.lastMs)+len(l.running)+len(l.unsure), 1)
}

// Guards against decisions by a record that is absent, old or cannot be read, and against a log line for each of the two
// records a second that a later release writes.
func TestBacklogThatIsNotUsed(t *testing.T) {
	var lines bytes.Buffer
	v := newView(logevent.New(&lines, "info", "entry-1"))
	apply := func(value []byte) {
		assert.Assert(t, v.applyProgress([]work.Record{{Key: work.KeyBacklog, Value: value}}) == nil)
	}
	b, _ := v.backlog.get()
	assert.Assert(t, b == nil && !v.backlog.isStored())
	for range 3 {
		apply([]byte("unreadable"))
	}
	b, _ = v.backlog.get()
	assert.Assert(t, b == nil && v.backlog.isStored(), "the next decider has to replace it")
	assert.Equal(t, strings.Count(lines.String(), `"event":803`), 1, lines.String())
	for _, agoMs := range []int64{admission.MaxAgeMs + 1, -admission.MaxAgeMs - 5000} {
		apply(overloadRecord(agoMs))
		b, ageMs := v.backlog.get()
		assert.Assert(t, b != nil && ageMs > admission.MaxAgeMs, "a record of a wall clock %d ms away counts as %d ms old", agoMs, ageMs)
	}
	apply(overloadRecord(0))
	v.backlog.readMs -= admission.MaxAgeMs + 1
	_, ageMs := v.backlog.get()
	assert.Assert(t, ageMs > admission.MaxAgeMs, "a record that was read %d ms ago counts as new", admission.MaxAgeMs+1)
	apply(nil)
	b, _ = v.backlog.get()
	assert.Assert(t, b == nil && !v.backlog.isStored())
}

// Guards against a new key of the schedule that makes a process take it for progress of a job or for a claim.
func TestUnknownScheduleKeyIsIgnored(t *testing.T) {
	v := newView(logevent.Nop())
	for _, value := range [][]byte{[]byte("x"), nil} {
		assert.Assert(t, v.applyProgress([]work.Record{{Key: "Z", Value: value}}) == nil)
	}
	assert.Equal(t, len(v.unsubmitted)+len(v.jobs)+len(v.orphans()), 0)
}

// Guards against a log line for each refusal of a burst, and against refusals that no line counts.
func TestRefusalLogIsBounded(t *testing.T) {
	var l logLimit
	now := time.Unix(1000, 0)
	logged, unlogged := 0, 0
	for range 100 {
		if ok, n := l.next(now); ok {
			logged, unlogged = logged+1, unlogged+n
		}
		now = now.Add(refusalLogInterval / 10)
	}
	assert.Equal(t, logged, 10)
	assert.Equal(t, unlogged, 100-10-9, "the nine after the last line are counted by the next one")
}
