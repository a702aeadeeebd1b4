package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/control"
)

// Times of questions about a request that must not run twice.
const (
	// outcomeQueryTimeout bounds one question; the side process holds it back for up to a second.
	outcomeQueryTimeout = 1500 * time.Millisecond
	// outcomeQueryInterval is the time between questions.
	outcomeQueryInterval = 50 * time.Millisecond
	// resolveTimeout is how long an entry goes on asking after the caller's deadline, to record the outcome.
	resolveTimeout = 10 * time.Second
)

// queryOutcome asks the side process for the outcome of a sending whose answer was lost, until the deadline. lost is the
// result if there is none.
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

// queryOnce asks once. It reports whether the outcome is final: a whole answer, certainly not run, or certainly not to be known.
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

// resolveOutcome goes on asking after the caller's deadline and records the outcome, so that the caller can ask for it.
func (e *Entry) resolveOutcome(cl *call, nonce uint64, d *dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	limit := time.Now().Add(resolveTimeout)
	for ctx.Err() == nil {
		if r, final := d.queryOnce(ctx, cl, limit); final {
			if r.err == nil || r.notRun {
				e.recordAnswer(cl, nonce, r)
			}
			return
		}
		time.Sleep(outcomeQueryInterval)
	}
}
