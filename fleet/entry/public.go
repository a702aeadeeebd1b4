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
	// answerMargin is taken off the time that a caller waits, for the way back to it.
	answerMargin = 150 * time.Millisecond
	// defaultWait is how long a caller is taken to wait if it does not say so.
	defaultWait = 3 * time.Second
	// refusePatience is how long a submission is tried while the store certainly does not take it. A caller that is told
	// at once can go to another entry.
	refusePatience = 250 * time.Millisecond
	// countAgeMs is the age of the view from which it is not counted for callers: an entry that could not load it yet would
	// say that no job waits. Reads are answered every second at least.
	countAgeMs = 3000
	// awayMs is how long calls must have failed, directly and through other entries, for the store to count as away. Single
	// failures are over sooner.
	awayMs = 500
	// awayLook is the time between looks at whether the store is away during an attempt.
	awayLook = 50 * time.Millisecond
	// submitRetry is the pause between attempts to store a submission.
	submitRetry = 60 * time.Millisecond
	// retryAfterSeconds is when a refused caller is asked to return. The balancer takes an entry without the store out of
	// rotation within two seconds.
	retryAfterSeconds = 1
	// staleMs is the age of the view from which an unknown job is not called unknown to its caller.
	staleMs = 1500
)

// servePublic answers callers.
func (e *Entry) servePublic(ctx context.Context, c *app.RequestContext) {
	began := time.Now()
	method := string(c.Method())
	if e.stopping.Load() {
		c.Response.SetConnectionClose()
	}
	e.dispatchRequest(ctx, c, method, string(c.Path()))
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
		answer(c, http.StatusNotFound, platform.Problem("no such queue; check host and path"))
		return
	}
	id := strings.TrimPrefix(path, q.Prefix)
	switch {
	case method == http.MethodGet && id == "" && !e.viewFresh():
		e.refuse(c, http.StatusServiceUnavailable, "", "the store was not read lately; come back after the time given")
	case method == http.MethodGet && id == "":
		answer(c, http.StatusOK, platform.QueueLength(e.view.pending(q.Name)))
	case method == http.MethodPost:
		e.submit(ctx, c, cfg, q, id)
	case method == http.MethodGet:
		e.ask(ctx, c, id)
	case method == http.MethodDelete:
		e.cancel(ctx, c, q, id)
	default:
		answer(c, http.StatusMethodNotAllowed, platform.Problem("use POST, GET or DELETE"))
	}
}

// route returns the queue with the longest prefix of the path, or nil.
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

// refuse answers a request that was not run.
func (e *Entry) refuse(c *app.RequestContext, status int, id, reason string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	e.log.Log(logevent.JobRefused, logevent.Str("job", id), logevent.Int("status", status), logevent.Str("reason", reason),
		logevent.Int("store_age_ms", e.jobs.ageMs()))
	answer(c, status, platform.Problem(reason))
}

// deadline returns until when the caller waits for its answer.
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

// viewFresh reports whether jobs and their progress were read lately.
func (e *Entry) viewFresh() bool {
	return e.jobs.ageMs() <= countAgeMs && (e.sched.ageMs() <= countAgeMs || e.deciding.Load() != 0)
}

// storeAway reports whether the store has answered no call of this entry about jobs for a while, neither directly nor through
// others.
func (e *Entry) storeAway() bool { return e.relay.lostForMs(work.TopicJobs) > awayMs }

