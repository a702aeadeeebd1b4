package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/core/route"
	"github.com/verbenakeel/verbenakeel/errdefs"
)

// maxTries bounds the tries of one request.
const maxTries = 3

// result is the end of a request.
type result struct {
	// status, contentType and body hold a whole answer when err is nil.
	status      int
	contentType string
	body        []byte
	// notRun is true if the request certainly did not run.
	notRun bool
	err    error
}

// tryAll sends the request to endpoints until one answers. A try after which the request may have run is repeated only
// if the request is repeatable.
func (e *Entry) tryAll(ctx context.Context, c *app.RequestContext, cl *call, repeat bool) result {
	exclude := make(map[string]bool)
	avoid := ""
	last := result{notRun: true, err: noEndpoint(cl.service)}
	for try := range maxTries {
		ep := e.pick(cl.service, exclude, avoid, try > 0)
		if ep == nil {
			return last
		}
		r, outcome, took := e.try(ctx, c, cl, ep)
		e.step(core.TryEnded{Endpoint: ep.ID, Outcome: outcome, Took: took})
		if r.err == nil {
			return r
		}
		// Once a try may have run, the request as a whole may have run.
		r.notRun = r.notRun && (try == 0 || last.notRun)
		last = r
		if (!r.notRun && !repeat) || ctx.Err() != nil {
			return last
		}
		exclude[ep.ID] = true
		if outcome == route.Failed {
			avoid = ep.Zone
		}
	}
	return last
}

func noEndpoint(service string) error {
	return errdefs.New(errdefs.Unavailable, fmt.Sprintf("no endpoint of %s can take the request", service), "try again after Retry-After")
}

func (e *Entry) pick(service string, exclude map[string]bool, avoid string, retry bool) *members.Endpoint {
	effects := e.step(core.TryWanted{Service: service, Exclude: exclude, AvoidZone: avoid, Seed: rand.Uint64(), Retry: retry})
	for _, eff := range effects {
		if r, ok := eff.(core.Routed); ok {
			return r.Endpoint
		}
	}
	return nil
}

// try sends the request to one endpoint.
func (e *Entry) try(ctx context.Context, c *app.RequestContext, cl *call, ep *members.Endpoint) (result, route.Outcome, time.Duration) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if left <= 0 {
		return result{notRun: true, err: tooLate()}, route.Refused, 0
	}
	copyRequest(c, req, cl, ep.Address, left)
	started := time.Now()
	err := e.forward.DoDeadline(ctx, req, resp, deadline)
	took := time.Since(started)
	if err != nil {
		return result{notRun: neverSent(err), err: lostAnswer(ep.ID, err)}, route.Failed, took
	}
	if string(resp.Header.Peek(headerRequestID)) != cl.id {
		return result{err: lostAnswer(ep.ID, errors.New("the answer belongs to another request"))}, route.Failed, took
	}
	if string(resp.Header.Peek(headerNotRun)) == "true" {
		return result{notRun: true, err: errdefs.New(errdefs.Unavailable, string(resp.Header.Peek("X-Reason")), "try again after Retry-After")}, route.Refused, took
	}
	if resp.StatusCode() == 502 && len(resp.Header.Peek("X-Outcome")) > 0 {
		return result{err: lostAnswer(ep.ID, errors.New("the endpoint gave no whole answer"))}, route.Failed, took
	}
	e.metrics.zoneAnswers.Add(1, cl.service, ep.Zone)
	return result{
		status: resp.StatusCode(), contentType: string(resp.Header.ContentType()), body: append([]byte(nil), resp.Body()...),
	}, route.Answered, took
}

func tooLate() error {
	return errdefs.New(errdefs.Unavailable, "the deadline has passed", "send a longer X-Deadline-Ms")
}

func lostAnswer(endpoint string, err error) error {
	return errdefs.New(errdefs.Unknown, fmt.Sprintf("no whole answer from %s: %v", endpoint, err), "ask for the outcome before sending it again")
}

// neverSent reports whether the error shows that no byte of the request left this process.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// hopHeaders are not passed on, because they describe one connection.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "host": true, "content-length": true,
	"authorization": true, "x-deadline-ms": true, "x-request-id": true, "x-customer": true,
}

func copyRequest(c *app.RequestContext, req *protocol.Request, cl *call, address string, left time.Duration) {
	c.Request.Header.VisitAll(func(k, v []byte) {
		if !hopHeaders[strings.ToLower(string(k))] {
			req.Header.SetBytesKV(k, v)
		}
	})
	req.SetMethod(cl.method)
	uri := "http://" + address + cl.path
	if q := c.Request.URI().QueryString(); len(q) > 0 {
		uri += "?" + string(q)
	}
	req.SetRequestURI(uri)
	req.Header.Set(headerRequestID, cl.id)
	req.Header.Set(headerCustomer, cl.customer)
	req.Header.Set(headerDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.SetBody(c.Request.Body())
}

// writeResult answers the caller with a whole answer or a typed error.
func (e *Entry) writeResult(c *app.RequestContext, cl *call, r result) {
	c.Response.Header.Set(headerRequestID, cl.id)
	if r.err == nil {
		c.SetStatusCode(r.status)
		c.Response.Header.SetContentType(r.contentType)
		c.Response.SetBody(r.body)
		return
	}
	if r.notRun {
		e.refuse(c, r.err, true)
		return
	}
	e.writeUnknown(c, cl, r.err)
}
