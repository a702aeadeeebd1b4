package entry

import (
	"context"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/google/uuid"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// outcomeKey is the key of a request's context under which a refusal or an unknown outcome is stored for the metrics.
const outcomeKey = "outcome"

// withRequestMetrics counts and logs the requests of callers, and gives each request an id that all processes use.
func (e *Entry) withRequestMetrics(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		start := time.Now()
		id := string(c.GetHeader(control.HeaderRequestID))
		if id == "" || len(id) > maxRequestIDBytes {
			id = uuid.NewString()
			c.Request.Header.Set(control.HeaderRequestID, id)
		}
		trace := telemetry.TraceID(string(c.GetHeader("traceparent")), id)
		c.Response.Header.Set(control.HeaderRequestID, id)
		next(ctx, c)
		outcome := c.GetString(outcomeKey)
		if outcome == "" {
			outcome = "answered"
		}
		service := e.serviceLabel(c)
		took := time.Since(start)
		e.metrics.requests.Record(took, service, outcome)
		if e.log.Enabled(logevent.RequestEnded) {
			e.log.Log(logevent.RequestEnded, logevent.Str("trace", trace), logevent.Str("request", id), logevent.Str("service", service),
				logevent.Str("outcome", outcome), logevent.Int("status", c.Response.StatusCode()), logevent.Int("us", took.Microseconds()))
		}
	}
}

// serviceLabel returns the service of a request, or "none" if no contract has it, so that callers cannot create time series.
func (e *Entry) serviceLabel(c *app.RequestContext) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(c.Request.URI().Path()), "/"), "/")
	known := false
	e.read(func(s *core.State) { _, _, known = s.Config.Service(name) })
	if !known {
		return "none"
	}
	return name
}

// countControl counts the bytes of messages from other processes and of the responses to them.
func (e *Entry) countControl(ctx context.Context, c *app.RequestContext) {
	message := telemetry.MessageOf(string(c.Request.URI().Path()))
	c.Next(ctx)
	e.metrics.bytes.Add(float64(len(c.Request.Body())), message, "received")
	e.metrics.bytes.Add(float64(len(c.Response.Body())), message, "sent")
}

// Readiness reports whether an entry can serve requests, and the reasons if not.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons list what is missing.
	Reasons []string `json:"reasons"`
	// LogReadAgeMs is the age of the newest successful read of each stream in milliseconds.
	LogReadAgeMs map[string]int64 `json:"log_read_age_ms"`
}

// getReady answers the readiness checks of rollouts. Unlike health it lists what is missing, and it does not fail while the
// log is down, because an entry with an outdated state still serves requests.
func (e *Entry) getReady(_ context.Context, c *app.RequestContext) {
	r := Readiness{Reasons: []string{}, LogReadAgeMs: make(map[string]int64)}
	for stream, age := range e.metrics.log.Ages() {
		r.LogReadAgeMs[stream] = age.Milliseconds()
	}
	if e.draining.Load() {
		r.Reasons = append(r.Reasons, "a graceful shutdown is in progress")
	}
	if !e.ready.Load() {
		r.Reasons = append(r.Reasons, "not all streams were read to their end since the start")
	}
	r.Ready = len(r.Reasons) == 0
	status := 200
	if !r.Ready {
		status = 503
	}
	httpserver.JSON(c, status, r)
}

func (e *Entry) metricsHandler() app.HandlerFunc {
	return adaptor.HertzHandler(e.metrics.registry.Handler())
}