// submit stores a job and says so.
func (e *Entry) submit(ctx context.Context, c *app.RequestContext, cfg *work.Config, q *work.Queue, id string) {
	if !work.ValidID(id) {
		e.refuse(c, http.StatusBadRequest, id, "the id of a job has 16 hexadecimal digits; send one")
		return
	}
	if cfg.MaxBody > 0 && len(c.Request.Body()) > cfg.MaxBody {
		e.refuse(c, http.StatusRequestEntityTooLarge, id, "the body is larger than "+strconv.Itoa(cfg.MaxBody)+" bytes; send less")
		return
	}
	job, err := platform.Job(id, c.Request.Body())
	if err != nil {
		e.refuse(c, http.StatusBadRequest, id, err.Error())
		return
	}
	if state, known := e.view.get(id); known {
		e.log.Log(logevent.JobAccepted, logevent.Str("job", id), logevent.Str("outcome", "known before"), logevent.Str("state", state.String()))
		answer(c, http.StatusOK, platform.JobState(state))
		return
	}
	if e.storeAway() {
		// It cannot be stored now, so it is refused before an attempt could make its fate unknown.
		e.refuse(c, http.StatusServiceUnavailable, id, "the store is away; come back after the time given")
		return
	}
	job.Queue, job.AcceptedMs = *q, clock.WallMs()
	rec := work.Record{Key: work.PrefixSubmission + id, Value: work.Encode(job)}
	e.answerStored(c, id, logevent.JobAccepted, e.keep(ctx, rec, deadline(c, q)), platform.JobState(work.Queued))
}

// answerStored answers a request by whether its record was stored.
func (e *Entry) answerStored(c *app.RequestContext, id string, event logevent.Event, err error, body []byte) {
	switch {
	case err == nil:
		e.log.Log(event, logevent.Str("job", id), logevent.Str("outcome", "stored"))
		answer(c, http.StatusOK, body)
	case work.NotDone(err):
		e.refuse(c, http.StatusServiceUnavailable, id, "the store does not take it; come back after the time given")
	default:
		e.log.Log(logevent.JobUnknown, logevent.Str("job", id), logevent.Err(err))
		answer(c, http.StatusGatewayTimeout, platform.Problem("it is unknown whether it was stored; send it again with the same id"))
	}
}

// keep appends a record until the store has it, or is known to be away. It may be stored twice, which has no further effect. An error of kind
// Unavailable means that no attempt can have stored it.
func (e *Entry) keep(ctx context.Context, rec work.Record, until time.Time) error {
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
		if unknown == nil && now.Sub(began) > refusePatience {
			return err
		}
		if now.Add(submitRetry).After(until) || e.storeAway() {
			if unknown != nil {
				return unknown
			}
			return err
		}
		clock.Sleep(ctx, submitRetry)
	}
}

// tryStore makes one attempt to store a record, which is given up once the store is known to be away: attempts through other
// entries may last until the caller's deadline.
func (e *Entry) tryStore(ctx context.Context, rec work.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, awayLook)
			if e.storeAway() {
				cancel()
			}
		}
	}()
	_, err := e.store.Append(ctx, work.Append{Topic: work.TopicJobs, Records: []work.Record{rec}})
	return err
}

// known returns a job's state after a fresh look at the store if it is unknown here. An error means that the store could
// not be asked.
func (e *Entry) known(ctx context.Context, id string) (work.JobState, bool, error) {
	if state, ok := e.view.get(id); ok {
		return state, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, staleMs*time.Millisecond)
	defer cancel()
	if err := e.jobs.refresh(ctx); err != nil {
		return 0, false, err
	}
	state, ok := e.view.get(id)
	return state, ok, nil
}

// ask answers with a job's state.
func (e *Entry) ask(ctx context.Context, c *app.RequestContext, id string) {
	state, ok, err := e.known(ctx, id)
	switch {
	case err != nil:
		e.refuse(c, http.StatusServiceUnavailable, id, "the store does not answer; come back after the time given")
	case !ok:
		answer(c, http.StatusGone, platform.Problem("no such job"))
	default:
		answer(c, http.StatusOK, platform.JobState(state))
	}
}

// cancel stores a cancellation and says so.
func (e *Entry) cancel(ctx context.Context, c *app.RequestContext, q *work.Queue, id string) {
	state, ok, err := e.known(ctx, id)
	switch {
	case err != nil:
		e.refuse(c, http.StatusServiceUnavailable, id, "the store does not answer; come back after the time given")
	case !ok:
		answer(c, http.StatusGone, platform.Problem("no such job"))
	case state.Final():
		answer(c, http.StatusOK, platform.JobState(state))
	default:
		rec := work.Record{Key: work.PrefixCancellation + id, Value: []byte{1}}
		e.answerStored(c, id, logevent.JobCancelled, e.keep(ctx, rec, deadline(c, q)), platform.JobState(work.Cancelled))
	}
}
