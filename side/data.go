package side

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/slots"
	"github.com/verbenakeel/verbenakeel/httpserver"
)

// defaultDeadline applies to a request without a deadline.
const defaultDeadline = 10 * time.Second

// Reasons for refusals in addition to those of package slots.
const (
	refusedDown         slots.Refusal = "endpoint_down"
	refusedRestarted    slots.Refusal = "side_restarted"
	refusedQueriedFirst slots.Refusal = "asked_before_it_arrived"
	refusedTooMany      slots.Refusal = "too_many_remembered"
)

func (s *Side) routeData() {
	s.data.GET("/-/ping", s.ping)
	s.data.GET("/-/start", s.queryStart)
	s.routeInternal()
	s.data.NoRoute(s.serveMeasured)
}

// inboundAttempt is one attempt of an entry to send a request, as it reached this side process.
type inboundAttempt struct {
	id         string
	startID    string
	repeatable bool
	deadline   time.Time
	// retainUntil is when the record of its start expires, on this process's monotonic clock.
	retainUntil time.Duration
	// otherRun is true if the attempt was addressed to another run of this side process.
	otherRun bool
}

// readAttempt parses the headers of an attempt. The relative deadline counts from the arrival; the expiry is a time on
// this process's own clock, so that an attempt which was delayed on its way is recognized.
func (s *Side) readAttempt(c *app.RequestContext) inboundAttempt {
	now := time.Now()
	a := inboundAttempt{
		id: string(c.GetHeader(httpserver.HeaderAttempt)), startID: string(c.GetHeader(control.HeaderStart)),
		repeatable: string(c.GetHeader(control.HeaderRepeatable)) == "true", deadline: now.Add(defaultDeadline),
	}
	if ms, err := strconv.ParseInt(string(c.GetHeader(control.HeaderDeadline)), 10, 64); err == nil && ms > 0 {
		a.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	run, ms, ok := strings.Cut(string(c.GetHeader(control.HeaderExpires)), ":")
	if at, err := strconv.ParseInt(ms, 10, 64); ok && err == nil {
		a.otherRun = run != s.runID
		if expires := s.start.Add(time.Duration(at) * time.Millisecond); !a.otherRun && expires.Before(a.deadline) {
			a.deadline = expires
		}
	}
	a.retainUntil = max(a.deadline.Sub(s.start), 0) + startRetention
	return a
}

// serve forwards a request to the endpoint once it has a slot, and returns the complete response or none.
func (s *Side) serve(ctx context.Context, c *app.RequestContext) {
	a := s.readAttempt(c)
	c.Response.Header.Set(control.HeaderRequestID, string(c.GetHeader(control.HeaderRequestID)))
	if a.startID != "" && !s.admitStart(c, a) {
		return
	}
	httpserver.AfterWrite(c, s.trackAttempt(a.id))
	if refusal := s.acquireSlot(ctx, a); refusal != "" {
		s.recordStartOutcome(a, nil, true)
		s.writeNotRun(c, refusal)
		return
	}
	began := time.Now()
	ans, err := s.forward(ctx, c, a)
	refused := neverSent(err) || (s.skipSentCheck && err != nil)
	s.recordStartOutcome(a, ans, refused)
	s.finishRequest(time.Since(began), err)
	s.writeLoadHeaders(c)
	switch {
	case refused:
		s.writeNotRun(c, refusedDown)
	case err != nil:
		c.Response.Header.Set(control.HeaderOutcome, "unknown")
		c.SetStatusCode(502)
		c.SetBodyString(err.Error())
	default:
		ans.write(c)
	}
}

// admitStart reports whether a non-repeatable attempt may start. If not, it has written the response.
func (s *Side) admitStart(c *app.RequestContext, a inboundAttempt) bool {
	if a.otherRun {
		// This run does not know what an earlier run started.
		s.writeNotRun(c, refusedRestarted)
		return false
	}
	if s.skipStartDedup {
		return true
	}
	s.mu.Lock()
	state, ans := s.starts.Begin(s.now(), a.startID, a.retainUntil)
	s.mu.Unlock()
	if state == claims.StartNew {
		return true
	}
	s.writeStart(c, state, ans)
	return false
}

// writeStart writes the known state of a non-repeatable attempt as the response.
func (s *Side) writeStart(c *app.RequestContext, state claims.StartState, ans *answer) {
	switch state {
	case claims.StartAnswered:
		s.writeLoadHeaders(c)
		ans.write(c)
	case claims.StartExcluded:
		s.writeNotRun(c, refusedQueriedFirst)
	case claims.StartTableFull:
		s.writeNotRun(c, refusedTooMany)
	case claims.StartRunning:
		s.writeLoadHeaders(c)
		c.Response.Header.Set(control.HeaderOutcome, "running")
		c.SetStatusCode(502)
	default:
		s.writeLoadHeaders(c)
		c.Response.Header.Set(control.HeaderOutcome, "unknown")
		c.SetStatusCode(502)
		c.SetBodyString("the endpoint gave no whole answer")
	}
}

// recordStartOutcome records the outcome of a non-repeatable attempt and wakes the queries for it.
func (s *Side) recordStartOutcome(a inboundAttempt, ans *answer, refused bool) {
	if a.startID == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case refused:
		s.starts.Refused(a.startID)
	case ans == nil:
		s.starts.Lost(a.startID)
	default:
		s.starts.Answered(a.startID, ans, ans.size())
	}
	close(s.startFinished)
	s.startFinished = make(chan struct{})
}

