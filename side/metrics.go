package side

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// metrics holds the instruments of a side process.
type metrics struct {
	registry *telemetry.Registry
	served   telemetry.Histogram
	refused  telemetry.Counter
	bytes    telemetry.Counter
	// lastAnnounced and lastSynced are when an entry last accepted an announcement and a decider last answered a poll, in
	// Unix milliseconds.
	lastAnnounced, lastSynced atomic.Int64
	held                      atomic.Int64
}

func (s *Side) newMetrics() error {
	r, err := telemetry.New()
	if err != nil {
		return err
	}
	m := &metrics{registry: r}
	if m.served, err = r.Histogram(telemetry.EndpointSeconds); err != nil {
		return err
	}
	if m.refused, err = r.Counter(telemetry.EndpointRefusals); err != nil {
		return err
	}
	if m.bytes, err = r.Counter(telemetry.ControlBytes); err != nil {
		return err
	}
	s.metrics = m
	return r.Gauges([]*telemetry.Desc{
		telemetry.Slots, telemetry.QueueLength, telemetry.EndpointIsUp, telemetry.AnnounceAge, telemetry.SyncAge, telemetry.HeldTasks,
		telemetry.SideRevision, telemetry.SideDraining, telemetry.ProcessesInfo,
	}, s.observe)
}

func (s *Side) observe(set telemetry.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(telemetry.ProcessesInfo, 1, s.cfg.ID, s.cfg.Zone, strconv.FormatUint(s.incarnation, 10))
	set(telemetry.SideRevision, float64(s.revision))
	if s.cfg.Service != "" {
		set(telemetry.Slots, float64(s.slots.Free()), "free")
		set(telemetry.Slots, float64(s.cfg.Slots-s.slots.Free()), "used")
		set(telemetry.QueueLength, float64(s.slots.Queued()))
		set(telemetry.EndpointIsUp, boolValue(s.endpointUp))
		set(telemetry.SideDraining, boolValue(s.slots.Draining()))
	}
	if at := s.metrics.lastAnnounced.Load(); at > 0 {
		set(telemetry.AnnounceAge, time.Since(time.UnixMilli(at)).Seconds())
	}
	if at := s.metrics.lastSynced.Load(); at > 0 {
		set(telemetry.SyncAge, time.Since(time.UnixMilli(at)).Seconds())
		set(telemetry.HeldTasks, float64(s.metrics.held.Load()))
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// routeInternal serves the side process's own paths. Requests that entries forward carry a request id and go to the
// endpoint, so that callers of a service cannot read its side process.
func (s *Side) routeInternal() {
	internal := func(h app.HandlerFunc) app.HandlerFunc {
		return func(ctx context.Context, c *app.RequestContext) {
			if len(c.GetHeader(control.HeaderRequestID)) > 0 {
				s.serveMeasured(ctx, c)
				return
			}
			h(ctx, c)
		}
	}
	s.data.GET("/-/metrics", internal(adaptor.HertzHandler(s.metrics.registry.Handler())))
	s.data.GET("/-/health", internal(func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") }))
	s.data.GET("/-/ready", internal(s.getReady))
}

// Readiness reports whether a side process can serve, and if not, why.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons lists the unmet conditions.
	Reasons []string `json:"reasons"`
}

func (s *Side) getReady(_ context.Context, c *app.RequestContext) {
	r := Readiness{Reasons: []string{}}
	missing := func(text string) { r.Reasons = append(r.Reasons, text) }
	s.mu.Lock()
	if s.cfg.Service != "" && !s.endpointUp {
		missing("the endpoint does not answer")
	}
	if s.slots.Draining() {
		missing("a graceful shutdown is in progress")
	}
	s.mu.Unlock()
	if s.cfg.Service != "" && s.metrics.lastAnnounced.Load() == 0 {
		missing("no entry took an announcement yet")
	}
	if s.worker != nil && s.metrics.lastSynced.Load() == 0 {
		missing("no decider answered yet")
	}
	r.Ready = len(r.Reasons) == 0
	body, err := json.Marshal(r)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.SetStatusCode(http.StatusOK)
	if !r.Ready {
		c.SetStatusCode(http.StatusServiceUnavailable)
	}
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(append(body, '\n'))
}

// serveMeasured serves a forwarded request, records its metrics and logs it with its trace id.
func (s *Side) serveMeasured(ctx context.Context, c *app.RequestContext) {
	start := time.Now()
	id, parent := string(c.GetHeader(control.HeaderRequestID)), string(c.GetHeader("traceparent"))
	s.serve(ctx, c)
	took := time.Since(start)
	outcome := "answered"
	switch {
	case len(c.Response.Header.Peek(control.HeaderNotRun)) > 0:
		outcome = "refused"
		s.metrics.refused.Add(1, string(c.Response.Header.Peek(control.HeaderReason)))
	case len(c.Response.Header.Peek(control.HeaderOutcome)) > 0:
		outcome = "unknown"
		s.metrics.served.Record(took, outcome)
	default:
		s.metrics.served.Record(took, outcome)
	}
	if s.log.Enabled(logevent.RequestServed) {
		s.log.Log(logevent.RequestServed, logevent.Str("trace", telemetry.TraceID(parent, id)), logevent.Str("request", id),
			logevent.Str("outcome", outcome), logevent.Int("status", c.Response.StatusCode()), logevent.Int("us", took.Microseconds()))
	}
}
