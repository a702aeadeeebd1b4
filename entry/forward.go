package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/core/route"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// maxTries bounds the tries of one request. A try is one transmission of the request to one endpoint.
const maxTries = 4

// result is the outcome of a request or of one try.
type result struct {
	// status, header and body hold a complete response when err is nil.
	status int
	header [][2]string
	body   []byte
	// notRun is true if the request certainly did not run.
	notRun bool
	// pending is set if the request may still be running at an endpoint that can be queried for the outcome.
	pending *dispatch
	// connLost is true if the connection became unresponsive and the side process does not know the try.
	connLost bool
	err      error
}

// contentType returns the media type of the response.
func (r result) contentType() string {
	for _, h := range r.header {
		if h[0] == "Content-Type" {
			return h[1]
		}
	}
	return ""
}

// dispatch is one try: a request sent to one endpoint.
type dispatch struct {
	endpoint *members.Endpoint
	link     *link
	tryID    string
	// startID and expires are set for a request that must not run twice.
	startID string
	expires string
}

// tryEndpoints sends the request to endpoints until one responds. After a try in which the request may have run, it goes on
// only if repeat is true.
func (e *Entry) tryEndpoints(ctx context.Context, c *app.RequestContext, cl *call, repeat bool) result {
	exclude := make(map[string]bool)
	avoidZone := ""
	kind := core.FirstTry
	last := result{notRun: true, err: noEndpointError(cl.service)}
	for range maxTries {
		ep, hedgeAfter := e.pickEndpoint(cl.service, exclude, avoidZone, kind)
		if ep == nil {
			return last
		}
		exclude[ep.ID] = true
		if kind == core.RetryTry || kind == core.ResendTry {
			e.abortIdleConns(ep.Address)
		}
		var r result
		var outcome route.Outcome
		if repeat {
			r, outcome = e.tryHedged(ctx, c, cl, ep, hedgeAfter, exclude)
		} else {
			r, outcome = e.tryEndpoint(ctx, e.copyRequest(c, cl), cl, ep, nil)
		}
		if r.err == nil {
			return r
		}
		// Once the request may have run in one try, it may have run as a whole.
		r.notRun = r.notRun && last.notRun
		last = r
		if (!r.notRun && !repeat) || ctx.Err() != nil {
			return last
		}
		if outcome == route.Failed {
			avoidZone = ep.Zone
		}
		kind = core.RetryTry
		if r.connLost {
			// The endpoint is not at fault, and a new connection to it may be the only way to run the request.
			delete(exclude, ep.ID)
			kind, avoidZone = core.ResendTry, ""
		}
	}
	return last
}

// abortIdleConns makes the next try at the address open a new connection, since connections to several side processes may
// have become unresponsive at once.
func (e *Entry) abortIdleConns(address string) {
	if l, err := e.linkTo(address); err == nil {
		l.data.AbortIdle()
	}
}

func noEndpointError(service string) error {
	return errdefs.New(errdefs.Unavailable, fmt.Sprintf("no endpoint of %s can take the request", service), "try again after Retry-After")
}

func (e *Entry) pickEndpoint(service string, exclude map[string]bool, avoidZone string, kind core.TryKind) (*members.Endpoint, time.Duration) {
	effects := e.step(core.EndpointRequested{Service: service, Exclude: exclude, AvoidZone: avoidZone, Seed: rand.Uint64(), Kind: kind})
	for _, eff := range effects {
		if r, ok := eff.(core.Routed); ok {
			return r.Endpoint, r.HedgeAfter
		}
	}
	return nil, 0
}

// tryEndpoint sends the request to one endpoint and reports the outcome to the router.
func (e *Entry) tryEndpoint(ctx context.Context, req *protocol.Request, cl *call, ep *members.Endpoint, abandoned *atomic.Bool) (result, route.Outcome) {
	defer protocol.ReleaseRequest(req)
	start := time.Now()
	r, outcome := e.send(ctx, req, cl, ep)
	if abandoned != nil && abandoned.Load() {
		outcome = route.Slow
	}
	e.step(core.TryEnded{Endpoint: ep.ID, Outcome: outcome, Took: time.Since(start)})
	return r, outcome
}

