// Package side runs the process beside a worker: it answers the worker's heartbeats, renews the worker's lease, carries out
// the decider's orders and reports active and ended runs.
package side

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/intake"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// reportInterval is the maximum time between two reports; a decider treats a worker as unresponsive after 1.2 s.
	reportInterval = 450 * time.Millisecond
	// connReadTimeout is the time without a message after which a connection is closed. The decider answers every report.
	connReadTimeout = 2500 * time.Millisecond
	// helloTimeout bounds the wait for the first message on a new connection.
	helloTimeout = 2 * time.Second
	// acceptRetry is the pause after a failed accept.
	acceptRetry = 400 * time.Millisecond
	// maxHeartbeat bounds the body of a request of the worker in bytes; a heartbeat has some hundred.
	maxHeartbeat = 64 << 10
	// stopGrace bounds heartbeats in progress at the end of the process.
	stopGrace = 200 * time.Millisecond
)

// Side is the side process of an instance.
type Side struct {
	set     settings.Fleet
	store   work.Store
	log     logevent.Logger
	meters  *Meters
	control *httpserver.Server
	peer    net.Listener
	// startedMs is the boot-time clock when the process started. It may have renewed leases before a restart, up to then.
	startedMs int64

	mu sync.Mutex
	// epoch and fence are the highest received from any decider.
	epoch, fence uint64
	conn         *connection
	incarnation  *incarnation
	// answered is true once a worker has answered a call of this process.
	answered bool
	// superseded holds the lives that are known to have ended although they report a later start than the present one.
	superseded []link.Incarnation
	// sentStarts holds the starts that were sent to workers within lateCallMs, the oldest first.
	sentStarts []sentStart
	// calledIDs holds the ids of workers that were replaced within lateCallMs.
	calledIDs []calledID
	// leaseEndMs is when the worker's lease expires, by the newest answer of a decider.
	leaseEndMs int64
}

// New creates a side process and binds its listeners.
func New(set settings.Fleet, store work.Store, log logevent.Logger, m *Meters) (*Side, error) {
	peer, err := net.Listen("tcp", set.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for the decider: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	in := intake.New(set, log, m.intake)
	control, err := httpserver.ListenBounded(set.Control, httpserver.Bounded{Intake: in, BodyLimit: func() int { return maxHeartbeat },
		RefusalBody: platform.EncodeError})
	if err != nil {
		return nil, err
	}
	peer = in.Listener(peer)
	s := &Side{set: set, store: store, log: log, meters: m, control: control, peer: peer, startedMs: clock.BootMs()}
	control.NoRoute(s.serveWorker)
	control.OnPanic = func(v any, stack []byte) {
		log.Log(logevent.HandlerPanicked, logevent.Str("reason", fmt.Sprint(v)), logevent.Str("stack", string(stack)))
	}
	return s, nil
}

// ControlAddress returns the bound address of the listener for heartbeats.
func (s *Side) ControlAddress() string { return s.control.Address() }

// Run serves until ctx ends. The worker's lease stays valid while this process restarts.
func (s *Side) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go work.Publish(ctx, s.store, work.TopicSides, work.ProcessAddress{Instance: s.set.Instance, Address: s.set.PeerAddress(s.peer.Addr()), Zone: s.set.Zone}, s.log)
	go s.acceptDeciders(ctx)
	go s.reportPeriodically(ctx)
	s.log.Log(logevent.Started, logevent.Str("peer", s.set.Peer), logevent.Str("control", s.set.Control),
		logevent.Str("worker", s.set.Worker), logevent.Int("lease_ms", s.set.Bounds.Lease.Milliseconds()))
	err := s.control.Serve(ctx, stopGrace)
	s.log.Log(logevent.Stopped)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// connection is a connection from a decider.
type connection struct {
	conn  net.Conn
	entry string
	epoch uint64
	// write serializes messages.
	write sync.Mutex
	// orders tracks which orders the worker has answered.
	orders orderTracker
	// reportedCompletion is the highest completion number of the current incarnation that was sent on this connection.
	reportedCompletion int64
	lastReportMs       int64
	// answeredMs is the send time of the newest report that the decider has answered on this connection.
	answeredMs int64
}

func (c *connection) close() { _ = c.conn.Close() }

func (s *Side) acceptDeciders(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = s.peer.Close()
	}()
	for {
		conn, err := s.peer.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			s.log.Log(logevent.DeciderUnlinked, logevent.Err(err))
			clock.Sleep(ctx, acceptRetry)
			continue
		}
		go s.serveDecider(ctx, conn)
	}
}

