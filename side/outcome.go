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

// Bounds of the deduplication of non-repeatable requests.
const (
	// maxStarts and maxStartBytes bound the retained starts. Attempts beyond maxStarts are refused.
	maxStarts     = 20_000
	maxStartBytes = 16 << 20
	// startRetention is how long after the deadline the outcome can be queried.
	startRetention = 30 * time.Second
	// queryWait bounds the long poll for the outcome of a running request.
	queryWait = time.Second
)

// trackAttempt marks an attempt as in flight until the returned function is called.
func (s *Side) trackAttempt(attemptID string) func() {
	if attemptID == "" {
		return func() {}
	}
	s.mu.Lock()
	s.attemptsInFlight[attemptID] = struct{}{}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.attemptsInFlight, attemptID)
	}
}

// ping returns those of the listed attempts that are still in flight. If an entry waits for an attempt that is not among
// them, the connection of that attempt is dead.
func (s *Side) ping(_ context.Context, c *app.RequestContext) {
	var inFlight []string
	s.mu.Lock()
	for id := range strings.SplitSeq(string(c.GetHeader(control.HeaderTries)), ",") {
		if _, ok := s.attemptsInFlight[id]; ok {
			inFlight = append(inFlight, id)
		}
	}
	// An entry with a newer configuration may have an order for this endpoint.
	if revision, err := strconv.ParseUint(string(c.GetHeader(control.HeaderRevision)), 10, 64); err == nil && revision > s.revision {
		s.triggerAnnounceLocked()
	}
	s.mu.Unlock()
	s.writeLoadHeaders(c)
	c.String(200, strings.Join(inFlight, ","))
}

// queryStart returns the outcome of a non-repeatable attempt. An attempt that has not arrived is excluded: it does not
// start even if it arrives later.
func (s *Side) queryStart(ctx context.Context, c *app.RequestContext) {
	a := s.readAttempt(c)
	c.Response.Header.Set(control.HeaderRequestID, string(c.GetHeader(control.HeaderRequestID)))
	if a.startID == "" || a.otherRun {
		s.writeStart(c, claims.StartUnknown, nil)
		return
	}
	wait := time.NewTimer(queryWait)
	defer wait.Stop()
	for {
		s.mu.Lock()
		state, ans := s.starts.Exclude(s.now(), a.startID, a.retainUntil)
		ended := s.startFinished
		s.mu.Unlock()
		if state != claims.StartRunning {
			if state == claims.StartTableFull {
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
