package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// sideDialTimeout bounds connecting to a side process; a machine without power does not refuse the connection.
	sideDialTimeout = 600 * time.Millisecond
	// minSideRetry and maxSideRetry bound the backoff between connection attempts.
	minSideRetry = 100 * time.Millisecond
	maxSideRetry = 800 * time.Millisecond
	// sideReadTimeout is the time without a report after which a connection is closed; a side process reports every 0.45 s.
	sideReadTimeout = 1500 * time.Millisecond
)

// sideLink is the decider's connection to one side process. The decider's event loop owns its fields.
type sideLink struct {
	d        *decider
	instance string
	zone     string
	address  string
	// dialDirect connects to an address without another entry. It does not change.
	dialDirect func(ctx context.Context, address string) (net.Conn, error)
	cancel     context.CancelFunc
	// out holds what waits for the open connection; nil if there is none.
	out *sideQueue
	// conn is the open connection.
	conn net.Conn
	// failureLogged is true while attempts fail, so that only the first failure is logged.
	failureLogged bool
}

// connectSide connects to a side process and closes the connection to its former address.
func (d *decider) connectSide(a work.ProcessAddress) {
	if s := d.sides[a.Instance]; s != nil {
		if s.address == a.Address {
			return
		}
		s.cancel()
		if s.conn != nil {
			// The event that the old connection has ended may come after the one that the new connection is open.
			s.close()
			s.disconnected(errAddressChanged)
		}
	}
	ctx, cancel := context.WithCancel(d.ctx)
	s := &sideLink{d: d, instance: a.Instance, zone: a.Zone, address: a.Address, dialDirect: d.dialSide, cancel: cancel}
	d.sides[a.Instance] = s
	go s.run(ctx)
}

var errAddressChanged = errors.New("the side process has another address now")

func (d *decider) closeSides() {
	for _, s := range d.sides {
		s.cancel()
		s.close()
	}
}

// close closes the open connection.
func (s *sideLink) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// send queues a message. It closes a connection for which more messages wait than the dispatch state permits.
func (s *sideLink) send(o link.Orders) {
	if s.out != nil && !s.out.put(o) {
		s.d.entry.log.Log(logevent.SideUnlinked, logevent.Str("instance", s.instance), logevent.Str("reason", "too many messages wait"))
		s.close()
	}
}

// run keeps a connection open until ctx ends.
func (s *sideLink) run(ctx context.Context) {
	pause, failures := minSideRetry, 0
	for ctx.Err() == nil {
		conn, bridged, err := s.dial(ctx, failures)
		if err == nil {
			err = link.WriteMessage(conn, link.Hello{Epoch: s.d.epoch, Entry: s.d.entry.set.Instance, Instance: s.instance})
		}
		if err != nil {
			s.d.post(func() { s.logFailure(err) })
			clock.Sleep(ctx, pause)
			pause = min(2*pause, maxSideRetry)
			failures++
			continue
		}
		pause, failures = minSideRetry, 0
		connCtx, cancel := context.WithCancel(ctx)
		if bridged {
			go s.probeDirect(connCtx, conn)
		}
		s.serve(ctx, conn)
		cancel()
		clock.Sleep(ctx, minSideRetry)
	}
}

// logFailure logs the first failure of a series.
func (s *sideLink) logFailure(err error) {
	if !s.failureLogged {
		s.failureLogged = true
		s.d.entry.log.Log(logevent.SideUnlinked, logevent.Str("instance", s.instance), logevent.Err(err))
	}
}

// serve reads reports from a connection until it ends.
func (s *sideLink) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	out := newSideQueue()
	connected := make(chan struct{})
	writing, stopWriting := context.WithCancel(ctx)
	defer stopWriting()
	go s.write(writing, conn, out)
	s.d.post(func() {
		defer close(connected)
		if ctx.Err() != nil {
			return
		}
		s.out, s.conn, s.failureLogged = out, conn, false
		s.d.entry.log.Log(logevent.SideLinked, logevent.Str("instance", s.instance))
		s.d.applyEvent(dispatch.SideConnected{Instance: s.instance})
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
		s.disconnected(err)
	})
	select {
	case <-ended:
	case <-s.d.ctx.Done():
	}
}

// disconnected records that the open connection has ended.
func (s *sideLink) disconnected(err error) {
	s.out, s.conn = nil, nil
	s.d.applyEvent(dispatch.SideDisconnected{Instance: s.instance})
	s.logFailure(err)
}

// write sends queued messages.
func (s *sideLink) write(ctx context.Context, conn net.Conn, out *sideQueue) {
	for {
		o, ok := out.next(ctx)
		if !ok {
			return
		}
		if err := link.WriteMessage(conn, o); err != nil {
			_ = conn.Close() // the reader of the connection reports the failure
			return
		}
	}
}

// read receives reports until the connection fails.
func (s *sideLink) read(ctx context.Context, conn net.Conn) error {
	for {
		r := &link.Report{}
		_ = conn.SetReadDeadline(time.Now().Add(sideReadTimeout))
		if err := link.ReadMessage(conn, r); err != nil {
			return err
		}
		s.d.post(func() {
			if ctx.Err() != nil || s.conn != conn {
				return
			}
			s.applyReport(r)
		})
	}
}

// applyReport handles a report.
func (s *sideLink) applyReport(r *link.Report) {
	if r.Epoch > s.d.epoch {
		// The side process has accepted a newer decider; the store will fence this one too.
		s.d.entry.log.Log(logevent.DeciderRoleLost, logevent.Int("epoch", s.d.epoch), logevent.Int("newer", r.Epoch))
		s.d.claimLost = true
		return
	}
	s.d.applyEvent(dispatch.Reported{Instance: s.instance, Report: r})
	s.d.answerReport(s, r)
}
