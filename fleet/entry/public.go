package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
)

const (
	// answerMargin is subtracted from the caller's timeout for the transfer of the response.
	answerMargin = 150 * time.Millisecond
	// defaultWait is the assumed timeout of a caller that sends none.
	defaultWait = 3 * time.Second
	// refusedRetryTimeout is how long a submission is retried while the store definitely refuses it. A caller that is refused
	// early can try another entry.
	refusedRetryTimeout = 250 * time.Millisecond
	// maxViewAgeMs is the maximum age of the view for counting jobs: an entry that could not load the jobs yet would report
	// an empty queue. Reads complete at least once a second.
	maxViewAgeMs = 3000
	// storeDownAfterMs is how long calls, direct and through other entries, must have failed for the store to count as down.
	// Single failures are shorter.
	storeDownAfterMs = 500
	// storeDownPoll is the interval at which an attempt checks whether the store is down.
	storeDownPoll = 50 * time.Millisecond
	// submitRetry is the pause between attempts to store a submission.
	submitRetry = 60 * time.Millisecond
	// retryAfterSeconds is the Retry-After of requests that are refused for another reason than the backlog. The load balancer
	// takes an entry without the store out of rotation within two seconds. These refusals are spread over an outage as their
	// requests are, so that a constant does not bring the callers back together.
	retryAfterSeconds = 1
	// maxStateAgeMs is the age of the schedule beyond which it is read again before the state of an unfinished job is told:
	// callers wait for that job to end.
	maxStateAgeMs = 20
	// stateRefreshTimeout bounds that read. A slow store costs the caller no more.
	stateRefreshTimeout = 200 * time.Millisecond
	// lookupTimeoutMs bounds the read of the store before a job is reported as unknown.
	lookupTimeoutMs = 1500
)

// servePublic serves requests of callers.
func (e *Entry) servePublic(ctx context.Context, c *app.RequestContext) {
	began := time.Now()
	method := string(c.Method())
	if e.stopping.Load() {
		c.Response.SetConnectionClose()
	}
	select {
	case e.requests <- struct{}{}:
		defer func() { <-e.requests }()
		e.dispatchRequest(ctx, c, method, string(c.Path()))
	default:
		e.refuse(c, http.StatusServiceUnavailable, "", "too many requests are in progress; come back after the time given")
	}
	e.meters.request.Record(time.Since(began), callName(method), strconv.Itoa(c.Response.StatusCode()))
}

func callName(method string) string {
	switch method {
	case http.MethodPost:
		return "submit"
	case http.MethodDelete:
		return "cancel"
	}
	return "ask"
}

func (e *Entry) dispatchRequest(ctx context.Context, c *app.RequestContext, method, path string) {
	cfg := e.config.Load()
	if cfg == nil {
		e.refuse(c, http.StatusServiceUnavailable, "", "no configuration is known yet; come back soon")
		return
	}
	q := route(cfg, string(c.Host()), path)
	if q == nil {
		answer(c, http.StatusNotFound, platform.EncodeError("no such queue; check host and path"))
		return
	}
	id := strings.TrimPrefix(path, q.Prefix)
	switch {
	case method == http.MethodGet && id == "":
		e.serveQueueLength(ctx, c, q)
	case method == http.MethodPost:
		e.submit(ctx, c, cfg, q, id)
	case method == http.MethodGet:
		e.serveState(ctx, c, id)
	case method == http.MethodDelete:
		e.cancel(ctx, c, q, id)
	default:
		answer(c, http.StatusMethodNotAllowed, platform.EncodeError("use POST, GET or DELETE"))
	}
}

