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
	// connsPerEndpoint bounds connections of all entries together to one side process for requests. It leaves room for
	// pings below the 64 connections that a side process takes, and connsLeast is what an entry gets at least.
	connsPerEndpoint = 56
	connsLeast       = 16
	// watchEvery is the time between looks at sendings in progress.
	watchEvery = 100 * time.Millisecond
	// askAfter is the age from which a side process is asked whether it works on a sending.
	askAfter = 200 * time.Millisecond
	// pingEvery is the time between pings of a side process in use.
	pingEvery = 500 * time.Millisecond
	// pingWhileWaiting is the time between questions about sendings in progress. A sending that two questions in a row
	// did not find has lost its connection; one question could pass it on its way.
	pingWhileWaiting = 250 * time.Millisecond
	pingTimeout      = 400 * time.Millisecond
	// clockFresh is how old a sample of a side process's clock may be when a request that must not run twice is sent.
	clockFresh = 5 * time.Second
	// linkIdle is when an unused link is dropped.
	linkIdle = time.Minute
	// maxAsked bounds the sendings named in one question.
	maxAsked = 100
)

// errSilent means that a side process answered no ping.
var errSilent = errors.New("the side process does not answer")

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
	tries   map[string]*sending
	used    time.Time
	pinged  time.Time
	pinging bool
	// run names the run of the side process, clockMs its clock at some time before clockAt.
	run     string
	clockMs int64
	clockAt time.Time
}

// sending is one sending in progress.
type sending struct {
	at     time.Time
	missed int
	// silent is true once the side process did not know the sending twice in a row.
	silent bool
}

// linkTo returns the link to an address.
func (e *Entry) linkTo(address string) (*link, error) {
	return e.links.to(address, max(connsLeast, connsPerEndpoint/(len(e.peers.live())+1)))
}

// to returns the link to an address, with at most so many connections for requests.
func (t *links) to(address string, conns int) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.byAddress[address]; l != nil {
		return l, nil
	}
	l := &link{address: address, tries: make(map[string]*sending), used: time.Now()}
	var err error
	if l.data, err = httpserver.NewTLSPool(t.keys, dialTimeout, conns, true, tlsconf.Side); err != nil {
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

func (t *links) all() []*link {
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
	return len(l.tries) == 0 && time.Since(l.used) > linkIdle
}

func (l *link) close() {
	l.data.Close()
	l.pings.Close()
}

// meant notes the run of the side process that the next request is meant for. Idle connections to an earlier run have
// ended or will: a request sent on one would have an unknown outcome, and three of them ejected an endpoint that had
// only restarted.
func (l *link) meant(incarnation uint64) {
	l.mu.Lock()
	restarted := incarnation > l.incarnation
	l.incarnation = max(l.incarnation, incarnation)
	l.mu.Unlock()
	if restarted {
		l.data.AbortIdle()
		l.pings.AbortIdle()
	}
}

// begin notes a sending until the returned function is called, which reports whether its connection went silent.
func (l *link) begin(try string) func() bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &sending{at: now}
	l.tries[try] = s
	l.used = now
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.tries, try)
		return s.silent
	}
}

// heardClock takes a sample of the side process's clock.
func (l *link) heardClock(header string) {
	run, ms, ok := strings.Cut(header, ":")
	at, err := strconv.ParseInt(ms, 10, 64)
	if !ok || err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run, l.clockMs, l.clockAt = run, at, time.Now()
}

// expires returns the deadline on the side process's clock, never later than it is. It is empty without a sample.
func (l *link) expires(deadline time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.run == "" {
		return ""
	}
	left := deadline.Sub(l.clockAt)
	// Clocks may differ in rate by 2%.
	left -= left / 50
	return fmt.Sprintf("%s:%d", l.run, l.clockMs+left.Milliseconds())
}

// ensureClock asks for the side process's clock unless a fresh sample is known.
func (l *link) ensureClock(ctx context.Context) error {
	l.mu.Lock()
	fresh := l.run != "" && time.Since(l.clockAt) < clockFresh
	l.mu.Unlock()
	if fresh {
		return nil
	}
	_, err := l.ping(ctx, nil, 0)
	return err
}

// watchLinks looks for side processes and connections that went silent.
func (e *Entry) watchLinks(ctx context.Context) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, l := range e.links.all() {
			if asked, due := l.due(); due {
				go e.check(ctx, l, asked)
			}
		}
	}
}

// due reports whether the side process is to be asked now, and about which sendings.
func (l *link) due() ([]string, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pinging {
		return nil, false
	}
	var asked []string
	for try, s := range l.tries {
		if now.Sub(s.at) >= askAfter && len(asked) < maxAsked {
			asked = append(asked, try)
		}
	}
	since := now.Sub(l.pinged)
	if (len(asked) == 0 || since < pingWhileWaiting) && (now.Sub(l.used) > time.Second || since < pingEvery) {
		return nil, false
	}
	l.pinging, l.pinged = true, now
	return asked, true
}

// check asks the side process about sendings in progress. It gives up the connections of those that it does not work on,
// and all connections if it does not answer on a fresh one either.
func (e *Entry) check(ctx context.Context, l *link, asked []string) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pinging = false
	}()
	known, err := l.ping(ctx, asked, e.revision())
	if err != nil {
		if ctx.Err() == nil {
			e.log.Log(logevent.SideSilent, logevent.Str("address", l.address), logevent.Err(err))
			l.data.AbortAll()
		}
		return
	}
	for _, try := range l.missing(asked, known) {
		e.log.Log(logevent.ConnectionSilent, logevent.Str("address", l.address))
		// Idle connections may have gone silent with this one.
		l.data.AbortIdle()
		l.data.Abort(try)
	}
}

// missing counts the sendings that were asked for and not found, and returns those that have lost their connection.
func (l *link) missing(asked []string, known map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost []string
	for _, try := range asked {
		s := l.tries[try]
		if s == nil {
			continue
		}
		if known[try] {
			s.missed = 0
			continue
		}
		if s.missed++; s.missed == 2 {
			s.silent = true
			lost = append(lost, try)
		}
	}
	return lost
}

// ping asks which of the sendings the side process works on. A ping that fails is repeated once on a fresh connection.
func (l *link) ping(ctx context.Context, asked []string, revision uint64) (map[string]bool, error) {
	var err error
	for range 2 {
		var known map[string]bool
		if known, err = l.pingOnce(ctx, asked, revision); err == nil {
			return known, nil
		}
		l.pings.AbortAll()
	}
	return nil, fmt.Errorf("%w: %w", errSilent, err)
}

func (l *link) pingOnce(ctx context.Context, asked []string, revision uint64) (map[string]bool, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI("http://" + l.address + "/-/ping")
	req.Header.Set(control.HeaderTries, strings.Join(asked, ","))
	req.Header.Set(control.HeaderRevision, strconv.FormatUint(revision, 10))
	if err := l.pings.Do(ctx, req, resp, time.Now().Add(pingTimeout)); err != nil {
		return nil, err
	}
	if resp.StatusCode() != 200 {
		return nil, fmt.Errorf("ping was answered with status %d", resp.StatusCode())
	}
	l.heardClock(string(resp.Header.Peek(control.HeaderClock)))
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
