package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// directRetryMs is how long calls go only through peers after a direct call has failed. Then one call probes the store
	// directly.
	directRetryMs = 1500
	// peerBackoffMs is how long a peer is skipped after a failed call.
	peerBackoffMs = 3000
	// peerDialTimeout bounds connecting to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// peerTimeout bounds a call through a peer, in addition to the time that the store is asked to wait. It covers the
	// peer's own timeout for the store and the network.
	peerTimeout = 1500 * time.Millisecond
	// newestTimeout is added to peerTimeout for a page of newest records, which is large.
	newestTimeout = 8 * time.Second
	// maxPeersPerCall bounds the peers that one call tries.
	maxPeersPerCall = 2
	// maxPeerCalls bounds concurrent calls of peers.
	maxPeerCalls = 64
)

// relay is a store that is called directly, or through other entries while direct calls fail. Every call is safe to retry:
// submissions are deduplicated by job ID, records of the decider by sequence number, and conditional appends by their
// condition.
type relay struct {
	direct work.Store
	self   string

	mu sync.Mutex
	// directBackoffUntilMs is until when calls go through peers, 0 if direct calls succeed; probing is true during a probe.
	directBackoffUntilMs int64
	probing              bool
	peers                map[string]*peer
	// failing holds the topics of which calls fail, both directly and through peers.
	failing map[string]failingTopic
}

// failingTopic counts consecutive failed calls about a topic.
type failingTopic struct {
	// sinceMs is when the first failed call was sent, failures the number of failed calls.
	sinceMs  int64
	failures int
}

// minTopicFailures is the number of failed calls from which a topic counts as failing. A single call may wait more than a
// second for a lost answer.
const minTopicFailures = 2

// peer is another entry.
type peer struct {
	work.ProcessAddress
	backoffUntilMs int64
}

func newRelay(direct work.Store, self string) *relay {
	return &relay{direct: direct, self: self, peers: map[string]*peer{}, failing: map[string]failingTopic{}}
}

// setPeer sets the address of another entry.
func (r *relay) setPeer(a work.ProcessAddress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Instance != r.self {
		r.peers[a.Instance] = &peer{ProcessAddress: a}
	}
}

// hasLargerEntry reports whether another entry is known with more than largerFactor times the cores.
func (r *relay) hasLargerEntry(cores float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.Cores > cores*largerFactor {
			return true
		}
	}
	return false
}

// peerAddress returns the address of another entry.
func (r *relay) peerAddress(instance string) (work.ProcessAddress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[instance]
	if p == nil {
		return work.ProcessAddress{}, false
	}
	return p.ProcessAddress, true
}

// useDirect reports whether a call should go to the store directly, and whether it is the probe of a store to which direct
// calls have failed.
func (r *relay) useDirect() (direct, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directBackoffUntilMs == 0 {
		return true, false
	}
	if clock.BootMs() < r.directBackoffUntilMs || r.probing {
		return false, false
	}
	r.probing = true
	return true, true
}

// recordDirect records the result of a direct call.
func (r *relay) recordDirect(err error, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if probe {
		r.probing = false
	}
	if answeredByStore(err) {
		r.directBackoffUntilMs = 0
		return
	}
	r.directBackoffUntilMs = clock.BootMs() + directRetryMs
}

// recordTopic records the result of a call about a topic that was sent at time sent. It ignores calls that were cancelled.
func (r *relay) recordTopic(ctx context.Context, topic string, sent int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answeredByStore(err):
		delete(r.failing, topic)
	case ctx.Err() != nil:
	default:
		l := r.failing[topic]
		if l.failures == 0 {
			l.sinceMs = sent
		}
		l.failures++
		r.failing[topic] = l
	}
}

// failingForMs returns how long calls about a topic have failed; 0 if the last one succeeded.
func (r *relay) failingForMs(topic string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.failing[topic]
	if l.failures < minTopicFailures {
		return 0
	}
	return clock.BootMs() - l.sinceMs
}

// answeredByStore reports whether the store has processed a call, as opposed to a call that failed on the way.
func answeredByStore(err error) bool {
	return err == nil || errors.Is(err, work.ErrConditionFailed) || errors.Is(err, work.ErrFenced) ||
		errors.Is(err, work.ErrSequence) || errors.Is(err, work.ErrExpired)
}

