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

// Times of the connections to the endpoint.
const (
	// endpointDial bounds a new connection to the endpoint, which is on this instance.
	endpointDial = time.Second
	// resendFloor is the shortest time after which a repeatable request is sent again on a fresh connection, because the
	// first one may have gone silent. Recovery has to end within 2 s.
	resendFloor = 500 * time.Millisecond
	// resendTimes is how many mean service times count as unusual.
	resendTimes = 10
	// outcomeGrace is how long the answer of a request that must not run twice is awaited beyond its deadline, so that
	// its outcome can be told later.
	outcomeGrace = 5 * time.Second
	// resendShare and resendReserve are the budget of second sendings: a share of requests, and how many may be saved up.
	resendShare   = 0.02
	resendReserve = 16
)

var (
	errCut     = errors.New("the request was cut off by the limit of the shutdown order")
	errForeign = errors.New("the answer names another request")
)

// answer is a whole answer of the endpoint.
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

// sent is the end of one sending to the endpoint.
type sent struct {
	ans *answer
	err error
}

// pass sends the request to the endpoint and returns the whole answer.
func (s *Side) pass(ctx context.Context, c *app.RequestContext, a arrival) (*answer, error) {
	if !a.repeatable {
		// A pooled connection may end just as the request is sent, which would leave the outcome unknown.
		return s.send(ctx, s.request(c, s.nextTry()), s.once, a.deadline.Add(outcomeGrace))
	}
	s.earnResend()
	first := s.nextTry()
	req := s.request(c, first)
	decided := make(chan *resend, 1)
	timer := time.AfterFunc(s.resendAfter(), func() { decided <- s.startResend(ctx, c, a, first) })
	// The request runs on this goroutine: one of its own would begin with a small stack, and growing it took a sixth of
	// the process's time.
	ans, err := s.send(ctx, req, s.endpoint, a.deadline)
	if timer.Stop() {
		return ans, err
	}
	second := <-decided
	switch {
	case second == nil || err == nil && !second.extra:
		return ans, err
	case !second.extra:
		var last error
		ans, last = s.send(ctx, s.request(c, second.try), s.endpoint, a.deadline)
		return ans, mayHaveRun(last, err)
	}
	defer s.cancel()
	if err == nil {
		s.endpoint.Abort(second.try)
		return ans, nil
	}
	r := <-second.ended
	return r.ans, mayHaveRun(r.err, err)
}

// resend is the second sending of a request.
type resend struct {
	try string
	// extra is true if it has a slot of its own. Otherwise it is sent once the first one has ended.
	extra bool
	// ended gets the outcome of one with a slot of its own.
	ended chan sent
}

// startResend begins the second sending if the budget allows one. The first is given up at once if the second needs its
// slot, and otherwise once the second was answered.
func (s *Side) startResend(ctx context.Context, c *app.RequestContext, a arrival, first string) *resend {
	extra, ok := s.takeResend()
	if !ok {
		return nil
	}
	// Idle connections may have gone silent with this one.
	s.endpoint.AbortIdle()
	r := &resend{try: s.nextTry(), extra: extra, ended: make(chan sent, 1)}
	if !extra {
		s.endpoint.Abort(first)
		return r
	}
	req := s.request(c, r.try)
	go func() {
		ans, err := s.send(ctx, req, s.endpoint, a.deadline)
		r.ended <- sent{ans, err}
		if err == nil {
			s.endpoint.Abort(first)
		}
	}()
	return r
}

// mayHaveRun returns the error of a request of which all sendings failed: one that was not sent does not show that an
// earlier one did not run.
func mayHaveRun(last, earlier error) error {
	if last != nil && earlier != nil && neverSent(last) {
		return earlier
	}
	return last
}

// earnResend counts a request towards the budget of second sendings.
func (s *Side) earnResend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resends = min(resendReserve, s.resends+resendShare)
}

// takeResend uses the budget of second sendings if it allows one. A leaving endpoint gets none. extra is true if it got a slot of its own; otherwise it
// takes the slot of the first.
func (s *Side) takeResend() (extra, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resends < 1 || s.slots.Draining() {
		return false, false
	}
	s.resends--
	return s.slots.Extra(), true
}

func (s *Side) resendAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(resendFloor, resendTimes*s.slots.ServiceTime())
}

func (s *Side) nextTry() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return strconv.FormatUint(s.nextID, 36)
}

// request copies the caller's request for one sending to the endpoint.
func (s *Side) request(c *app.RequestContext, try string) *protocol.Request {
	req := protocol.AcquireRequest()
	c.Request.Header.VisitAll(func(k, v []byte) {
		if !internalHeaders[string(k)] {
			req.Header.Add(string(k), string(v))
		}
	})
	req.SetMethod(string(c.Method()))
	req.SetRequestURI(s.set.EndpointURL + string(c.Request.URI().RequestURI()))
	req.Header.Set(httpserver.HeaderTry, try)
	req.SetBody(c.Request.Body())
	return req
}

// send sends the request to the endpoint once.
func (s *Side) send(ctx context.Context, req *protocol.Request, pool *httpserver.Pool, deadline time.Time) (*answer, error) {
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := pool.Do(ctx, req, resp, deadline); err != nil {
		if s.isCut() {
			err = fmt.Errorf("%w: %w", errCut, err)
		}
		return nil, err
	}
	if echo := resp.Header.Peek(control.HeaderRequestID); len(echo) > 0 && string(echo) != string(req.Header.Peek(control.HeaderRequestID)) {
		return nil, errForeign
	}
	a := &answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(k, v []byte) {
		if !internalHeaders[string(k)] && string(k) != control.HeaderRequestID {
			a.header = append(a.header, [2]string{string(k), string(v)})
		}
	})
	return a, nil
}
