package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"sort"
	"syscall"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// A bridge is a connection of the decider to a side process through an entry in another availability zone. It is used when
// two zones cannot reach each other while a third reaches both: without it every lease in the other zone would expire.
const (
	// maxBridges bounds the connections that an entry forwards. A zone has some 50 instances, and several entries share them.
	maxBridges = 64
	// bridgeIdleTimeout is the time without a byte in one direction after which a bridge is closed. Reports and their answers
	// pass at least every 0.45 s.
	bridgeIdleTimeout = 2500 * time.Millisecond
	// bridgeBufferBytes is the size of the buffer of each direction.
	bridgeBufferBytes = 16 << 10
	// bridgeAttempts is the number of failed attempts in a row after which only one in bridgeAttempts uses a bridge: an
	// instance without power is not reached through others either.
	bridgeAttempts = 4
	// directProbeInterval is the time between attempts to replace a bridge by a direct connection.
	directProbeInterval = 5 * time.Second
)

// bridgePeers returns the entries that may reach both an instance and this entry, whose zones are given: entries in a third
// zone. They are ordered by a hash, so that the connections of a zone spread over them.
func (r *relay) bridgePeers(ownZone, zone, instance string) []work.ProcessAddress {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.BootMs()
	var list []work.ProcessAddress
	order := map[string]uint32{}
	for _, p := range r.peers {
		if p.Zone == "" || p.Zone == ownZone || p.Zone == zone || now < p.backoffUntilMs {
			continue
		}
		h := fnv.New32a()
		_, _ = io.WriteString(h, instance+" "+p.Instance)
		order[p.Instance] = h.Sum32()
		list = append(list, p.ProcessAddress)
	}
	sort.Slice(list, func(i, k int) bool { return order[list[i].Instance] < order[list[k].Instance] })
	return list[:min(len(list), maxPeersPerCall)]
}

// dialSide connects to the address of a side process.
func dialSide(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: sideDialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// dial connects to the side process, directly or, after a direct attempt without an answer, through another entry. It
// reports whether the connection is a bridge.
func (s *sideLink) dial(ctx context.Context, failures int) (conn net.Conn, bridged bool, err error) {
	conn, err = s.dialDirect(ctx, s.address)
	if err == nil {
		return conn, false, nil
	}
	if errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || failures >= bridgeAttempts && failures%bridgeAttempts != 0 {
		return nil, false, err
	}
	e := s.d.entry
	for _, p := range e.relay.bridgePeers(e.set.Zone, s.zone, s.instance) {
		if conn, bridgeErr := openBridge(ctx, p.Address, s.address); bridgeErr == nil {
			e.log.Log(logevent.BridgeOpened, logevent.Str("instance", s.instance), logevent.Str("entry", p.Instance), logevent.Err(err))
			return conn, true, nil
		}
	}
	return nil, false, err
}

// openBridge returns a connection to a side process through the entry at the address.
func openBridge(ctx context.Context, entry, side string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", entry)
	if err != nil {
		return nil, fmt.Errorf("call entry %s: %w", entry, errdefs.New(errdefs.Unavailable, err.Error(), "try another entry"))
	}
	var reply link.PeerReply
	if err = link.WriteMessage(conn, link.PeerCall{Bridge: side}); err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(peerTimeout))
		err = link.ReadMessage(conn, &reply)
	}
	if err == nil {
		err = reply.Problem.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("reach %s through entry %s: %w", side, entry, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return conn, nil
}

// probeDirect closes a bridge once the side process can be reached directly.
func (s *sideLink) probeDirect(ctx context.Context, bridge net.Conn) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, directProbeInterval)
		if conn, err := s.dialDirect(ctx, s.address); err == nil {
			_ = conn.Close()
			_ = bridge.Close()
			return
		}
	}
}

// serveBridge connects to a side process, replies, and forwards bytes until one connection ends.
func (e *Entry) serveBridge(ctx context.Context, conn net.Conn, address string) {
	select {
	case e.bridges <- struct{}{}:
		defer func() { <-e.bridges }()
	default:
		_ = link.WriteMessage(conn, link.PeerReply{Problem: link.ProblemOf(errdefs.OfKind(errdefs.Unavailable))})
		return
	}
	side, err := dialSide(ctx, address)
	if err != nil {
		unreachable := errdefs.New(errdefs.Unavailable, err.Error(), "try another entry")
		_ = link.WriteMessage(conn, link.PeerReply{Problem: link.ProblemOf(unreachable)}) // the peer takes no reply for a failure too
		return
	}
	defer side.Close()
	if err := link.WriteMessage(conn, link.PeerReply{}); err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
		_ = side.Close()
	})
	defer stop()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{conn, side}, {side, conn}} {
		go func() {
			forward(way[0], way[1])
			ended <- struct{}{}
		}()
	}
	<-ended
	_ = conn.Close()
	_ = side.Close()
	<-ended
}

// forward copies bytes until a connection fails or is idle for bridgeIdleTimeout.
func forward(from, to net.Conn) {
	buf := make([]byte, bridgeBufferBytes)
	for {
		_ = from.SetReadDeadline(time.Now().Add(bridgeIdleTimeout))
		n, err := from.Read(buf)
		if n > 0 {
			_ = to.SetWriteDeadline(time.Now().Add(link.WriteTimeout))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
