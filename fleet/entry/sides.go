package entry

import (
	"context"
	"net"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// sideDialTimeout bounds connecting to a side process; one without power does not answer.
	sideDialTimeout = 600 * time.Millisecond
	// sideRetryLeast and sideRetryMost bound the pause between attempts.
	sideRetryLeast = 100 * time.Millisecond
	sideRetryMost  = 800 * time.Millisecond
	// sideSilence is the silence after which a connection is given up; a side process reports every 0.45 s.
	sideSilence = 1500 * time.Millisecond
	// sideQueue bounds messages that wait for a slow connection.
	sideQueue = 256
)

// sideLink is the decider's connection to one side process. Its fields belong to the decider's loop.
type sideLink struct {
	d        *decider
	instance string
	address  string
	cancel   context.CancelFunc
	// out is the queue of the open connection; nil if there is none.
	out chan link.Orders
	// conn is the open connection.
	conn net.Conn
	// quiet is true while attempts fail, so that only the first one is logged.
	quiet bool
}

// linkTo connects to a side process, instead of to its former address.
func (d *decider) linkTo(a work.SideAddress) {
	if s := d.sides[a.Instance]; s != nil {
		if s.address == a.Address {
			return
		}
		s.cancel()
		s.close()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	s := &sideLink{d: d, instance: a.Instance, address: a.Address, cancel: cancel}
	d.sides[a.Instance] = s
	go s.run(ctx)
}

func (d *decider) closeSides() {
	for _, s := range d.sides {
		s.cancel()
		s.close()
	}
}

// close ends the open connection.
func (s *sideLink) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// send queues a message. A connection whose queue is full is given up.
func (s *sideLink) send(o link.Orders) {
	if s.out == nil {
		return
	}
	select {
	case s.out <- o:
	default:
		s.close()
	}
}

// run keeps a connection open until ctx ends.
func (s *sideLink) run(ctx context.Context) {
	pause := sideRetryLeast
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: sideDialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", s.address)
		if err == nil {
			err = link.WriteMessage(conn, link.Hello{Epoch: s.d.epoch, Entry: s.d.entry.set.Instance})
		}
		if err != nil {
			s.d.post(func() { s.failed(err) })
			clock.Sleep(ctx, pause)
			pause = min(2*pause, sideRetryMost)
			continue
		}
		pause = sideRetryLeast
		s.serve(ctx, conn)
		clock.Sleep(ctx, sideRetryLeast)
	}
}

// failed logs the first failure of a series.
func (s *sideLink) failed(err error) {
	if !s.quiet {
		s.quiet = true
		s.d.entry.log.Log(logevent.SideUnlinked, logevent.Str("instance", s.instance), logevent.Err(err))
	}
}

// serve reads reports from a connection until it ends.
func (s *sideLink) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	out := make(chan link.Orders, sideQueue)
	connected := make(chan struct{})
	go s.write(ctx, conn, out)
	s.d.post(func() {
		defer close(connected)
		if ctx.Err() != nil {
			return
		}
		s.out, s.conn, s.quiet = out, conn, false
		s.d.entry.log.Log(logevent.SideLinked, logevent.Str("instance", s.instance))
		s.d.step(dispatch.SideConnected{Instance: s.instance})
	})
	select {
	case <-connected:
	case <-s.d.ctx.Done():
	}
	err := s.read(ctx, conn)
	ended := make(chan struct{})
	s.d.post(func() {
		defer close(ended)
		if s.conn != conn {
			return
		}
		s.out, s.conn = nil, nil
		close(out)
		s.d.step(dispatch.SideLost{Instance: s.instance})
		s.failed(err)
	})
	select {
	case <-ended:
	case <-s.d.ctx.Done():
	}
}

// write sends queued messages.
func (s *sideLink) write(ctx context.Context, conn net.Conn, out <-chan link.Orders) {
	for {
		select {
		case <-ctx.Done():
			return
		case o, ok := <-out:
			if !ok {
				return
			}
			if err := link.WriteMessage(conn, o); err != nil {
				_ = conn.Close() // the reader of the connection reports its end
				return
			}
		}
	}
}

// read takes reports until the connection ends.
func (s *sideLink) read(ctx context.Context, conn net.Conn) error {
	for {
		r := &link.Report{}
		_ = conn.SetReadDeadline(time.Now().Add(sideSilence))
		if err := link.ReadMessage(conn, r); err != nil {
			return err
		}
		s.d.post(func() {
			if ctx.Err() != nil || s.conn != conn {
				return
			}
			s.take(r)
		})
	}
}

// take carries out a report.
func (s *sideLink) take(r *link.Report) {
	if r.Epoch > s.d.epoch {
		// The side process met a newer decider; the store will say so too.
		s.d.entry.log.Log(logevent.ClaimLost, logevent.Int("epoch", s.d.epoch), logevent.Int("newer", r.Epoch))
		s.d.lost = true
		return
	}
	s.d.step(dispatch.Reported{Instance: s.instance, Report: r})
	s.d.authorityFor(s, r)
}