// call makes a call directly, or through peers.
func (r *relay) call(ctx context.Context, call link.PeerCall, wait time.Duration, direct func() (link.PeerReply, error)) (link.PeerReply, error) {
	unknown := error(nil)
	first := error(nil)
	recordError := func(err error) {
		if errdefs.KindOf(err) != errdefs.Unavailable {
			unknown = err
		}
		if first == nil {
			first = err
		}
	}
	directFirst, probe := r.useDirect()
	callDirect := func() (link.PeerReply, error, bool) {
		reply, err := direct()
		if ctx.Err() != nil && !answeredByStore(err) {
			r.recordDirect(nil, probe) // cancelled by the caller, which proves nothing about the store
			return reply, err, true
		}
		r.recordDirect(err, probe)
		return reply, err, answeredByStore(err)
	}
	if directFirst {
		reply, err, final := callDirect()
		if final {
			return reply, err
		}
		recordError(err)
	}
	for _, p := range r.choosePeers() {
		reply, err := callPeer(ctx, p.Address, call, wait)
		if answeredByStore(err) {
			return reply, err
		}
		r.backOffPeer(p.Instance)
		recordError(err)
	}
	if !directFirst {
		reply, err, final := callDirect()
		if final && (answeredByStore(err) || unknown == nil) {
			return reply, err
		}
		recordError(err)
	}
	if unknown != nil {
		return link.PeerReply{}, unknown
	}
	return link.PeerReply{}, first
}

// choosePeers returns peers without recent failures. They are ordered by name, starting after this entry's own, so that
// entries spread their calls over different peers.
func (r *relay) choosePeers() []work.ProcessAddress {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.BootMs()
	var list []work.ProcessAddress
	for _, p := range r.peers {
		if now >= p.backoffUntilMs {
			list = append(list, p.ProcessAddress)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i].Instance > r.self, list[k].Instance > r.self
		if a != b {
			return a
		}
		return list[i].Instance < list[k].Instance
	})
	return list[:min(len(list), maxPeersPerCall)]
}

// backOffPeer skips a peer for peerBackoffMs.
func (r *relay) backOffPeer(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[instance]; p != nil {
		p.backoffUntilMs = clock.BootMs() + peerBackoffMs
	}
}

// Append implements work.Store.
func (r *relay) Append(ctx context.Context, a work.Append) (work.Appended, error) {
	sent := clock.BootMs()
	reply, err := r.call(ctx, link.PeerCall{Append: &a}, 0, func() (link.PeerReply, error) {
		got, err := r.direct.Append(ctx, a)
		return link.PeerReply{Appended: got}, err
	})
	r.recordTopic(ctx, a.Topic, sent, err)
	return reply.Appended, err
}

// Read implements work.Store.
func (r *relay) Read(ctx context.Context, topic string, from int64, wait time.Duration) (work.Page, error) {
	sent := clock.BootMs()
	call := link.PeerCall{Read: &link.ReadCall{Topic: topic, From: from, Wait: wait}}
	reply, err := r.call(ctx, call, wait, func() (link.PeerReply, error) {
		page, err := r.direct.Read(ctx, topic, from, wait)
		return link.PeerReply{Page: page}, err
	})
	r.recordTopic(ctx, topic, sent, err)
	return reply.Page, err
}

// Newest implements work.Store.
func (r *relay) Newest(ctx context.Context, topic string) (work.Snapshot, error) {
	sent := clock.BootMs()
	reply, err := r.call(ctx, link.PeerCall{Newest: topic}, newestTimeout, func() (link.PeerReply, error) {
		snapshot, err := r.direct.Newest(ctx, topic)
		return link.SnapshotReply(snapshot), err
	})
	r.recordTopic(ctx, topic, sent, err)
	return reply.Snapshot(), err
}

// callPeer sends a call to another entry.
func callPeer(ctx context.Context, address string, call link.PeerCall, wait time.Duration) (link.PeerReply, error) {
	var reply link.PeerReply
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		kind := errdefs.New(errdefs.Unavailable, err.Error(), "try another entry")
		if errors.Is(err, syscall.ECONNREFUSED) {
			return reply, fmt.Errorf("call entry %s: %w: %w", address, errNoEntry, kind)
		}
		return reply, fmt.Errorf("call entry %s: %w", address, kind)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err = link.WriteMessage(conn, call); err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(wait + peerTimeout))
		err = link.ReadMessage(conn, &reply)
	}
	if err != nil {
		return reply, fmt.Errorf("call entry %s: %w", address, errdefs.New(errdefs.Unknown, err.Error(), "retry the call"))
	}
	return reply, reply.Problem.Err()
}

