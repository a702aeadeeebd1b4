package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// Times of the connections to side processes. Together they bound detecting an unresponsive connection and recovering from
// it to 2 s.
const (
	// dialTimeout bounds dialling a side process.
	dialTimeout = 500 * time.Millisecond
	// maxConnsPerEndpoint bounds the request connections of all entries together to one side process. It leaves some of the
	// 64 connections that a side process accepts for pings. Each entry gets at least minConnsPerEntry.
	maxConnsPerEndpoint = 56
	minConnsPerEntry    = 16
	// watchInterval is the time between scans of the tries in flight.
	watchInterval = 100 * time.Millisecond
	// probeAfter is the age from which pings ask a side process whether it still works on a try.
	probeAfter = 200 * time.Millisecond
	// pingInterval is the time between pings of a side process in use.
	pingInterval = 500 * time.Millisecond
	// inFlightPingInterval is the time between pings that ask about tries in flight. A try that is missing from the replies
	// to two pings in a row has lost its connection; a single ping can overtake the request.
	inFlightPingInterval = 250 * time.Millisecond
	pingTimeout          = 400 * time.Millisecond
	// maxClockAge is the maximum age of a clock sample of the side process when a request that must not run twice is sent.
	maxClockAge = 5 * time.Second
	// linkIdleTimeout is the time after which an unused link is closed.
	linkIdleTimeout = time.Minute
	// maxTriesPerPing bounds the tries listed in one ping.
	maxTriesPerPing = 100
)

// errUnresponsive means that a side process answered no ping.
var errUnresponsive = errors.New("the side process does not answer")

// links holds the connections to side processes, by address.
type links struct {
	// keys are for encrypted connections; nil without TLS.
	keys      *tlsconf.Keys
	mu        sync.Mutex
	byAddress map[string]*link
}

// link holds the connections to one side process and the newest sample of its clock.
type link struct {
	address string
	data    *httpserver.Pool
	pings   *httpserver.Pool

	mu sync.Mutex
	// incarnation is the highest incarnation of the side process that a request was sent to.
	incarnation uint64
	// tries holds the tries in flight by id.
	tries    map[string]*inFlightTry
	lastUsed time.Time
	lastPing time.Time
	pinging  bool
	// sideRun identifies the process run that the clock sample is from; clockMs was its clock at some time before clockAt.
	sideRun string
	clockMs int64
	clockAt time.Time
}

// inFlightTry is a try that has not ended yet.
type inFlightTry struct {
	sentAt      time.Time
	missedPings int
	// connLost is true once two pings in a row showed that the side process does not know the try.
	connLost bool
}

// linkTo returns the link to an address.
func (e *Entry) linkTo(address string) (*link, error) {
	return e.links.get(address, max(minConnsPerEntry, maxConnsPerEndpoint/(len(e.peers.live())+1)))
}

// get returns the link to an address and creates it with at most maxConns request connections if there is none.
func (t *links) get(address string, maxConns int) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.byAddress[address]; l != nil {
		return l, nil
	}
	l := &link{address: address, tries: make(map[string]*inFlightTry), lastUsed: time.Now()}
	var err error
	if l.data, err = httpserver.NewTLSPool(t.keys, dialTimeout, maxConns, true, tlsconf.Side); err != nil {
		return nil, err
	}
	if l.pings, err = httpserver.NewTLSPool(t.keys, pingTimeout, 4, true, tlsconf.Side); err != nil {
		return nil, err
	}
	if t.byAddress == nil {
		t.byAddress = make(map[string]*link)
	}
	t.byAddress[address] = l
	return l, nil
}

// active returns the links in use, and removes and closes the idle ones.
func (t *links) active() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*link
	for address, l := range t.byAddress {
		if l.idle() {
			delete(t.byAddress, address)
			go l.close()
			continue
		}
		list = append(list, l)
	}
	return list
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tries) == 0 && time.Since(l.lastUsed) > linkIdleTimeout
}

func (l *link) close() {
	l.data.Close()
	l.pings.Close()
}

// observeIncarnation records the incarnation of the side process that the next request is for. Idle connections to an
// earlier incarnation are closed or will be: a request sent on one would have an unknown outcome, and three of these ejected
// an endpoint that had only restarted.
func (l *link) observeIncarnation(incarnation uint64) {
	l.mu.Lock()
	restarted := incarnation > l.incarnation
	l.incarnation = max(l.incarnation, incarnation)
	l.mu.Unlock()
	if restarted {
		l.data.AbortIdle()
		l.pings.AbortIdle()
	}
}

// beginTry registers a try until the returned function is called, which reports whether the connection was lost.
func (l *link) beginTry(try string) func() bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &inFlightTry{sentAt: now}
	l.tries[try] = s
	l.lastUsed = now
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.tries, try)
		return s.connLost
	}
}

