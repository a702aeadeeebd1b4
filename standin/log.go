// Package standin simulates the platform: its log service, its workers, and customers' endpoints. The simulators are for
// tests, measurements and the demo; the product never starts them.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/httpserver"
)

// LogServer serves a memlog.Log over HTTP.
type LogServer struct {
	*httpserver.Server
	log *memlog.Log
}

// NewLogServer binds the listener of a log service.
func NewLogServer(address string, log *memlog.Log) (*LogServer, error) {
	srv, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &LogServer{srv, log}
	srv.POST("/streams/:stream/records", s.append)
	srv.GET("/streams/:stream/records", s.read)
	srv.PUT("/faults", s.faults)
	srv.GET("/health", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	return s, nil
}

func (s *LogServer) append(ctx context.Context, c *app.RequestContext) {
	data := append([]byte(nil), c.Request.Body()...)
	offset, err := s.log.Append(ctx, c.Param("stream"), data)
	switch {
	case err == nil:
		httpserver.JSON(c, 200, logclient.AppendReply{Offset: offset})
	case errors.Is(err, external.ErrNotAppended):
		c.String(503, err.Error())
	default:
		// The connection is closed to simulate a lost reply.
		c.SetConnectionClose()
		c.String(500, err.Error())
	}
}

func (s *LogServer) read(ctx context.Context, c *app.RequestContext) {
	from, err1 := strconv.ParseUint(c.Query("from"), 10, 64)
	limit, err2 := strconv.Atoi(c.Query("max"))
	wait, err3 := strconv.Atoi(c.Query("wait_ms"))
	if err := errors.Join(err1, err2, err3); err != nil || limit < 1 || wait < 0 {
		c.String(400, "from, max and wait_ms must be numbers")
		return
	}
	page, err := s.log.Read(ctx, c.Param("stream"), from, limit, time.Duration(wait)*time.Millisecond)
	status := 200
	if errors.Is(err, external.ErrOffsetExpired) {
		status = 410
	} else if err != nil {
		c.String(503, err.Error())
		return
	}
	out := logclient.Page{First: page.First, Next: page.Next}
	for _, e := range page.Entries {
		out.Offsets = append(out.Offsets, e.Offset)
		out.Records = append(out.Records, e.Data)
	}
	httpserver.JSON(c, status, out)
}

func (s *LogServer) faults(_ context.Context, c *app.RequestContext) {
	var f memlog.Faults
	if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
		c.String(400, err.Error())
		return
	}
	s.log.SetFaults(f)
	c.String(200, "ok\n")
}