// serveDecider handles orders from a connection until it fails or a newer one replaces it.
func (s *Side) serveDecider(ctx context.Context, conn net.Conn) {
	defer s.log.Recover(logevent.ConnectionPanicked, logevent.Str("peer", conn.RemoteAddr().String()))
	defer conn.Close()
	var hello link.Hello
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := link.ReadHello(conn, &hello); err != nil {
		s.log.Log(logevent.DeciderUnlinked, logevent.Err(err))
		return
	}
	if hello.Instance != "" && hello.Instance != s.set.Instance {
		s.log.Log(logevent.DeciderUnlinked, logevent.Str("entry", hello.Entry), logevent.Str("instance", hello.Instance),
			logevent.Str("reason", "it means another instance, which had this address before"))
		return
	}
	if !httpserver.Protect(conn) {
		return // it gave way to others, before it was known as a decider's
	}
	c, epoch := s.acceptConnection(conn, hello)
	if c == nil {
		// Tells the decider that there is a newer one.
		if err := link.WriteMessage(conn, link.Report{SentMs: clock.BootMs(), Epoch: epoch}); err != nil {
			s.log.Log(logevent.DeciderUnlinked, logevent.Err(err))
		}
		return
	}
	s.log.Log(logevent.DeciderLinked, logevent.Str("entry", hello.Entry), logevent.Int("epoch", hello.Epoch))
	s.report(nil, false)
	err := s.readOrders(ctx, c)
	s.mu.Lock()
	if s.conn == c {
		s.conn = nil
	}
	s.mu.Unlock()
	s.log.Log(logevent.DeciderUnlinked, logevent.Str("entry", hello.Entry), logevent.Int("epoch", hello.Epoch), logevent.Err(err))
}

// acceptConnection makes a connection the current one, unless a decider with a higher epoch is known.
func (s *Side) acceptConnection(conn net.Conn, hello link.Hello) (*connection, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hello.Epoch < s.epoch {
		return nil, s.epoch
	}
	s.epoch = hello.Epoch
	if s.conn != nil {
		s.conn.close()
	}
	s.conn = &connection{conn: conn, entry: hello.Entry, epoch: hello.Epoch}
	if s.incarnation != nil {
		s.incarnation.cancelOrders()
	}
	return s.conn, s.epoch
}

func (s *Side) readOrders(ctx context.Context, c *connection) error {
	for ctx.Err() == nil {
		var o link.Orders
		_ = c.conn.SetReadDeadline(time.Now().Add(connReadTimeout))
		if err := link.ReadMessage(c.conn, &o); err != nil {
			return err
		}
		s.handleOrders(c, &o)
	}
	return ctx.Err()
}

func (s *Side) handleOrders(c *connection, o *link.Orders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != c {
		return
	}
	if o.AnsweredMs > 0 {
		c.answeredMs = max(c.answeredMs, o.AnsweredMs)
		s.leaseEndMs = max(s.leaseEndMs, o.AnsweredMs+s.set.Bounds.Lease.Milliseconds())
		s.meters.recordAnswerAge(clock.BootMs() - o.AnsweredMs)
	}
	if o.Fence > s.fence {
		s.fence = o.Fence
		if s.incarnation != nil {
			s.incarnation.trigger()
		}
	}
	if o.Number == 0 {
		return
	}
	c.orders.reportDue = c.orders.reportDue || o.More
	s.acceptOrders(c, o)
	if c.orders.takeReportDue() {
		go s.report(nil, false)
	}
}