// route returns the queue with the longest matching path prefix, or nil.
func route(cfg *work.Config, host, path string) *work.Queue {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	var best *work.Queue
	for i := range cfg.Queues {
		q := &cfg.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

func answer(c *app.RequestContext, status int, body []byte) {
	c.SetStatusCode(status)
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
}

// refuse responds to a request that was not carried out.
func (e *Entry) refuse(c *app.RequestContext, status int, id, reason string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	e.log.Log(logevent.JobRefused, logevent.Str("job", id), logevent.Int("status", status), logevent.Str("reason", reason),
		logevent.Int("store_age_ms", e.jobs.ageMs()))
	answer(c, status, platform.EncodeError(reason))
}

// deadline returns when the caller's timeout expires, less a margin.
func deadline(c *app.RequestContext, q *work.Queue) time.Time {
	wait := defaultWait
	if q.TimeoutMs > 0 {
		wait = time.Duration(q.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(string(c.GetHeader(platform.HeaderDeadline)), 10, 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	return time.Now().Add(max(wait-answerMargin, answerMargin))
}

// viewFresh reports whether jobs and their progress were read recently.
func (e *Entry) viewFresh() bool {
	return e.jobs.ageMs() <= maxViewAgeMs && (e.schedule.ageMs() <= maxViewAgeMs || e.deciding.Load() != 0)
}

// storeDown reports whether all calls of this entry about jobs, direct or through other entries, have failed for longer
// than storeDownAfterMs.
func (e *Entry) storeDown() bool { return e.relay.failingForMs(work.TopicJobs) > storeDownAfterMs }

// submit stores a job and responds with its state.
func (e *Entry) submit(ctx context.Context, c *app.RequestContext, cfg *work.Config, q *work.Queue, id string) {
	if !work.ValidID(id) {
		e.refuse(c, http.StatusBadRequest, id, "the id of a job has 16 hexadecimal digits; send one")
		return
	}
	if cfg.MaxBody > 0 && len(c.Request.Body()) > cfg.MaxBody {
		e.refuse(c, http.StatusRequestEntityTooLarge, id, "the body is larger than "+strconv.Itoa(cfg.MaxBody)+" bytes; send less")
		return
	}
	job, err := platform.DecodeJob(id, c.Request.Body())
	if err != nil {
		e.refuse(c, http.StatusBadRequest, id, err.Error())
		return
	}
	if e.answerKnown(c, id) {
		return
	}
	if e.storeDown() {
		// The submission could not be stored now. Refusing it before an attempt keeps its outcome known.
		e.refuse(c, http.StatusServiceUnavailable, id, "the store is away; come back after the time given")
		return
	}
	if d := e.decideAdmission(job, q); d.Refused && e.refreshKnown(ctx, id) {
		if !e.answerKnown(c, id) {
			e.refuseAdmission(c, id, q, &d)
		}
		return
	}
	e.attempts.begin(id, clock.BootMs())
	job.Queue, job.AcceptedMs = *q, clock.WallMs()
	rec := work.Record{Key: work.PrefixSubmission + id, Value: work.Encode(job)}
	err = e.storeRecord(ctx, rec, deadline(c, q))
	e.attempts.end(id, err)
	e.answerStored(c, id, logevent.JobAccepted, err, platform.EncodeJobState(work.Queued))
}

// answerKnown responds with the state of a job that was accepted before, and reports whether it was.
func (e *Entry) answerKnown(c *app.RequestContext, id string) bool {
	state, known := e.view.get(id)
	if known {
		e.log.Log(logevent.JobAccepted, logevent.Str("job", id), logevent.Str("outcome", "known before"), logevent.Str("state", state.String()))
		answer(c, http.StatusOK, platform.EncodeJobState(state))
	}
	return known
}

// answerStored responds according to the result of storing the request's record.
func (e *Entry) answerStored(c *app.RequestContext, id string, event logevent.Event, err error, body []byte) {
	switch {
	case err == nil:
		e.log.Log(event, logevent.Str("job", id), logevent.Str("outcome", "stored"))
		answer(c, http.StatusOK, body)
	case work.NotAppended(err):
		e.refuse(c, http.StatusServiceUnavailable, id, "the store does not take it; come back after the time given")
	default:
		e.log.Log(logevent.JobUnknown, logevent.Str("job", id), logevent.Err(err))
		answer(c, http.StatusGatewayTimeout, platform.EncodeError("it is unknown whether it was stored; send it again with the same id"))
	}
}

// storeRecord appends a record and retries until the store has accepted it, is down, or the time is up. The record may
// be stored twice, which has no further effect. An error of kind Unavailable guarantees that it was not stored.
func (e *Entry) storeRecord(ctx context.Context, rec work.Record, until time.Time) error {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	unknown := error(nil)
	for {
		err := e.tryStore(ctx, rec)
		if err == nil {
			return nil
		}
		if errdefs.KindOf(err) != errdefs.Unavailable {
			unknown = err
		}
		now := time.Now()
		if unknown == nil && now.Sub(began) > refusedRetryTimeout {
			return err
		}
		if now.Add(submitRetry).After(until) || e.storeDown() {
			if unknown != nil {
				return unknown
			}
			return err
		}
		clock.Sleep(ctx, submitRetry)
	}
}

// tryStore makes one attempt to store a record. It cancels the attempt once the store is down: attempts through other
// entries may last until the caller's deadline.
func (e *Entry) tryStore(ctx context.Context, rec work.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, storeDownPoll)
			if e.storeDown() {
				cancel()
			}
		}
	}()
	_, err := e.store.Append(ctx, work.Append{Topic: work.TopicJobs, Records: []work.Record{rec}})
	return err
}

// lookUpJob returns a job's state, after a read of the store if the job is not in the view. An error means that the store
// could not be read.
func (e *Entry) lookUpJob(ctx context.Context, id string) (work.JobState, bool, error) {
	if state, ok := e.view.get(id); ok {
		return state, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeoutMs*time.Millisecond)
	defer cancel()
	if err := e.jobs.refresh(ctx); err != nil {
		return 0, false, err
	}
	state, ok := e.view.get(id)
	return state, ok, nil
}

// refreshView reads the jobs and their progress to the end if they were not read recently, as when the entry has just
// started. It does not try while the store is down.
func (e *Entry) refreshView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeoutMs*time.Millisecond)
	defer cancel()
	for _, r := range []*topicReader{e.jobs, e.schedule} {
		if r.ageMs() <= maxViewAgeMs {
			continue
		}
		if e.storeDown() || r.refresh(ctx) != nil {
			return // the caller checks viewFresh
		}
	}
}

