package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/control"
)

// Times of outcome queries about a request that must not run twice.
const (
	// outcomeQueryTimeout bounds one query; the side process delays its response by up to 1 s while the request runs.
	outcomeQueryTimeout = 1500 * time.Millisecond
	// outcomeQueryInterval is the time between queries.
	outcomeQueryInterval = 50 * time.Millisecond
	// resolveTimeout is how long an entry queries after the caller's deadline, to record the outcome.
	resolveTimeout = 10 * time.Second
)

// queryOutcome queries the side process until the deadline for the outcome of a try whose response was lost. lost is the
// result to return if there is no final outcome.
func (e *Entry) queryOutcome(ctx context.Context, cl *call, d *dispatch, lost result) result {
	for ctx.Err() == nil && time.Now().Before(cl.deadline) {
		r, final := d.queryOnce(ctx, cl, cl.deadline)
		if final {
			return r
		}
		select {
		case <-time.After(outcomeQueryInterval):
		case <-ctx.Done():
		}
	}
	lost.pending = d
	return lost
}

// queryOnce sends one query. It reports whether the outcome is final: a complete response, certainly not run, or never known.
func (d *dispatch) queryOnce(ctx context.Context, cl *call, deadline time.Time) (result, bool) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.link.address + "/-/start")
	req.Header.Set(control.HeaderStart, d.startID)
	req.Header.Set(control.HeaderExpires, d.expires)
	req.Header.Set(control.HeaderRequestID, cl.id)
	if limit := time.Now().Add(outcomeQueryTimeout); limit.Before(deadline) {
		deadline = limit
	}
	if err := d.link.pings.Do(ctx, req, resp, deadline); err != nil {
		d.link.pings.AbortIdle()
		return result{}, false
	}
	if string(resp.Header.Peek(control.HeaderRequestID)) != cl.id {
		return result{}, false
	}
	if string(resp.Header.Peek(control.HeaderNotRun)) == "true" {
		return result{notRun: true, err: sideRefusalError(string(resp.Header.Peek(control.HeaderReason)))}, true
	}
	switch string(resp.Header.Peek(control.HeaderOutcome)) {
	case "":
		return completeResult(resp), true
	case "running":
		return result{}, false
	}
	return result{err: lostAnswerError(d.endpoint.ID, errors.New("the side process does not know the outcome"))}, true
}

// resolveOutcome queries the outcome after the caller's deadline and records it, so that the caller can look it up.
func (e *Entry) resolveOutcome(cl *call, nonce uint64, d *dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	deadline := time.Now().Add(resolveTimeout)
	for ctx.Err() == nil {
		if r, final := d.queryOnce(ctx, cl, deadline); final {
			if r.err == nil || r.notRun {
				e.recordAnswer(cl, nonce, r)
			}
			return
		}
		time.Sleep(outcomeQueryInterval)
	}
}