// acceptOrders begins to carry out orders, if they are for the present incarnation. The caller holds mu.
func (s *Side) acceptOrders(c *connection, o *link.Orders) {
	if s.incarnation == nil || s.incarnation.info.Incarnation != o.Incarnation {
		for _, st := range o.Starts {
			c.orders.refusals = append(c.orders.refusals, link.Refusal{Task: st.Task, Run: st.Run, Reason: link.ReasonTerminated})
		}
		c.orders.add(o.Number, 0)
		return
	}
	s.incarnation.executeOrders(c, o)
}

// reportPeriodically sends reports while the worker is unresponsive or not registered, so that run sends none.
func (s *Side) reportPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportInterval)
		s.mu.Lock()
		due := s.conn != nil && clock.BootMs()-s.conn.lastReportMs >= reportInterval.Milliseconds()
		s.mu.Unlock()
		if due {
			s.report(nil, false)
		}
	}
}

// listing is the worker's answer to a list call, with the state at the time of the call.
type listing struct {
	incarnation *incarnation
	fence       uint64
	// ordersDone is the highest message number up to which all orders had ended before the call.
	conn        *connection
	ordersDone  uint64
	runs        []link.Run
	completions []link.Completion
	// complete is true if runs and completions cover every run that the worker was not told to forget.
	complete bool
}

// report sends a report to the decider, if one is connected. It includes the runs if includeRuns is true.
func (s *Side) report(l *listing, includeRuns bool) {
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c == nil {
		return
	}
	// Reports are sent in the order in which they are created. A list without a run that arrives before the report with the
	// run's completion would make the decider start the task again.
	c.write.Lock()
	defer c.write.Unlock()
	if err := link.WriteMessage(c.conn, s.createReport(c, l, includeRuns)); err != nil {
		// The reader of the connection notices the failure and logs it.
		c.close()
	}
}

// createReport returns the next report for a connection. The caller holds c.write.
func (s *Side) createReport(c *connection, l *listing, includeRuns bool) link.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.BootMs()
	r := link.Report{SentMs: now, Epoch: s.epoch, LeaseLeftMs: s.leaseLeft(now), AnsweredMs: c.answeredMs}
	if s.incarnation != nil {
		info := s.incarnation.info
		r.Worker, r.Leaving = &info, s.incarnation.leaving
		r.UnresponsiveMs = now - s.incarnation.answeredMs
	}
	r.Refusals, c.orders.refusals = c.orders.refusals, nil
	r.OrdersDone, r.OrdersReceived, r.OrdersOpen = c.orders.completedUpTo(), c.orders.last, c.orders.open
	if l != nil && l.incarnation == s.incarnation && l.conn == c {
		for _, e := range l.completions {
			if e.Number > c.reportedCompletion {
				r.Completions = append(r.Completions, e)
				c.reportedCompletion = e.Number
			}
		}
		if includeRuns {
			// The list does not cover orders that were answered after the call.
			r.Listed, r.Complete, r.Runs, r.OrdersDone, r.Fence = true, l.complete, l.runs, l.ordersDone, l.fence
		}
	}
	c.lastReportMs = now
	return r
}

// leaseLeft returns the time after which no run can be active on the worker unless its lease is renewed.
func (s *Side) leaseLeft(now int64) int64 {
	inc := s.incarnation
	if inc == nil {
		return max(s.startedMs+maxLeaseMs(s.set)-now, 0) // the worker may have restarted and taken a call of an earlier process
	}
	left := inc.inheritedLeaseMs - now
	if inc.leaseUntilMs > 0 {
		left = max(left, inc.leaseUntilMs+clockSlackMs(s.set)-now)
	}
	return max(left, 0)
}
