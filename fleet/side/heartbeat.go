package side

import (
	"context"
	"net/http"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
)

// takeoverMs is the time without an answer after which a worker that sends no start time may be replaced by one with another
// id.
const takeoverMs = 4000

const (
	// leaveSettleMs is the time after a message that the worker terminates from which an answer shows that it goes on: the message
	// was one of its earlier life. A list call that was sent before takes up to listWait.
	leaveSettleMs = 1000
	// maxSuperseded is the number of superseded lives that are remembered. Each takes a jump of the worker's clock.
	maxSuperseded = 8
)

// serveWorker serves requests of the worker on this instance.
func (s *Side) serveWorker(_ context.Context, c *app.RequestContext) {
	path := string(c.Path())
	if id, ok := platform.HeartbeatID(path); ok && string(c.Method()) == http.MethodPost {
		s.handleHeartbeat(c, id)
		return
	}
	if id, ok := platform.LeaveID(path); ok && string(c.Method()) == http.MethodPost {
		s.handleLeave(id)
		answer(c, http.StatusOK, []byte("{}"))
		return
	}
	answer(c, http.StatusNotFound, platform.EncodeError("no such path; send heartbeats and leaves here"))
}

func answer(c *app.RequestContext, status int, body []byte) {
	c.SetStatusCode(status)
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
}

func (s *Side) handleHeartbeat(c *app.RequestContext, id string) {
	info, err := platform.DecodeHeartbeat(id, c.Request.Body())
	if err != nil {
		s.log.Log(logevent.HeartbeatRefused, logevent.Str("id", id), logevent.Err(err))
		answer(c, http.StatusBadRequest, platform.EncodeError(err.Error()))
		return
	}
	if info.Service != s.set.Service || info.Address != s.set.Worker {
		s.log.Log(logevent.HeartbeatRefused, logevent.Str("id", id), logevent.Str("service", info.Service), logevent.Str("address", info.Address))
		answer(c, http.StatusOK, []byte("{}"))
		return
	}
	s.register(info)
	answer(c, http.StatusOK, []byte("{}"))
}

// register records a worker's heartbeat, unless it is older than the newest one.
func (s *Side) register(info *link.Worker) {
	s.mu.Lock()
	changed := false
	switch inc := s.incarnation; {
	case slices.Contains(s.superseded, info.Incarnation):
	case inc == nil || isNewer(inc, info):
		if inc != nil {
			inc.cancel()
			s.supersede(inc, info)
		}
		s.incarnation = s.newIncarnation(context.Background(), info)
		givenUp := 0
		if s.conn != nil {
			s.conn.reportedCompletion = 0
			givenUp = s.conn.orders.giveUp()
		}
		changed = true
		s.log.Log(logevent.WorkerRegistered, logevent.Str("id", info.Incarnation.ID), logevent.Int("born", info.Incarnation.StartedMs),
			logevent.Str("zone", info.Zone), logevent.Int("cpu", info.CPU), logevent.Int("mem_mb", info.MemMB), logevent.Int("orders_given_up", givenUp))
		go s.incarnation.run()
	case inc.info.Incarnation == info.Incarnation && info.Seq > inc.info.Seq:
		changed = inc.info.Draining != info.Draining
		inc.info = *info
		if changed {
			s.log.Log(logevent.WorkerDraining, logevent.Str("id", info.Incarnation.ID), logevent.Int("remaining_ms", info.RemainingMs))
		}
		if inc.leaving && !info.Draining && inc.answeredMs-inc.leftMs >= leaveSettleMs {
			inc.leaving, changed = false, true
			s.log.Log(logevent.WorkerRecovered, logevent.Str("id", info.Incarnation.ID), logevent.Str("reason", "an earlier life announced that it terminates"))
		}
	}
	s.mu.Unlock()
	if changed {
		s.report(nil, false)
	}
}

// supersede remembers a life that was replaced by one with an earlier start, so that its late heartbeats change nothing. The caller
// holds Side.mu.
func (s *Side) supersede(inc *incarnation, by *link.Worker) {
	if known := inc.info.Incarnation; known.StartedMs != 0 && by.Incarnation.StartedMs != 0 && by.Incarnation.StartedMs <= known.StartedMs {
		s.superseded = append(s.superseded, known)
		s.superseded = s.superseded[max(len(s.superseded)-maxSuperseded, 0):]
	}
}

// isNewer reports whether a heartbeat is from a later incarnation than the current one, and not a delayed one of an earlier. The start
// tells, and as the worker's clock may have jumped back in between, also the life that answers calls to the current one.
func isNewer(inc *incarnation, info *link.Worker) bool {
	known := inc.info.Incarnation
	if info.Incarnation == known {
		return false
	}
	if info.Incarnation.StartedMs != 0 && known.StartedMs != 0 {
		return info.Incarnation.StartedMs > known.StartedMs || info.Incarnation.StartedMs == inc.answeringStartMs
	}
	return info.Incarnation.ID != known.ID && clock.BootMs()-inc.answeredMs > takeoverMs
}

// handleLeave records that the worker announced that it is terminating now.
func (s *Side) handleLeave(id string) {
	s.mu.Lock()
	known := s.incarnation != nil && s.incarnation.info.Incarnation.ID == id
	if known {
		s.incarnation.leaving, s.incarnation.leftMs = true, clock.BootMs()
		s.log.Log(logevent.WorkerDraining, logevent.Str("id", id), logevent.Str("state", "leaves"))
	}
	s.mu.Unlock()
	if known {
		s.report(nil, false)
	}
}
