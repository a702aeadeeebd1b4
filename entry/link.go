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

// Times of the connections to side processes. Together they bound detection of a silent connection and recovery by 2 s.
const (
	// dialTimeout bounds new connections to side processes.
	dialTimeout = 500 * time.Millisecond
	// maxConnsPerEndpoint bounds connections of all entries together to one side process for requests. It leaves room for
	// pings below the 64 connections that a side process takes, and connsLeast is what an entry gets at least.
	maxConnsPerEndpoint = 56
	minConnsPerEntry    = 16
	// watchInterval is the time between looks at sendings in progress.
	watchInterval = 100 * time.Millisecond
	// probeAfter is the age from which a side process is asked whether it works on a sending.
	probeAfter = 200 * time.Millisecond
	// pingInterval is the time between pings of a side process in use.
	pingInterval = 500 * time.Millisecond
	// inFlightPingInterval is the time between questions about sendings in progress. A sending that two questions in a row
	// did not find has lost its connection; one question could pass it on its way.
	inFlightPingInterval = 250 * time.Millisecond
	pingTimeout          = 400 * time.Millisecond
	// maxClockAge is how old a sample of a side process's clock may be when a request that must not run twice is sent.
	maxClockAge = 5 * time.Second
	// linkIdleTimeout is when an unused link is dropped.
	linkIdleTimeout = time.Minute
	// maxTriesPerPing bounds the sendings named in one question.
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

// link is the connections to one side process and what this entry knows of its clock.
type link struct {
	address string
	data    *httpserver.Pool
	pings   *httpserver.Pool

	mu sync.Mutex
	// incarnation is the highest one of the side process that a request was sent to.
	incarnation uint64
	// tries holds the sendings in progress.
	tries    map[string]*inFlightTry
	lastUsed time.Time
	lastPing time.Time
	pinging  bool
	// sideRun names the sideRun of the side process, clockMs its clock at some time before clockAt.
	sideRun string
	clockMs int64
	clockAt time.Time
}

// inFlightTry is one inFlightTry in progress.
type inFlightTry struct {
	sentAt      time.Time
	missedPings int
	// connLost is true once the side process did not know the sending twice in a row.
	connLost bool
}

// linkTo returns the link to an address.
func (e *Entry) linkTo(address string) (*link, error) {
	return e.links.get(address, max(minConnsPerEntry, maxConnsPerEndpoint/(len(e.peers.live())+1)))
}

// get returns the link get an address, with at most so many connections for requests.
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

// observeIncarnation notes the run of the side process that the next request is observeIncarnation for. Idle connections to an earlier run have
// ended or will: a request sent on one would have an unknown outcome, and three of them ejected an endpoint that had
// only restarted.
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

// beginTry notes a sending until the returned function is called, which reports whether its connection went silent.
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

// recordClock takes a sample of the side process's clock.
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

// sideDeadline returns the deadline on the side process's clock, never later than it is. It is empty without a sample.
func (l *link) sideDeadline(deadline time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sideRun == "" {
		return ""
	}
	left := deadline.Sub(l.clockAt)
	// Clocks may differ in rate by 2%.
	left -= left / 50
	return fmt.Sprintf("%s:%d", l.sideRun, l.clockMs+left.Milliseconds())
}

// ensureClock asks for the side process's clock unless a fresh sample is known.
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

// watchLinks looks for side processes and connections that went silent.
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

// pingDue reports whether the side process is to be asked now, and about which sendings.
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
	since := now.Sub(l.lastPing)
	if (len(tries) == 0 || since < inFlightPingInterval) && (now.Sub(l.lastUsed) > time.Second || since < pingInterval) {
		return nil, false
	}
	l.pinging, l.lastPing = true, now
	return tries, true
}

// pingLink asks the side process about sendings in progress. It gives up the connections of those that it does not work on,
// and all connections if it does not answer on a fresh one either.
func (e *Entry) pingLink(ctx context.Context, l *link, tries []string) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pinging = false
	}()
	known, err := l.ping(ctx, tries, e.revision())
	if err != nil {
		if ctx.Err() == nil {
			e.log.Log(logevent.SideSilent, logevent.Str("address", l.address), logevent.Err(err))
			l.data.AbortAll()
		}
		return
	}
	for _, try := range l.countMissed(tries, known) {
		e.log.Log(logevent.ConnectionSilent, logevent.Str("address", l.address))
		// Idle connections may have gone silent with this one.
		l.data.AbortIdle()
		l.data.Abort(try)
	}
}

// countMissed counts the sendings that were asked for and not found, and returns those that have lost their connection.
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

// ping asks which of the sendings the side process works on. A ping that fails is repeated once on a fresh connection.
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

// nudge tells a side process that there is a newer configuration, so that it asks for its orders before its next
// announcement is due.
func (e *Entry) nudge(endpoint string) {
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
		// Best effort: the order is also in the answer to the next announcement.
		_, _ = l.ping(context.Background(), nil, e.revision())
	}
}
