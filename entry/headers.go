package entry

import (
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/httpserver"
)

// Headers between callers, entries and side processes.
const (
	headerDeadline   = "X-Deadline-Ms"
	headerRequestID  = "X-Request-Id"
	headerNotRun     = "X-Not-Run"
	headerReason     = "X-Reason"
	headerOutcome    = "X-Outcome"
	headerSlots      = "X-Slots-Free"
	headerQueue      = "X-Queue"
	headerCustomer   = "X-Customer"
	headerCaller     = "X-Caller"
	headerKey        = "Idempotency-Key"
	headerClock      = "X-Side-Clock"
	headerExpires    = "X-Expires"
	headerStart      = "X-Start-Id"
	headerRepeatable = "X-Repeatable"
	headerTries      = "X-Tries"
	headerRevision   = "X-Config-Revision"
)

// requestHeadersDropped are not passed on to an endpoint: hop headers describe one connection, the others are set by
// this entry.
var requestHeadersDropped = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Host": true, "Content-Length": true,
	"Authorization": true, headerDeadline: true, headerRequestID: true, headerCustomer: true, headerExpires: true,
	headerStart: true, headerRepeatable: true, headerTries: true, headerRevision: true, httpserver.HeaderTry: true,
}

// answerHeadersDropped are not passed on to a caller.
var answerHeadersDropped = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Server": true, "Date": true, headerRequestID: true, headerNotRun: true, headerReason: true,
	headerOutcome: true, headerSlots: true, headerQueue: true, headerClock: true,
}

// copyRequest copies the caller's request for one sending.
func (e *Entry) copyRequest(c *app.RequestContext, cl *call) *protocol.Request {
	req := protocol.AcquireRequest()
	c.Request.Header.VisitAll(func(k, v []byte) {
		if !requestHeadersDropped[string(k)] {
			req.Header.Add(string(k), string(v))
		}
	})
	req.SetMethod(cl.method)
	req.Header.Set(headerRequestID, cl.id)
	req.Header.Set(headerCustomer, cl.customer)
	req.Header.Set(headerRepeatable, strconv.FormatBool(cl.repeatable))
	req.SetBody(c.Request.Body())
	return req
}

// writeResult answers the caller with a whole answer or a typed error.
func (e *Entry) writeResult(c *app.RequestContext, cl *call, r result) {
	c.Response.Header.Set(headerRequestID, cl.id)
	if r.err == nil {
		c.SetStatusCode(r.status)
		c.Response.Header.SetNoDefaultContentType(true)
		for _, h := range r.header {
			c.Response.Header.Add(h[0], h[1])
		}
		c.Response.SetBody(r.body)
		return
	}
	if r.notRun {
		e.refuse(c, r.err, true)
		return
	}
	e.writeUnknown(c, cl, r.err)
}
