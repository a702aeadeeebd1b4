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

// defaultDeadline applies to a request that names none.
const defaultDeadline = 10 * time.Second

// Reasons of refusals beside those of package slots.
const (
	refusedDown      slots.Refusal = "endpoint_down"
	refusedRestarted slots.Refusal = "side_restarted"
	refusedBarred    slots.Refusal = "asked_before_it_arrived"
	refusedMemory    slots.Refusal = "too_many_remembered"
)

func (s *Side) routeData() {
	s.data.GET("/-/ping", s.ping)
	s.data.GET("/-/start", s.askStart)
	s.routeOwn()
	s.data.NoRoute(s.measured)
}

// arrival is one sending of a request as it reached this side process.
type arrival struct {
	try        string
	start      string
	repeatable bool
	deadline   time.Time
	// keepUntil is how long its start is remembered, on this process's clock.
	keepUntil time.Duration
	// otherRun is true if the sending was meant for another run of this side process.
	otherRun bool
}

// readArrival reads the headers of a sending. The relative deadline counts from the arrival; the expiry is a time on
// this process's own clock, so that a sending which was held back on its way is recognized.
func (s *Side) readArrival(c *app.RequestContext) arrival {
	now := time.Now()
	a := arrival{
		try: string(c.GetHeader(httpserver.HeaderTry)), start: string(c.GetHeader(control.HeaderStart)),
		repeatable: string(c.GetHeader(control.HeaderRepeatable)) == "true", deadline: now.Add(defaultDeadline),
	}
	if ms, err := strconv.ParseInt(string(c.GetHeader(control.HeaderDeadline)), 10, 64); err == nil && ms > 0 {
		a.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	run, ms, ok := strings.Cut(string(c.GetHeader(control.HeaderExpires)), ":")
	if at, err := strconv.ParseInt(ms, 10, 64); ok && err == nil {
		a.otherRun = run != s.run
		if expires := s.start.Add(time.Duration(at) * time.Millisecond); !a.otherRun && expires.Before(a.deadline) {
			a.deadline = expires
		}
	}
	a.keepUntil = max(a.deadline.Sub(s.start), 0) + startMemory
	return a
}

// serve passes a request to the endpoint once it has a slot, and returns the whole answer or none.
func (s *Side) serve(ctx context.Context, c *app.RequestContext) {
	a := s.readArrival(c)
	c.Response.Header.Set(control.HeaderRequestID, string(c.GetHeader(control.HeaderRequestID)))
	if a.start != "" && !s.mayStart(c, a) {
		return
	}
	httpserver.AfterWrite(c, s.working(a.try))
	if refusal := s.enter(ctx, a); refusal != "" {
		s.endStart(a, nil, true)
		s.notRun(c, refusal)
		return
	}
	began := time.Now()
	ans, err := s.pass(ctx, c, a)
	refused := neverSent(err) || (s.ignoreSent && err != nil)
	s.endStart(a, ans, refused)
	s.leave(time.Since(began), err)
	s.load(c)
	switch {
	case refused:
		s.notRun(c, refusedDown)
	case err != nil:
		c.Response.Header.Set(control.HeaderOutcome, "unknown")
		c.SetStatusCode(502)
		c.SetBodyString(err.Error())
	default:
		ans.write(c)
	}
}

// mayStart reports whether a sending that must not start twice may start. If not, it has answered.
func (s *Side) mayStart(c *app.RequestContext, a arrival) bool {
	if a.otherRun {
		// What an earlier run started is not known here.
		s.notRun(c, refusedRestarted)
		return false
	}
	if s.ignoreStarts {
		return true
	}
	s.mu.Lock()
	state, ans := s.starts.Begin(s.now(), a.start, a.keepUntil)
	s.mu.Unlock()
	if state == claims.StartNew {
		return true
	}
	s.writeStart(c, state, ans)
	return false
}

// writeStart answers with what is known about a sending that must not start twice.
func (s *Side) writeStart(c *app.RequestContext, state claims.StartState, ans *answer) {
	switch state {
	case claims.StartAnswered:
		s.load(c)
		ans.write(c)
	case claims.StartBarred:
		s.notRun(c, refusedBarred)
	case claims.StartTooMany:
		s.notRun(c, refusedMemory)
	case claims.StartRunning:
		s.load(c)
		c.Response.Header.Set(control.HeaderOutcome, "running")
		c.SetStatusCode(502)
	default:
		s.load(c)
		c.Response.Header.Set(control.HeaderOutcome, "unknown")
		c.SetStatusCode(502)
		c.SetBodyString("the endpoint gave no whole answer")
	}
}

// endStart notes the outcome of a sending that must not start twice.
func (s *Side) endStart(a arrival, ans *answer, refused bool) {
	if a.start == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case refused:
		s.starts.Refused(a.start)
	case ans == nil:
		s.starts.Lost(a.start)
	default:
		s.starts.Answered(a.start, ans, ans.size())
	}
	close(s.startEnded)
	s.startEnded = make(chan struct{})
}

func (s *Side) notRun(c *app.RequestContext, refusal slots.Refusal) {
	s.load(c)
	c.Response.Header.Set(control.HeaderNotRun, "true")
	c.Response.Header.Set(control.HeaderReason, string(refusal))
	c.SetStatusCode(503)
}

// enter waits for a slot. It returns why the request was refused, or nothing.
func (s *Side) enter(ctx context.Context, a arrival) slots.Refusal {
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
			s.cancel()
			return slots.TooLate
		}
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
			s.grant(s.slots.Cancel(s.now()))
		}
	default:
		delete(s.waiters, id)
		s.grant(s.slots.Abandon(s.now(), id))
	}
	return slots.TooLate
}

// cancel frees a slot whose request was not passed on.
func (s *Side) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant(s.slots.Cancel(s.now()))
}

// leave frees a slot. Only answers say how long the endpoint takes.
func (s *Side) leave(took time.Duration, err error) {
	s.mu.Lock()
	if err == nil {
		s.grant(s.slots.Finish(s.now(), took))
	} else {
		s.grant(s.slots.Cancel(s.now()))
	}
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

// load tells the entry what the endpoint can take, and the time on this process's clock.
func (s *Side) load(c *app.RequestContext) {
	s.mu.Lock()
	free, queued := s.slots.Free(), s.slots.Queued()
	s.mu.Unlock()
	c.Response.Header.Set(control.HeaderSlots, strconv.Itoa(free))
	c.Response.Header.Set(control.HeaderQueue, strconv.Itoa(queued))
	c.Response.Header.Set(control.HeaderClock, fmt.Sprintf("%s:%d", s.run, time.Since(s.start).Milliseconds()))
}
