// Package side runs the process beside a worker: it acknowledges the worker's heartbeats, keeps the worker's lease, carries
// out the decider's orders and reports what is at work and what has ended.
package side

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// reportEvery is the longest time between two reports; a decider takes a worker for silent after 1.2 s.
	reportEvery = 450 * time.Millisecond
	// linkSilence is the silence after which a connection is given up. Every report is answered.
	linkSilence = 2500 * time.Millisecond
	// helloTimeout bounds the wait for the greeting of a new connection.
	helloTimeout = 2 * time.Second
	// acceptRetry is the pause after a connection that could not be accepted.
	acceptRetry = 400 * time.Millisecond
	// stopGrace bounds answering heartbeats in progress at the end of the process.
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
	// startedMs is the boot time of the process. An earlier run of it may have renewed leases until then.
	startedMs int64

	mu sync.Mutex
	// epoch and fence are the highest that a decider sent.
	epoch, fence uint64
	conn         *connection
	life         *life
	// leaseEndMs is until when the worker may go on, by the newest word of a decider.
	leaseEndMs int64
}

// New binds the listeners of a side process.
func New(set settings.Fleet, store work.Store, log logevent.Logger, m *Meters) (*Side, error) {
	peer, err := net.Listen("tcp", set.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for the decider: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	control, err := httpserver.Listen(set.Control)
	if err != nil {
		return nil, err
	}
	s := &Side{set: set, store: store, log: log, meters: m, control: control, peer: peer, startedMs: clock.BootMs()}
	control.NoRoute(s.serveWorker)
	return s, nil
}

// ControlAddress returns the bound address for heartbeats.
func (s *Side) ControlAddress() string { return s.control.Address() }

// Run serves until ctx ends. The worker's lease outlives a restart of this process.
func (s *Side) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go work.Publish(ctx, s.store, work.TopicSides, work.SideAddress{Instance: s.set.Instance, Address: s.set.PeerAddress(s.peer.Addr()), Zone: s.set.Zone}, s.log)
	go s.acceptDeciders(ctx)
	go s.reportOnTime(ctx)
	s.log.Log(logevent.Started, logevent.Str("peer", s.set.Peer), logevent.Str("control", s.set.Control),
		logevent.Str("worker", s.set.Worker), logevent.Int("lease_ms", s.set.Bounds.Lease.Milliseconds()))
	err := s.control.Serve(ctx, stopGrace)
	s.log.Log(logevent.Stopped)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// connection is a connection of a decider.
type connection struct {
	conn  net.Conn
	entry string
	epoch uint64
	// write serializes messages.
	write sync.Mutex
	// orders tracks which orders the worker has answered.
	orders tracker
	// reported is the highest end of the current life that was sent on this connection.
	reported int64
	reportMs int64
	// answered is the newest report that the decider answered on this connection.
	answered int64
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

// serveDecider takes orders from a connection until it ends or a newer one replaces it.
func (s *Side) serveDecider(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	var hello link.Hello
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := link.ReadMessage(conn, &hello); err != nil {
		s.log.Log(logevent.DeciderUnlinked, logevent.Err(err))
		return
	}
	c, epoch := s.adopt(conn, hello)
	if c == nil {
		// The decider learns that there is a newer one.
		if err := link.WriteMessage(conn, link.Report{SentMs: clock.BootMs(), Epoch: epoch}); err != nil {
			s.log.Log(logevent.DeciderUnlinked, logevent.Err(err))
		}
		return
	}
	s.log.Log(logevent.DeciderLinked, logevent.Str("entry", hello.Entry), logevent.Int("epoch", hello.Epoch))
	s.report(nil, false)
	err := s.takeOrders(ctx, c)
	s.mu.Lock()
	if s.conn == c {
		s.conn = nil
	}
	s.mu.Unlock()
	s.log.Log(logevent.DeciderUnlinked, logevent.Str("entry", hello.Entry), logevent.Int("epoch", hello.Epoch), logevent.Err(err))
}

// adopt makes a connection the current one, unless a decider with a higher epoch is known.
func (s *Side) adopt(conn net.Conn, hello link.Hello) (*connection, uint64) {
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
	if s.life != nil {
		s.life.dropOrders()
	}
	return s.conn, s.epoch
}

func (s *Side) takeOrders(ctx context.Context, c *connection) error {
	for ctx.Err() == nil {
		var o link.Orders
		_ = c.conn.SetReadDeadline(time.Now().Add(linkSilence))
		if err := link.ReadMessage(c.conn, &o); err != nil {
			return err
		}
		s.takeOrder(c, &o)
	}
	return ctx.Err()
}

func (s *Side) takeOrder(c *connection, o *link.Orders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != c {
		return
	}
	if o.Answered > 0 {
		c.answered = max(c.answered, o.Answered)
		s.leaseEndMs = max(s.leaseEndMs, o.Answered+s.set.Bounds.Lease.Milliseconds())
		s.meters.heard(clock.BootMs() - o.Answered)
	}
	if o.Fence > s.fence {
		s.fence = o.Fence
		if s.life != nil {
			s.life.kick()
		}
	}
	if o.Number == 0 {
		return
	}
	if s.life == nil || s.life.info.Life != o.Life {
		for _, st := range o.Starts {
			c.orders.refusals = append(c.orders.refusals, link.Refusal{Task: st.Task, Run: st.Run, Reason: link.ReasonGone})
		}
		c.orders.add(o.Number, 0)
		return
	}
	s.life.order(c, o)
}

// reportOnTime reports while the worker is silent or unknown.
func (s *Side) reportOnTime(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportEvery)
		s.mu.Lock()
		due := s.conn != nil && clock.BootMs()-s.conn.reportMs >= reportEvery.Milliseconds()
		s.mu.Unlock()
		if due {
			s.report(nil, false)
		}
	}
}