// serveQueueLength responds with the number of jobs of a queue of which no task has started.
func (e *Entry) serveQueueLength(ctx context.Context, c *app.RequestContext, q *work.Queue) {
	if !e.viewFresh() {
		e.refreshView(ctx)
	}
	if !e.viewFresh() {
		e.refuse(c, http.StatusServiceUnavailable, "", "the store was not read lately; come back after the time given")
		return
	}
	answer(c, http.StatusOK, platform.EncodeQueueLength(e.view.pending(q.Name)))
}

// refreshSchedule reads the schedule again if the entry is not the decider, whose schedule is always current. After a
// failure the caller is told what was read before.
func (e *Entry) refreshSchedule(ctx context.Context) {
	if e.deciding.Load() != 0 || e.schedule.ageMs() <= maxStateAgeMs || e.storeDown() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateRefreshTimeout)
	defer cancel()
	_ = e.schedule.refreshShared(ctx)
}

// serveState responds with a job's state.
func (e *Entry) serveState(ctx context.Context, c *app.RequestContext, id string) {
	state, ok, err := e.lookUpJob(ctx, id)
	if err == nil && ok && !state.Final() {
		e.refreshSchedule(ctx)
		state, ok = e.view.get(id)
	}
	switch {
	case err != nil:
		e.refuse(c, http.StatusServiceUnavailable, id, "the store does not answer; come back after the time given")
	case !ok:
		answer(c, http.StatusGone, platform.EncodeError("no such job"))
	default:
		answer(c, http.StatusOK, platform.EncodeJobState(state))
	}
}

// cancel stores a cancellation and responds with the job's state. It is also stored for an unknown job that this entry may still be
// storing: the submission takes effect after it then, and the job never starts.
func (e *Entry) cancel(ctx context.Context, c *app.RequestContext, q *work.Queue, id string) {
	state, ok, err := e.lookUpJob(ctx, id)
	switch {
	case err != nil:
		e.refuse(c, http.StatusServiceUnavailable, id, "the store does not answer; come back after the time given")
	case !ok && !e.attempts.has(id, clock.BootMs()):
		answer(c, http.StatusGone, platform.EncodeError("no such job"))
	case ok && state.Final():
		answer(c, http.StatusOK, platform.EncodeJobState(state))
	default:
		rec := work.Record{Key: work.PrefixCancellation + id, Value: []byte{1}}
		e.answerStored(c, id, logevent.JobCancelled, e.storeRecord(ctx, rec, deadline(c, q)), platform.EncodeJobState(work.Cancelled))
	}
}