// errNoEntry means that the connection to an entry was refused.
var errNoEntry = errors.New("connection refused; read the entry's newest address")

// servePeers serves calls of other entries. It calls the store directly, so that calls are never forwarded in a loop.
func (e *Entry) servePeers(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = e.peer.Close()
	}()
	slots := make(chan struct{}, maxPeerCalls)
	for ctx.Err() == nil {
		conn, err := e.peer.Accept()
		if err != nil {
			clock.Sleep(ctx, readRetry)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				release := sync.OnceFunc(func() { <-slots })
				defer release()
				defer e.log.Recover(logevent.ConnectionPanicked, logevent.Str("peer", conn.RemoteAddr().String()))
				e.servePeer(ctx, conn, release)
			}()
		default:
			_ = conn.Close() // the peer handles it like a lost answer
		}
	}
}

// servePeer serves a call of another entry. It calls release before it forwards a connection, which may last.
func (e *Entry) servePeer(ctx context.Context, conn net.Conn, release func()) {
	defer conn.Close()
	var call link.PeerCall
	_ = conn.SetReadDeadline(time.Now().Add(peerTimeout))
	if err := link.ReadMessage(conn, &call); err != nil {
		return // the peer retries a call that was not received whole
	}
	if call.Bridge != "" {
		if !httpserver.Protect(conn) {
			return
		}
		release()
		e.serveBridge(ctx, conn, call.Bridge)
		return
	}
	if !httpserver.Protect(conn) {
		return // it gave way to others; nothing was carried out
	}
	var reply link.PeerReply
	reply.Deciding = e.deciding.Load()
	if call.Explain != nil {
		reply.Explained = e.explain(ctx, conn, call.Explain)
		_ = link.WriteMessage(conn, reply)
		return
	}
	var err error
	switch direct, probe := e.relay.useDirect(); {
	case call.Append == nil && call.Read == nil && call.Newest == "":
		if probe {
			e.relay.recordDirect(fmt.Errorf("not tried: %w", errdefs.OfKind(errdefs.Unavailable)), probe)
		}
	case !direct:
		err = errdefs.New(errdefs.Unavailable, "this entry cannot reach the store either", "try another entry")
	default:
		err = e.callStoreFor(ctx, &call, &reply)
		e.relay.recordDirect(err, probe)
	}
	if err == nil && !admitReply(conn, &reply) {
		reply, err = link.PeerReply{Deciding: reply.Deciding}, errdefs.New(errdefs.Unavailable, "too many bytes are in reading", "try another entry")
	}
	reply.Problem = link.ProblemOf(err)
	// A peer that receives no reply treats it as lost and retries the call.
	_ = link.WriteMessage(conn, reply)
}

// replyCopies is how often a page exists while it is sent: decoded and encoded.
const replyCopies = 2

// admitReply reserves the memory of a reply within the budget of the process, until its connection is closed. Only replies to
// reads are large; one that is refused was carried out without effect.
func admitReply(conn net.Conn, reply *link.PeerReply) bool {
	budget, ok := conn.(link.Budget)
	size := 0
	for i := range reply.Page.Records {
		size += len(reply.Page.Records[i].Key) + len(reply.Page.Records[i].Value)
	}
	return !ok || size == 0 || budget.Reserve(replyCopies*size)
}

// callStoreFor calls the store on behalf of a peer.
func (e *Entry) callStoreFor(ctx context.Context, call *link.PeerCall, reply *link.PeerReply) error {
	var err error
	switch {
	case call.Append != nil:
		reply.Appended, err = e.relay.direct.Append(ctx, *call.Append)
	case call.Read != nil:
		reply.Page, err = e.relay.direct.Read(ctx, call.Read.Topic, call.Read.From, min(call.Read.Wait, readWait))
	default:
		var snapshot work.Snapshot
		snapshot, err = e.relay.direct.Newest(ctx, call.Newest)
		reply.Page = link.SnapshotReply(snapshot).Page
	}
	return err
}
