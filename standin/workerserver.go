package standin

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/external/workerclient"
	"github.com/verbenakeel/verbenakeel/httpserver"
)

// WorkerServer serves a Worker over HTTP.
type WorkerServer struct {
	*httpserver.Server
	worker *Worker
}

// NewWorkerServer binds the listener of a worker.
func NewWorkerServer(address string, w *Worker) (*WorkerServer, error) {
	srv, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &WorkerServer{srv, w}
	srv.GET("/health", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	srv.GET("/history", func(_ context.Context, c *app.RequestContext) { httpserver.JSON(c, 200, w.History()) })
	srv.GET("/status", func(ctx context.Context, c *app.RequestContext) {
		st, err := w.Status(ctx)
		if err != nil {
			c.String(500, err.Error())
			return
		}
		httpserver.JSON(c, 200, st)
	})
	serve(srv, "/start", w.Start)
	serve(srv, "/renew", func(ctx context.Context, r workerclient.RenewRequest) error { return w.Renew(ctx, r.Epoch, r.Leases) })
	serve(srv, "/checkpoint", func(ctx context.Context, a workerclient.AttemptRequest) error {
		return w.Checkpoint(ctx, a.Task, a.Attempt, a.Reason)
	})
	serve(srv, "/stop", func(ctx context.Context, a workerclient.AttemptRequest) error {
		return w.Stop(ctx, a.Task, a.Attempt, a.Reason)
	})
	serve(srv, "/throttle", func(ctx context.Context, a workerclient.AttemptRequest) error {
		return w.Throttle(ctx, a.Task, a.Attempt, a.ShareMilli)
	})
	serve(srv, "/forget", func(ctx context.Context, a workerclient.AttemptRequest) error {
		return w.Forget(ctx, a.Task, a.Attempt)
	})
	return s, nil
}

// serve routes a POST with a JSON body to f. An error of f is returned as a refusal with status 409.
func serve[T any](srv *httpserver.Server, path string, f func(context.Context, T) error) {
	srv.POST(path, func(ctx context.Context, c *app.RequestContext) {
		var in T
		if err := json.Unmarshal(c.Request.Body(), &in); err != nil {
			c.String(400, err.Error())
			return
		}
		if err := f(ctx, in); err != nil {
			c.String(409, err.Error())
			return
		}
		c.String(200, "ok\n")
	})
}
