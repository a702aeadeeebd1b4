package side

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/httpserver"
)

// Timeouts and resend limits of requests to the endpoint.
const (
	// endpointDialTimeout bounds dialling the endpoint, which is on this instance.
	endpointDialTimeout = time.Second
	// minResendDelay is the shortest time after which a repeatable request is resent on a fresh connection, because the
	// first one may be dead. Recovery must complete within 2 s.
	minResendDelay = 500 * time.Millisecond
	// resendServiceTimes is the number of mean service times after which a request is resent.
	resendServiceTimes = 10
	// outcomeGrace is how long past its deadline a non-repeatable request waits for the response, so that its outcome can
	// be queried later.
	outcomeGrace = 5 * time.Second
	// resendRatio and maxResendBudget define the resend budget: the budget that each request adds, and its upper bound.
	resendRatio     = 0.02
	maxResendBudget = 16
)

var (
	errAborted      = errors.New("the request was cut off by the limit of the shutdown order")
	errWrongRequest = errors.New("the answer names another request")
)

// answer is a complete response of the endpoint.
type answer struct {
	status int
	header [][2]string
	body   []byte
}

func (a *answer) size() int { return len(a.body) + 512 }

func (a *answer) write(c *app.RequestContext) {
	c.SetStatusCode(a.status)
	c.Response.Header.SetNoDefaultContentType(true)
	for _, h := range a.header {
		c.Response.Header.Add(h[0], h[1])
	}
	c.Response.SetBody(a.body)
}

// neverSent reports whether the error shows that no byte of the request reached the endpoint.
func neverSent(err error) bool { return errors.Is(err, httpserver.ErrNotSent) }

// sendResult is the result of one send to the endpoint.
type sendResult struct {
	ans *answer
	err error
}

// forward sends the request to the endpoint, with at most one resend, and returns the complete response.
func (s *Side) forward(ctx context.Context, c *app.RequestContext, a inboundAttempt) (*answer, error) {
	if !a.repeatable {
		// The endpoint may close a kept-alive connection just as the request is sent, which would leave the outcome unknown.
		return s.send(ctx, s.newEndpointRequest(c, s.nextAttemptID()), s.oneShotPool, a.deadline.Add(outcomeGrace))
	}
	s.creditResendBudget()
	first := s.nextAttemptID()
	req := s.newEndpointRequest(c, first)
	decided := make(chan *resend, 1)
	timer := time.AfterFunc(s.resendDelay(), func() { decided <- s.startResend(ctx, c, a, first) })
	// The request runs on this goroutine: a new one would start with a small stack, and growing it took a sixth of the
	// process's CPU time.
	ans, err := s.send(ctx, req, s.keepAlivePool, a.deadline)
	if timer.Stop() {
		return ans, err
	}
	second := <-decided
	switch {
	case second == nil || err == nil && !second.extra:
		return ans, err
	case !second.extra:
		var last error
		ans, last = s.send(ctx, s.newEndpointRequest(c, second.attemptID), s.keepAlivePool, a.deadline)
		return ans, lastSentError(last, err)
	}
	defer s.releaseSlot()
	if err == nil {
		s.keepAlivePool.Abort(second.attemptID)
		return ans, nil
	}
	r := <-second.result
	return r.ans, lastSentError(r.err, err)
}

// resend is the second attempt of a request.
type resend struct {
	attemptID string
	// extra is true if the resend has a slot of its own. Otherwise it is sent once the first attempt has ended.
	extra bool
	// result receives the result of a resend with a slot of its own.
	result chan sendResult
}

// startResend starts the second attempt if the resend budget allows it. The first attempt is aborted immediately if the
// second needs its slot, and otherwise once the second has its response.
func (s *Side) startResend(ctx context.Context, c *app.RequestContext, a inboundAttempt, first string) *resend {
	extra, ok := s.spendResendBudget()
	if !ok {
		return nil
	}
	// Idle connections may be dead as well.
	s.keepAlivePool.AbortIdle()
	r := &resend{attemptID: s.nextAttemptID(), extra: extra, result: make(chan sendResult, 1)}
	if !extra {
		s.keepAlivePool.Abort(first)
		return r
	}
	req := s.newEndpointRequest(c, r.attemptID)
	go func() {
		ans, err := s.send(ctx, req, s.keepAlivePool, a.deadline)
		r.result <- sendResult{ans, err}
		if err == nil {
			s.keepAlivePool.Abort(first)
		}
	}()
	return r
}

// lastSentError returns the error of a request of which all attempts failed: if the last one was not sent, an earlier one
// may still have run.
func lastSentError(last, earlier error) error {
	if last != nil && earlier != nil && neverSent(last) {
		return earlier
	}
	return last
}

// creditResendBudget adds the share of one request to the resend budget.
func (s *Side) creditResendBudget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resendBudget = min(maxResendBudget, s.resendBudget+resendRatio)
}

// spendResendBudget reports whether a resend is allowed, and deducts it from the budget. A draining endpoint gets none.
// extra is true if the resend got a slot of its own; otherwise it uses the slot of the first attempt.
func (s *Side) spendResendBudget() (extra, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resendBudget < 1 || s.slots.Draining() {
		return false, false
	}
	s.resendBudget--
	return s.slots.AcquireExtra(), true
}

func (s *Side) resendDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minResendDelay, resendServiceTimes*s.slots.ServiceTime())
}

func (s *Side) nextAttemptID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return strconv.FormatUint(s.nextID, 36)
}

// newEndpointRequest copies the caller's request for one attempt at the endpoint.
func (s *Side) newEndpointRequest(c *app.RequestContext, attemptID string) *protocol.Request {
	req := protocol.AcquireRequest()
	c.Request.Header.VisitAll(func(k, v []byte) {
		if !internalHeaders[string(k)] {
			req.Header.Add(string(k), string(v))
		}
	})
	req.SetMethod(string(c.Method()))
	req.SetRequestURI(s.cfg.EndpointURL + string(c.Request.URI().RequestURI()))
	req.Header.Set(httpserver.HeaderAttempt, attemptID)
	req.SetBody(c.Request.Body())
	return req
}

// send sends the request to the endpoint once.
func (s *Side) send(ctx context.Context, req *protocol.Request, pool *httpserver.Pool, deadline time.Time) (*answer, error) {
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := pool.Do(ctx, req, resp, deadline); err != nil {
		if s.isAborted() {
			err = fmt.Errorf("%w: %w", errAborted, err)
		}
		return nil, err
	}
	if echo := resp.Header.Peek(control.HeaderRequestID); len(echo) > 0 && string(echo) != string(req.Header.Peek(control.HeaderRequestID)) {
		return nil, errWrongRequest
	}
	a := &answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(k, v []byte) {
		if !internalHeaders[string(k)] && string(k) != control.HeaderRequestID {
			a.header = append(a.header, [2]string{string(k), string(v)})
		}
	})
	return a, nil
}
