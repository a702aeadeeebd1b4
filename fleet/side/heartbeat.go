package side

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
)

// takeoverMs is the silence after which a worker without a start time may be replaced by one with another id.
const takeoverMs = 4000

// serveWorker takes calls of the worker on this instance.
func (s *Side) serveWorker(_ context.Context, c *app.RequestContext) {
	path := string(c.Path())
	if id, ok := platform.HeartbeatID(path); ok && string(c.Method()) == http.MethodPost {
		s.takeHeartbeat(c, id)
		return
	}
	if id, ok := platform.LeaveID(path); ok && string(c.Method()) == http.MethodPost {
		s.takeLeave(id)
		answer(c, http.StatusOK, []byte("{}"))
		return
	}
	answer(c, http.StatusNotFound, platform.Problem("no such path; send heartbeats and leaves here"))
}

func answer(c *app.RequestContext, status int, body []byte) {
	c.SetStatusCode(status)
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
}

func (s *Side) takeHeartbeat(c *app.RequestContext, id string) {
	info, err := platform.Heartbeat(id, c.Request.Body())
	if err != nil {
		s.log.Log(logevent.HeartbeatRefused, logevent.Str("id", id), logevent.Err(err))
		answer(c, http.StatusBadRequest, platform.Problem(err.Error()))
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

// register takes what a worker says of itself, unless it is older than what is known.
func (s *Side) register(info *link.Worker) {
	s.mu.Lock()
	changed := false
	switch l := s.life; {
	case l == nil || newer(l, info):
		if l != nil {
			l.cancel()
		}
		s.life = s.newLife(context.Background(), info)
		if s.conn != nil {
			s.conn.reported = 0
		}
		changed = true
		s.log.Log(logevent.WorkerLife, logevent.Str("id", info.Life.ID), logevent.Int("born", info.Life.BornMs),
			logevent.Str("zone", info.Zone), logevent.Int("cpu", info.CPU), logevent.Int("mem_mb", info.MemMB))
		go s.life.run()
	case l.info.Life == info.Life && info.Seq > l.info.Seq:
		changed = l.info.Draining != info.Draining
		l.info = *info
		if changed {
			s.log.Log(logevent.WorkerLeft, logevent.Str("id", info.Life.ID), logevent.Int("remaining_ms", info.RemainingMs))
		}
	}
	s.mu.Unlock()
	if changed {
		s.report(nil, false)
	}
}

// newer reports whether a heartbeat is of a later life than the one known. Late heartbeats of earlier lives are not.
func newer(l *life, info *link.Worker) bool {
	known := l.info.Life
	if info.Life == known {
		return false
	}
	if info.Life.BornMs != 0 && known.BornMs != 0 {
		return info.Life.BornMs > known.BornMs
	}
	return info.Life.ID != known.ID && clock.BootMs()-l.answeredMs > takeoverMs
}

// takeLeave notes that the worker ends now.
func (s *Side) takeLeave(id string) {
	s.mu.Lock()
	known := s.life != nil && s.life.info.Life.ID == id
	if known {
		s.life.leaving = true
		s.log.Log(logevent.WorkerLeft, logevent.Str("id", id), logevent.Str("state", "leaves"))
	}
	s.mu.Unlock()
	if known {
		s.report(nil, false)
	}
}