// send prepares the headers of the request and sends it to one endpoint.
func (e *Entry) send(ctx context.Context, req *protocol.Request, cl *call, ep *members.Endpoint) (result, route.Outcome) {
	l, err := e.linkTo(ep.Address)
	if err != nil {
		return result{notRun: true, err: err}, route.Failed
	}
	l.observeIncarnation(ep.Incarnation)
	d := &dispatch{endpoint: ep, link: l, tryID: e.nextTryID()}
	if !cl.repeatable {
		if err := l.ensureClock(ctx); err != nil {
			return result{notRun: true, err: errdefs.New(errdefs.Unavailable, err.Error(), "try again after Retry-After")}, route.Failed
		}
		d.startID = d.tryID
		if cl.key != "" {
			d.startID = cl.customer + "/" + cl.key
		}
		req.Header.Set(control.HeaderStart, d.startID)
	}
	remaining := time.Until(cl.deadline)
	if remaining <= 0 {
		return result{notRun: true, err: deadlineError()}, route.Refused
	}
	if d.expires = l.sideDeadline(cl.deadline); d.expires != "" {
		req.Header.Set(control.HeaderExpires, d.expires)
	}
	req.Header.Set(control.HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.Header.Set(httpserver.HeaderAttempt, d.tryID)
	req.SetRequestURI("http://" + ep.Address + cl.uri)
	return e.roundTrip(ctx, req, cl, d)
}

// roundTrip sends a prepared request and reads the response.
func (e *Entry) roundTrip(ctx context.Context, req *protocol.Request, cl *call, d *dispatch) (result, route.Outcome) {
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	endTry := d.link.beginTry(d.tryID)
	stop := context.AfterFunc(ctx, func() { d.link.data.Abort(d.tryID) })
	err := d.link.data.Do(ctx, req, resp, cl.deadline)
	stop()
	connLost := endTry()
	if errors.Is(err, httpserver.ErrBusy) {
		return result{notRun: true, err: noEndpointError(cl.service)}, route.Refused
	}
	if errors.Is(err, httpserver.ErrNotSent) {
		return result{notRun: true, err: errdefs.New(errdefs.Unavailable, "no connection to "+d.endpoint.ID, "try again after Retry-After")}, route.Failed
	}
	if err == nil && string(resp.Header.Peek(control.HeaderRequestID)) != cl.id && !e.ignoreEcho {
		e.log.Log(logevent.ForeignAnswer, logevent.Str("endpoint", d.endpoint.ID))
		d.link.data.AbortIdle()
		err = errors.New("the answer belongs to another request")
	}
	if err != nil {
		r := result{err: lostAnswerError(d.endpoint.ID, err), connLost: connLost}
		if d.startID != "" {
			r = e.queryOutcome(ctx, cl, d, r)
		}
		switch {
		case r.err == nil:
			return r, route.Answered
		case r.connLost:
			return r, route.Abandoned
		}
		return r, route.Failed
	}
	return e.readResponse(ctx, resp, cl, d)
}

// readResponse interprets the response of a side process.
func (e *Entry) readResponse(ctx context.Context, resp *protocol.Response, cl *call, d *dispatch) (result, route.Outcome) {
	e.reportLoad(resp, d)
	if string(resp.Header.Peek(control.HeaderNotRun)) == "true" {
		return result{notRun: true, err: sideRefusalError(string(resp.Header.Peek(control.HeaderReason)))}, route.Refused
	}
	switch string(resp.Header.Peek(control.HeaderOutcome)) {
	case "":
	case "running":
		return e.queryOutcome(ctx, cl, d, result{err: lostAnswerError(d.endpoint.ID, errors.New("it runs already"))}), route.Failed
	default:
		return result{err: lostAnswerError(d.endpoint.ID, errors.New("the endpoint gave no whole answer"))}, route.Failed
	}
	e.metrics.zoneAnswers.Add(1, cl.service, d.endpoint.Zone)
	return completeResult(resp), route.Answered
}

func (e *Entry) reportLoad(resp *protocol.Response, d *dispatch) {
	d.link.recordClock(string(resp.Header.Peek(control.HeaderClock)))
	free, err := strconv.Atoi(string(resp.Header.Peek(control.HeaderSlots)))
	if err != nil {
		return
	}
	queue, err := strconv.Atoi(string(resp.Header.Peek(control.HeaderQueue)))
	if err != nil {
		return
	}
	e.step(core.LoadReported{Endpoint: d.endpoint.ID, Free: free, Queue: queue})
}

func completeResult(resp *protocol.Response) result {
	r := result{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(k, v []byte) {
		if !droppedAnswerHeaders[string(k)] {
			r.header = append(r.header, [2]string{string(k), string(v)})
		}
	})
	return r
}

// sideRefusalError returns the error for a refusal reason sent by a side process.
func sideRefusalError(reason string) error {
	switch reason {
	case "over_limit":
		return errdefs.New(errdefs.Refused, "the customer has too many requests in progress at the endpoint", "wait for Retry-After")
	case "too_late":
		return errdefs.New(errdefs.Unavailable, "the endpoint cannot answer by the deadline", "try again after Retry-After, or send a longer X-Deadline-Ms")
	}
	return errdefs.New(errdefs.Unavailable, "the endpoint refused the request: "+reason, "try again after Retry-After")
}

func deadlineError() error {
	return errdefs.New(errdefs.Unavailable, "the deadline has passed", "send a longer X-Deadline-Ms")
}

func lostAnswerError(endpoint string, err error) error {
	return errdefs.New(errdefs.Unknown, fmt.Sprintf("no whole answer from %s: %v", endpoint, err), "ask for the outcome before sending it again")
}

// nextTryID returns an id for one try, unique across entries and restarts.
func (e *Entry) nextTryID() string {
	return e.set.ID + "-" + strconv.FormatUint(e.incarnation, 36) + "-" + strconv.FormatUint(e.attemptSeq.Add(1), 36)
}
