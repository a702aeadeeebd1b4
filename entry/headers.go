package entry

import (
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/httpserver"
)

// droppedRequestHeaders are not forwarded to an endpoint: hop-by-hop headers concern one connection only, the others are set
// by this entry.
var droppedRequestHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Host": true, "Content-Length": true,
	"Authorization": true, control.HeaderDeadline: true, control.HeaderRequestID: true, control.HeaderCustomer: true, control.HeaderExpires: true,
	control.HeaderStart: true, control.HeaderRepeatable: true, control.HeaderTries: true, control.HeaderRevision: true, httpserver.HeaderAttempt: true,
}

// droppedAnswerHeaders are not forwarded to a caller.
var droppedAnswerHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Server": true, "Date": true, control.HeaderRequestID: true, control.HeaderNotRun: true, control.HeaderReason: true,
	control.HeaderOutcome: true, control.HeaderSlots: true, control.HeaderQueue: true, control.HeaderClock: true,
}

// copyRequest copies the caller's request for one try.
func (e *Entry) copyRequest(c *app.RequestContext, cl *call) *protocol.Request {
	req := protocol.AcquireRequest()
	c.Request.Header.VisitAll(func(k, v []byte) {
		if !droppedRequestHeaders[string(k)] {
			req.Header.Add(string(k), string(v))
		}
	})
	req.SetMethod(cl.method)
	req.Header.Set(control.HeaderRequestID, cl.id)
	req.Header.Set(control.HeaderCustomer, cl.customer)
	req.Header.Set(control.HeaderRepeatable, strconv.FormatBool(cl.repeatable))
	req.SetBody(c.Request.Body())
	return req
}

// writeResult writes a complete response or an error to the caller.
func (e *Entry) writeResult(c *app.RequestContext, cl *call, r result) {
	c.Response.Header.Set(control.HeaderRequestID, cl.id)
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