// recordClock stores a clock sample from a response header of the side process.
func (l *link) recordClock(header string) {
	run, ms, ok := strings.Cut(header, ":")
	at, err := strconv.ParseInt(ms, 10, 64)
	if !ok || err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sideRun, l.clockMs, l.clockAt = run, at, time.Now()
}

// sideDeadline returns the deadline on the side process's clock, never later than the true one. It is empty without a sample.
func (l *link) sideDeadline(deadline time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sideRun == "" {
		return ""
	}
	remaining := deadline.Sub(l.clockAt)
	// Clocks may differ in rate by 2%.
	remaining -= remaining / 50
	return fmt.Sprintf("%s:%d", l.sideRun, l.clockMs+remaining.Milliseconds())
}

// ensureClock pings the side process for its clock unless there is a recent sample.
func (l *link) ensureClock(ctx context.Context) error {
	l.mu.Lock()
	fresh := l.sideRun != "" && time.Since(l.clockAt) < maxClockAge
	l.mu.Unlock()
	if fresh {
		return nil
	}
	_, err := l.ping(ctx, nil, 0)
	return err
}

// watchLinks pings the side processes in use until ctx ends, to detect processes and connections that became unresponsive.
func (e *Entry) watchLinks(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, l := range e.links.active() {
			if tries, due := l.pingDue(); due {
				go e.pingLink(ctx, l, tries)
			}
		}
	}
}

// pingDue reports whether the side process is to be pinged now, and which tries the ping asks about.
func (l *link) pingDue() ([]string, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pinging {
		return nil, false
	}
	var tries []string
	for try, s := range l.tries {
		if now.Sub(s.sentAt) >= probeAfter && len(tries) < maxTriesPerPing {
			tries = append(tries, try)
		}
	}
	sincePing := now.Sub(l.lastPing)
	if (len(tries) == 0 || sincePing < inFlightPingInterval) && (now.Sub(l.lastUsed) > time.Second || sincePing < pingInterval) {
		return nil, false
	}
	l.pinging, l.lastPing = true, now
	return tries, true
}

// pingLink asks the side process about tries in flight. It aborts the connections of tries that the process does not know,
// and all connections if the process does not answer on a new one either.
func (e *Entry) pingLink(ctx context.Context, l *link, tries []string) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pinging = false
	}()
	known, err := l.ping(ctx, tries, e.revision())
	if err != nil {
		if ctx.Err() == nil {
			e.log.Log(logevent.SideUnresponsive, logevent.Str("address", l.address), logevent.Err(err))
			l.data.AbortAll()
		}
		return
	}
	for _, try := range l.countMissed(tries, known) {
		e.log.Log(logevent.ConnectionUnresponsive, logevent.Str("address", l.address))
		// Idle connections may have become unresponsive together with this one.
		l.data.AbortIdle()
		l.data.Abort(try)
	}
}

// countMissed counts the pings in a row that did not find each try, and returns the tries that have lost their connection.
func (l *link) countMissed(tries []string, known map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost []string
	for _, try := range tries {
		s := l.tries[try]
		if s == nil {
			continue
		}
		if known[try] {
			s.missedPings = 0
			continue
		}
		if s.missedPings++; s.missedPings == 2 {
			s.connLost = true
			lost = append(lost, try)
		}
	}
	return lost
}

// ping asks which of the tries the side process works on. A failed ping is repeated once on a new connection.
func (l *link) ping(ctx context.Context, tries []string, revision uint64) (map[string]bool, error) {
	var err error
	for range 2 {
		var known map[string]bool
		if known, err = l.pingOnce(ctx, tries, revision); err == nil {
			return known, nil
		}
		l.pings.AbortAll()
	}
	return nil, fmt.Errorf("%w: %w", errUnresponsive, err)
}

func (l *link) pingOnce(ctx context.Context, tries []string, revision uint64) (map[string]bool, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI("http://" + l.address + "/-/ping")
	req.Header.Set(control.HeaderTries, strings.Join(tries, ","))
	req.Header.Set(control.HeaderRevision, strconv.FormatUint(revision, 10))
	if err := l.pings.Do(ctx, req, resp, time.Now().Add(pingTimeout)); err != nil {
		return nil, err
	}
	if resp.StatusCode() != 200 {
		return nil, fmt.Errorf("ping was answered with status %d", resp.StatusCode())
	}
	l.recordClock(string(resp.Header.Peek(control.HeaderClock)))
	known := make(map[string]bool)
	for try := range strings.SplitSeq(string(resp.Body()), ",") {
		known[try] = true
	}
	return known, nil
}

// notifySide notifies a side process of a newer configuration, so that it fetches its orders before its next announcement is due.
func (e *Entry) notifySide(endpoint string) {
	address := ""
	e.read(func(s *core.State) {
		if ep, ok := s.Members.Get(endpoint); ok {
			address = ep.Address
		}
	})
	if address == "" {
		return
	}
	if l, err := e.linkTo(address); err == nil {
		// Best effort: the order is also in the response to the next announcement.
		_, _ = l.ping(context.Background(), nil, e.revision())
	}
}
