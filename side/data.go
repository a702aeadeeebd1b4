package side

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/core/slots"
)

// Headers between entries and side processes.
const (
	headerDeadline  = "X-Deadline-Ms"
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
	headerReason    = "X-Reason"
	headerOutcome   = "X-Outcome"
	headerSlots     = "X-Slots-Free"
	headerQueue     = "X-Queue"
)

// defaultDeadline applies to a request that names none.
const defaultDeadline = 10 * time.Second

func (s *Side) routeData() {
	s.data.GET("/-/ping", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	s.routeOwn()
	s.data.NoRoute(s.measured)
}

// serve passes a request to the endpoint once it has a slot, and returns the whole answer or none.
func (s *Side) serve(ctx context.Context, c *app.RequestContext) {
	arrived := time.Now()
	deadline := arrived.Add(defaultDeadline)
	if ms, err := strconv.ParseInt(string(c.GetHeader(headerDeadline)), 10, 64); err == nil && ms > 0 {
		deadline = arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	c.Response.Header.Set(headerRequestID, string(c.GetHeader(headerRequestID)))
	if refusal := s.enter(ctx, deadline); refusal != "" {
		s.notRun(c, refusal)
		return
	}
	started := time.Now()
	err := s.pass(ctx, c, deadline)
	s.leave(time.Since(started))
	s.load(c)
	if err != nil {
		c.Response.Header.Set(headerOutcome, "unknown")
		c.SetStatusCode(502)
		c.SetBodyString(err.Error())
	}
}

func (s *Side) notRun(c *app.RequestContext, refusal slots.Refusal) {
	s.load(c)
	c.Response.Header.Set(headerNotRun, "true")
	c.Response.Header.Set(headerReason, string(refusal))
	c.SetStatusCode(503)
}

// enter waits for a slot. It returns why the request was refused, or nothing.
func (s *Side) enter(ctx context.Context, deadline time.Time) slots.Refusal {
	s.mu.Lock()
	if !s.endpointUp {
		s.mu.Unlock()
		return "endpoint_down"
	}
	s.nextID++
	id := s.nextID
	admission, refusal := s.slots.Arrive(s.now(), id, deadline.Sub(s.start))
	if admission == slots.Run {
		s.mu.Unlock()
		return ""
	}
	if admission == slots.Refuse {
		s.mu.Unlock()
		return refusal
	}
	granted := make(chan slots.Refusal, 1)
	s.waiters[id] = granted
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-granted:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.giveUp(id, granted)
}

// giveUp leaves the queue. A slot that was granted meanwhile is passed on.
func (s *Side) giveUp(id uint64, granted chan slots.Refusal) slots.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-granted:
		if r == "" {
			s.grant(s.slots.Finish(s.now(), s.slots.ServiceTime()))
		}
	default:
		delete(s.waiters, id)
		s.grant(s.slots.Abandon(s.now(), id))
	}
	return slots.TooLate
}

// leave frees a slot.
func (s *Side) leave(took time.Duration) {
	s.mu.Lock()
	s.grant(s.slots.Finish(s.now(), took))
	drained := s.slots.Drained()
	s.mu.Unlock()
	if drained {
		s.kickAnnounce()
	}
}

// grant tells waiting requests what was decided. The lock is held.
func (s *Side) grant(grants []slots.Grant) {
	for _, g := range grants {
		if ch := s.waiters[g.ID]; ch != nil {
			delete(s.waiters, g.ID)
			ch <- g.Refusal
		}
	}
}

// load tells the entry what the endpoint can take.
func (s *Side) load(c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Response.Header.Set(headerSlots, strconv.Itoa(s.slots.Free()))
	c.Response.Header.Set(headerQueue, strconv.Itoa(s.slots.Queued()))
}

// pass sends the request to the endpoint and copies the whole answer.
func (s *Side) pass(ctx context.Context, c *app.RequestContext, deadline time.Time) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.Request.CopyTo(req)
	uri := s.set.EndpointURL + string(c.Request.URI().Path())
	if q := c.Request.URI().QueryString(); len(q) > 0 {
		uri += "?" + string(q)
	}
	req.SetRequestURI(uri)
	req.Header.SetHost("")
	req.Header.Del(headerDeadline)
	req.SetBody(c.Request.Body())
	if err := s.endpoint.DoDeadline(ctx, req, resp, deadline); err != nil {
		return err
	}
	c.SetStatusCode(resp.StatusCode())
	c.Response.Header.SetContentType(string(resp.Header.ContentType()))
	c.Response.SetBody(append([]byte(nil), resp.Body()...))
	return nil
}