func (s *Side) writeNotRun(c *app.RequestContext, refusal slots.Refusal) {
	s.writeLoadHeaders(c)
	c.Response.Header.Set(control.HeaderNotRun, "true")
	c.Response.Header.Set(control.HeaderReason, string(refusal))
	c.SetStatusCode(503)
}

// acquireSlot waits for a slot. It returns the reason if the request was refused, and an empty string otherwise.
func (s *Side) acquireSlot(ctx context.Context, a inboundAttempt) slots.Refusal {
	s.mu.Lock()
	if !s.endpointUp {
		s.mu.Unlock()
		return refusedDown
	}
	s.nextID++
	id := s.nextID
	admission, refusal := s.slots.Arrive(s.now(), id, a.deadline.Sub(s.start))
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
	timer := time.NewTimer(time.Until(a.deadline))
	defer timer.Stop()
	select {
	case r := <-granted:
		if r == "" && !time.Now().Before(a.deadline) {
			// The process was paused between the grant and now.
			s.releaseSlot()
			return slots.TooLate
		}
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.abandonWait(id, granted)
}

// abandonWait removes a request from the queue. A slot that was granted in the meantime goes to the next one.
func (s *Side) abandonWait(id uint64, granted chan slots.Refusal) slots.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-granted:
		if r == "" {
			s.deliverGrants(s.slots.Cancel(s.now()))
		}
	default:
		delete(s.waiters, id)
		s.deliverGrants(s.slots.Abandon(s.now(), id))
	}
	return slots.TooLate
}

// releaseSlot frees a slot without recording a service time.
func (s *Side) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverGrants(s.slots.Cancel(s.now()))
}

// finishRequest frees the slot of a forwarded request. Only complete responses count towards the service time.
func (s *Side) finishRequest(took time.Duration, err error) {
	s.mu.Lock()
	if err == nil {
		s.deliverGrants(s.slots.Finish(s.now(), took))
	} else {
		s.deliverGrants(s.slots.Cancel(s.now()))
	}
	drained := s.slots.Drained()
	s.mu.Unlock()
	if drained {
		s.triggerAnnounce()
	}
}

// deliverGrants notifies the waiting requests of their grants and refusals. s.mu must be held.
func (s *Side) deliverGrants(grants []slots.Grant) {
	for _, g := range grants {
		if ch := s.waiters[g.ID]; ch != nil {
			delete(s.waiters, g.ID)
			ch <- g.Refusal
		}
	}
}

// writeLoadHeaders sets the headers with the free slots, the queue length and the time on this process's clock.
func (s *Side) writeLoadHeaders(c *app.RequestContext) {
	s.mu.Lock()
	free, queued := s.slots.Free(), s.slots.Queued()
	s.mu.Unlock()
	c.Response.Header.Set(control.HeaderSlots, strconv.Itoa(free))
	c.Response.Header.Set(control.HeaderQueue, strconv.Itoa(queued))
	c.Response.Header.Set(control.HeaderClock, fmt.Sprintf("%s:%d", s.runID, time.Since(s.start).Milliseconds()))
}