// listing is what the worker listed, with what was known when it was asked.
type listing struct {
	life  *life
	fence uint64
	// ordersDone is the highest number of orders that the worker had answered before.
	conn       *connection
	ordersDone uint64
	runs       []link.Run
	ends       []link.End
}

// report sends a report to the decider, if one is connected. Runs are sent if full is true.
func (s *Side) report(l *listing, full bool) {
	s.mu.Lock()
	c := s.conn
	if c == nil {
		s.mu.Unlock()
		return
	}
	now := clock.BootMs()
	r := link.Report{SentMs: now, Epoch: s.epoch, LeaseLeftMs: s.leaseLeft(now), Answered: c.answered}
	if s.life != nil {
		info := s.life.info
		r.Worker, r.Leaving = &info, s.life.leaving
		r.SilentMs = now - s.life.answeredMs
	}
	r.Refusals, c.orders.refusals = c.orders.refusals, nil
	r.OrdersDone = c.orders.done()
	if l != nil && l.life == s.life && l.conn == c {
		for _, e := range l.ends {
			if e.Number > c.reported {
				r.Ends = append(r.Ends, e)
				c.reported = e.Number
			}
		}
		if full {
			// Lists say nothing of orders that were answered after the worker was asked.
			r.Listed, r.Runs, r.OrdersDone, r.Fence = true, l.runs, l.ordersDone, l.fence
		}
	}
	c.reportMs = now
	s.mu.Unlock()
	c.write.Lock()
	defer c.write.Unlock()
	if err := link.WriteMessage(c.conn, r); err != nil {
		// The reader of the connection sees its end and says so in the log.
		c.close()
	}
}

// leaseLeft returns the time after which nothing can be at work on the worker unless its lease is renewed.
func (s *Side) leaseLeft(now int64) int64 {
	until := s.startedMs + s.set.Bounds.Lease.Milliseconds()
	if s.life != nil {
		until = s.life.heldUntilMs
	}
	if until == 0 {
		return 0
	}
	return max(until+slackMs(s.set)-now, 0)
}
