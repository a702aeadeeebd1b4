package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/core/route"
)

// attempt is one of the two tries of a hedged request.
type attempt struct {
	// ctx ends when the attempt is cancelled.
	ctx       context.Context
	cancel    context.CancelFunc
	abandoned atomic.Bool
	// done is closed once result and outcome are set.
	done    chan struct{}
	result  result
	outcome route.Outcome
}

func newAttempt(ctx context.Context) *attempt {
	a := &attempt{done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// abandon cancels the attempt and closes its connection, because the other one responded first.
func (a *attempt) abandon() {
	a.abandoned.Store(true)
	a.cancel()
}

// wait blocks until the attempt has finished or was abandoned, and reports whether it has a result.
func (a *attempt) wait() bool {
	select {
	case <-a.done:
		return true
	case <-a.ctx.Done():
	}
	if a.abandoned.Load() {
		return false
	}
	<-a.done
	return true
}

// tryHedged sends a repeatable request to an endpoint, and to a second one if the first is unusually slow. It returns the
// first complete response.
func (e *Entry) tryHedged(ctx context.Context, c *app.RequestContext, cl *call, ep *members.Endpoint, hedgeAfter time.Duration, exclude map[string]bool) (result, route.Outcome) {
	first := newAttempt(ctx)
	defer first.cancel()
	req := e.copyRequest(c, cl)
	hedged := make(chan *attempt, 1)
	timer := time.AfterFunc(hedgeAfter, func() { hedged <- e.startHedge(ctx, c, cl, exclude, first) })
	run := func() {
		first.result, first.outcome = e.tryEndpoint(first.ctx, req, cl, ep, &first.abandoned)
		close(first.done)
	}
	if e.hasIdleConn(ep.Address) {
		// A new goroutine starts with a small stack, and growing it took a sixth of the process's time.
		run()
	} else {
		// A dial cannot be cancelled, so the response of the hedge must not wait for it.
		go run()
	}
	firstDone := first.wait()
	if timer.Stop() {
		return first.result, first.outcome
	}
	second := <-hedged
	if second == nil {
		return first.result, first.outcome
	}
	defer second.cancel()
	if firstDone && first.result.err == nil {
		second.abandon()
		return first.result, first.outcome
	}
	<-second.done
	if !firstDone || second.result.err == nil {
		return second.result, second.outcome
	}
	first.result.notRun = first.result.notRun && second.result.notRun
	return first.result, first.outcome
}

// startHedge sends the request to a second endpoint if the hedge budget allows it, and abandons the first attempt once the
// second has responded.
func (e *Entry) startHedge(ctx context.Context, c *app.RequestContext, cl *call, exclude map[string]bool, first *attempt) *attempt {
	ep, _ := e.pickEndpoint(cl.service, exclude, "", core.HedgeTry)
	if ep == nil {
		return nil
	}
	exclude[ep.ID] = true
	second := newAttempt(ctx)
	req := e.copyRequest(c, cl)
	go func() {
		second.result, second.outcome = e.tryEndpoint(second.ctx, req, cl, ep, &second.abandoned)
		if second.result.err == nil {
			first.abandon()
		}
		close(second.done)
	}()
	return second
}

// hasIdleConn reports whether there is an idle connection to the address.
func (e *Entry) hasIdleConn(address string) bool {
	l, err := e.linkTo(address)
	return err == nil && l.data.Idle()
}
