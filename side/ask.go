package side

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core/claims"
)

// Memory of sendings that must not start twice.
const (
	// maxStarts and maxStartBytes bound the memory. Sendings beyond maxStarts are refused.
	maxStarts     = 20_000
	maxStartBytes = 16 << 20
	// startMemory is how long the outcome can be asked for after the deadline.
	startMemory = 30 * time.Second
	// askWait is how long a question about a running request is held back.
	askWait = time.Second
)

// working notes that the answer of a sending is being made, until the returned function is called.
func (s *Side) working(try string) func() {
	if try == "" {
		return func() {}
	}
	s.mu.Lock()
	s.tries[try] = struct{}{}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.tries, try)
	}
}

// ping answers with those of the listed sendings whose answers are still being made. An entry that waits for another
// one knows that its connection went silent.
func (s *Side) ping(_ context.Context, c *app.RequestContext) {
	var known []string
	s.mu.Lock()
	for try := range strings.SplitSeq(string(c.GetHeader(control.HeaderTries)), ",") {
		if _, ok := s.tries[try]; ok {
			known = append(known, try)
		}
	}
	// An entry that follows a newer configuration may have an order for this endpoint.
	if revision, err := strconv.ParseUint(string(c.GetHeader(control.HeaderRevision)), 10, 64); err == nil && revision > s.revision {
		s.kickLocked()
	}
	s.mu.Unlock()
	s.load(c)
	c.String(200, strings.Join(known, ","))
}

// askStart tells the outcome of a sending that must not start twice. One that did not arrive is barred: it never starts
// even if it arrives later.
func (s *Side) askStart(ctx context.Context, c *app.RequestContext) {
	a := s.readArrival(c)
	c.Response.Header.Set(control.HeaderRequestID, string(c.GetHeader(control.HeaderRequestID)))
	if a.start == "" || a.otherRun {
		s.writeStart(c, claims.StartUnknown, nil)
		return
	}
	wait := time.NewTimer(askWait)
	defer wait.Stop()
	for {
		s.mu.Lock()
		state, ans := s.starts.Bar(s.now(), a.start, a.keepUntil)
		ended := s.startEnded
		s.mu.Unlock()
		if state != claims.StartRunning {
			if state == claims.StartTooMany {
				state = claims.StartUnknown
			}
			s.writeStart(c, state, ans)
			return
		}
		select {
		case <-ended:
		case <-wait.C:
			s.writeStart(c, state, ans)
			return
		case <-ctx.Done():
			return
		}
	}
}
