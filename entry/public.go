package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/record"
)

// maxDeadline bounds the deadline that a caller may request.
const maxDeadline = 10 * time.Minute

// maxRequestIDBytes bounds the request id that a caller may send. Longer ids are replaced.
const maxRequestIDBytes = 200

func (e *Entry) routePublic() {
	h := e.public
	h.GET("/-/health", e.health)
	h.GET("/-/ready", e.getReady)
	h.POST("/v1/jobs", e.submitJob)
	h.GET("/v1/jobs", e.listJobs)
	h.GET("/v1/jobs/:job", e.getJob)
	h.DELETE("/v1/jobs/:job", e.cancelJob)
	h.GET("/v1/requests/:key", e.getRequest)
	h.GET("/v1/explain/:kind/*id", e.explainForCustomer)
	h.GET("/v1/explain", e.explainForCustomer)
	h.NoRoute(e.withRequestMetrics(e.serveCall))
}

// health answers the load balancer's health check. It fails once a graceful shutdown has begun, and until every stream
// has been read to its end once.
func (e *Entry) health(_ context.Context, c *app.RequestContext) {
	switch {
	case e.draining.Load():
		c.String(503, "draining\n")
	case !e.ready.Load():
		c.String(503, "starting\n")
	default:
		c.String(200, "ok\n")
	}
}

// call is one request of a caller to a service.
type call struct {
	id      string
	service string
	path    string
	// uri is the path and query sent to the endpoint.
	uri      string
	method   string
	customer string
	// caller identifies one of several callers of a customer; empty if unknown.
	caller   string
	key      string
	deadline time.Time
	contract record.Contract
	rule     *record.OnceRule
	// repeatable is true if the request may run more than once.
	repeatable bool
}

// serveCall forwards a request to an endpoint of its service.
func (e *Entry) serveCall(ctx context.Context, c *app.RequestContext) {
	start := time.Now()
	cl, err := e.parseCall(c, start)
	if err != nil {
		e.refuseUnclaimed(c, err)
		return
	}
	release, err := e.admit(cl)
	if err != nil {
		e.refuseUnclaimed(c, err)
		return
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, cl.deadline)
	defer cancel()
	if cl.rule != nil {
		e.serveOnce(ctx, c, cl)
		return
	}
	e.writeResult(c, cl, e.tryEndpoints(ctx, c, cl, cl.repeatable))
}

func (e *Entry) parseCall(c *app.RequestContext, start time.Time) (*call, error) {
	path := string(c.Request.URI().PathOriginal())
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	cl := &call{service: name, path: "/" + rest, method: string(c.Method()), id: string(c.GetHeader(control.HeaderRequestID))}
	if cl.id == "" || len(cl.id) > maxRequestIDBytes {
		cl.id = uuid.NewString()
	}
	cl.caller = string(c.GetHeader(control.HeaderCaller))
	cl.uri = cl.path
	if q := c.Request.URI().QueryString(); len(q) > 0 {
		cl.uri += "?" + string(q)
	}
	if !e.ready.Load() {
		return nil, errdefs.New(errdefs.Unavailable, "this entry has not read the configuration yet", "try again in a second or use another entry")
	}
	var svc record.Service
	found := false
	e.read(func(s *core.State) {
		if contract, sv, ok := s.Config.Service(name); ok {
			cl.contract, svc, found = *contract, *sv, true
		}
	})
	if !found {
		return nil, errdefs.New(errdefs.NotFound, fmt.Sprintf("no contract has a service %q", name), "check the first segment of the path")
	}
	cl.customer = cl.contract.Customer
	if !svc.Public && !bearerToken(c).hashIn(cl.contract.TokenSHA256) {
		return nil, errdefs.New(errdefs.Unauthorized, "the token is missing or does not belong to the customer", "send Authorization: Bearer TOKEN")
	}
	timeout := time.Duration(svc.DeadlineMs) * time.Millisecond
	if v := string(c.GetHeader(control.HeaderDeadline)); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return nil, errdefs.Field(control.HeaderDeadline, fmt.Sprintf("%q is not a deadline", v), "send 1 to 600000 milliseconds")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	cl.deadline = start.Add(timeout)
	cl.rule = findOnceRule(svc, cl)
	if cl.rule != nil {
		cl.key = string(c.GetHeader(control.HeaderKey))
		if cl.key == "" || len(cl.key) > 200 {
			return nil, errdefs.Field(control.HeaderKey, "is missing or longer than 200 bytes",
				"send a unique key; this request may run at most once")
		}
	}
	cl.repeatable = cl.rule == nil && repeatable(cl.method)
	return cl, nil
}

func findOnceRule(svc record.Service, cl *call) *record.OnceRule {
	for i := range svc.Once {
		if svc.Once[i].Method == cl.method && strings.HasPrefix(cl.path, svc.Once[i].Prefix) {
			return &svc.Once[i]
		}
	}
	return nil
}

// repeatable reports whether a request that may have run may be sent again: true for the methods that HTTP defines as
// idempotent.
func repeatable(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}

// refuse writes an error response. notRun tells the caller that the request certainly did not run.
func (e *Entry) refuse(c *app.RequestContext, err error, notRun bool) {
	p := problemOf(err)
	p.NotRun = notRun
	e.writeRefusal(c, err, p)
}

// refuseUnclaimed refuses a request before its idempotency key was looked up or claimed. An earlier request with the same
// key may have run, so for a request with a key the refusal is limited to this transmission of it.
func (e *Entry) refuseUnclaimed(c *app.RequestContext, err error) {
	p := problemOf(err)
	p.NotRun = true
	if len(c.GetHeader(control.HeaderKey)) > 0 {
		p.Scope = "this_sending"
	}
	e.writeRefusal(c, err, p)
}

func (e *Entry) writeRefusal(c *app.RequestContext, err error, p httpserver.Problem) {
	c.Set(outcomeKey, "refused")
	status := statusOf(errdefs.KindOf(err))
	if status == 429 || status == 503 {
		setRetryAfter(c)
	}
	httpserver.JSON(c, status, p)
}

// maxRetryAfterSeconds bounds the Retry-After of refused requests.
const maxRetryAfterSeconds = 3

// setRetryAfter sets a random Retry-After, so that callers refused together do not retry together.
func setRetryAfter(c *app.RequestContext) {
	c.Response.Header.Set("Retry-After", strconv.Itoa(1+rand.IntN(maxRetryAfterSeconds)))
}

func problemOf(err error) httpserver.Problem {
	var p httpserver.Problem
	if te, ok := asTypedError(err); ok {
		p.Error = httpserver.ProblemError{Kind: string(te.Kind), Field: te.Field, Message: te.Message, Remedy: te.Remedy}
		return p
	}
	p.Error = httpserver.ProblemError{Kind: "internal", Message: err.Error(), Remedy: "report this with the request id"}
	return p
}

func statusOf(kind errdefs.Kind) int {
	switch kind {
	case errdefs.Invalid:
		return 400
	case errdefs.Unauthorized:
		return 401
	case errdefs.NotFound:
		return 404
	case errdefs.Conflict:
		return 409
	case errdefs.Expired:
		return 410
	case errdefs.Refused:
		return 429
	case errdefs.Unavailable:
		return 503
	case errdefs.Unknown:
		return 502
	}
	return 500
}
