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
)

const (
	// directRetryMs is how long calls go through peers after the store has refused this instance. One call tries the
	// store directly again then.
	directRetryMs = 1500
	// peerBadMs is how long a peer that did not answer is passed over.
	peerBadMs = 3000
	// peerDialTimeout bounds connecting to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// peerTimeout bounds a call through a peer beyond the time that the store is asked to wait: the peer's own bound on
	// a call to the store and the way to it.
	peerTimeout = 1500 * time.Millisecond
	// bulkWait is added to it for a page of newest records, which is large.
	bulkWait = 8 * time.Second
	// peersTried bounds the peers that one call goes through.
	peersTried = 2
	// peerCalls bounds calls of peers at once.
	peerCalls = 64
)

// relay is a store that is reached directly, or through other entries while the store refuses this instance. Every call
// may be repeated: submissions by their job's id, records of the decider by their number, conditional ones by their
// condition.
type relay struct {
	direct work.Store
	self   string

	mu sync.Mutex
	// badUntilMs is until when calls go through peers; probing is true while one call tries the store directly.
	badUntilMs int64
	probing    bool
	peers      map[string]*peer
	// lost tells of topics about which calls fail, directly and through peers; it has no entry for others.
	lost map[string]lostTopic
}

// lostTopic is a topic about which no call is answered.
type lostTopic struct {
	// sinceMs is when the first call was sent that failed, failures how many have.
	sinceMs  int64
	failures int
}

// lostLeast is the least number of failed calls that make a topic lost. One call may wait for over a second for an answer
// that was lost.
const lostLeast = 2

// peer is another entry.
type peer struct {
	work.SideAddress
	badUntilMs int64
}

func newRelay(direct work.Store, self string) *relay {
	return &relay{direct: direct, self: self, peers: map[string]*peer{}, lost: map[string]lostTopic{}}
}

// setPeer notes the address of another entry.
func (r *relay) setPeer(a work.SideAddress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Instance != r.self {
		r.peers[a.Instance] = &peer{SideAddress: a}
	}
}

// larger reports whether another entry is known that has far more of a core.
func (r *relay) larger(cores float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.Cores > cores*largerFactor {
			return true
		}
	}
	return false
}

// peerAt returns the address of another entry.
func (r *relay) peerAt(instance string) (work.SideAddress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[instance]
	if p == nil {
		return work.SideAddress{}, false
	}
	return p.SideAddress, true
}

// tryDirect reports whether a call should go to the store directly, and whether it is the one that looks whether the
// store takes calls of this instance again.
func (r *relay) tryDirect() (direct, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.badUntilMs == 0 {
		return true, false
	}
	if clock.BootMs() < r.badUntilMs || r.probing {
		return false, false
	}
	r.probing = true
	return true, true
}

// noteDirect notes how a direct call ended.
func (r *relay) noteDirect(err error, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if probe {
		r.probing = false
	}
	if decisive(err) {
		r.badUntilMs = 0
		return
	}
	r.badUntilMs = clock.BootMs() + directRetryMs
}

// noteTopic notes how a call about a topic ended that was sent at a time. A call that its caller gave up says nothing.
func (r *relay) noteTopic(ctx context.Context, topic string, sent int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case decisive(err):
		delete(r.lost, topic)
	case ctx.Err() != nil:
	default:
		l := r.lost[topic]
		if l.failures == 0 {
			l.sinceMs = sent
		}
		l.failures++
		r.lost[topic] = l
	}
}

// lostForMs returns for how long no call about a topic was answered; 0 if the last one was.
func (r *relay) lostForMs(topic string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lost[topic]
	if l.failures < lostLeast {
		return 0
	}
	return clock.BootMs() - l.sinceMs
}

// decisive reports whether a call has reached the store and was decided.
func decisive(err error) bool {
	return err == nil || errors.Is(err, work.ErrConditionFailed) || errors.Is(err, work.ErrFenced) ||
		errors.Is(err, work.ErrSequence) || errors.Is(err, work.ErrExpired)
}

// do makes a call directly, or through peers.
func (r *relay) do(ctx context.Context, call link.PeerCall, wait time.Duration, direct func() (link.PeerReply, error)) (link.PeerReply, error) {
	unknown := error(nil)
	first := error(nil)
	note := func(err error) {
		if errdefs.KindOf(err) != errdefs.Unavailable {
			unknown = err
		}
		if first == nil {
			first = err
		}
	}
	viaDirect, probe := r.tryDirect()
	tryDirect := func() (link.PeerReply, error, bool) {
		reply, err := direct()
		if ctx.Err() != nil && !decisive(err) {
			r.noteDirect(nil, probe) // given up by the caller, which says nothing of the store
			return reply, err, true
		}
		r.noteDirect(err, probe)
		return reply, err, decisive(err)
	}
	if viaDirect {
		reply, err, final := tryDirect()
		if final {
			return reply, err
		}
		note(err)
	}
	for _, p := range r.choosePeers() {
		reply, err := callPeer(ctx, p.Address, call, wait)
		if decisive(err) {
			return reply, err
		}
		r.notePeer(p.Instance)
		note(err)
	}
	if !viaDirect {
		reply, err, final := tryDirect()
		if final {
			return reply, err
		}
		note(err)
	}
	if unknown != nil {
		return link.PeerReply{}, unknown
	}
	return link.PeerReply{}, first
}

// choosePeers returns peers that answered lately, in the order of their names after this entry's, so that each entry
// goes through another one first.
func (r *relay) choosePeers() []work.SideAddress {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.BootMs()
	var list []work.SideAddress
	for _, p := range r.peers {
		if now >= p.badUntilMs {
			list = append(list, p.SideAddress)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i].Instance > r.self, list[k].Instance > r.self
		if a != b {
			return a
		}
		return list[i].Instance < list[k].Instance
	})
	return list[:min(len(list), peersTried)]
}

// notePeer passes a peer over for a while.
func (r *relay) notePeer(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[instance]; p != nil {
		p.badUntilMs = clock.BootMs() + peerBadMs
	}
}

// Append implements work.Store.
func (r *relay) Append(ctx context.Context, a work.Append) (work.Appended, error) {
	sent := clock.BootMs()
	reply, err := r.do(ctx, link.PeerCall{Append: &a}, 0, func() (link.PeerReply, error) {
		got, err := r.direct.Append(ctx, a)
		return link.PeerReply{Appended: got}, err
	})
	r.noteTopic(ctx, a.Topic, sent, err)
	return reply.Appended, err
}

// Read implements work.Store.
func (r *relay) Read(ctx context.Context, topic string, from int64, wait time.Duration) (work.Page, error) {
	sent := clock.BootMs()
	call := link.PeerCall{Read: &link.ReadCall{Topic: topic, From: from, Wait: wait}}
	reply, err := r.do(ctx, call, wait, func() (link.PeerReply, error) {
		page, err := r.direct.Read(ctx, topic, from, wait)
		return link.PeerReply{Page: page}, err
	})
	r.noteTopic(ctx, topic, sent, err)
	return reply.Page, err
}

// Newest implements work.Store.
func (r *relay) Newest(ctx context.Context, topic string) (work.Page, error) {
	reply, err := r.do(ctx, link.PeerCall{Newest: topic}, bulkWait, func() (link.PeerReply, error) {
		page, err := r.direct.Newest(ctx, topic)
		return link.PeerReply{Page: page}, err
	})
	return reply.Page, err
}

// callPeer makes a call through a peer.
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
		return reply, fmt.Errorf("call entry %s: %w", address, errdefs.New(errdefs.Unknown, err.Error(), "repeat the call"))
	}
	return reply, reply.Problem.Err()
}

// errNoEntry means that no entry listens at an address.
var errNoEntry = errors.New("no entry listens there; read its newest address")

// servePeers answers calls of other entries. The store is asked directly, so that no call goes round in circles.
func (e *Entry) servePeers(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = e.peer.Close()
	}()
	slots := make(chan struct{}, peerCalls)
	for ctx.Err() == nil {
		conn, err := e.peer.Accept()
		if err != nil {
			clock.Sleep(ctx, followRetry)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				e.servePeer(ctx, conn)
			}()
		default:
			_ = conn.Close() // the peer takes it for an answer that was lost
		}
	}
}

func (e *Entry) servePeer(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	var call link.PeerCall
	_ = conn.SetReadDeadline(time.Now().Add(peerTimeout))
	if err := link.ReadMessage(conn, &call); err != nil {
		return // the peer repeats what it did not send whole
	}
	var reply link.PeerReply
	reply.Deciding = e.deciding.Load()
	var err error
	switch direct, probe := e.relay.tryDirect(); {
	case call.Append == nil && call.Read == nil && call.Newest == "":
		if probe {
			e.relay.noteDirect(fmt.Errorf("not tried: %w", errdefs.OfKind(errdefs.Unavailable)), probe)
		}
	case !direct:
		err = errdefs.New(errdefs.Unavailable, "the store refuses this entry too", "try another one")
	default:
		err = e.callFor(ctx, &call, &reply)
		e.relay.noteDirect(err, probe)
	}
	reply.Problem = link.ProblemOf(err)
	// A reply that cannot be sent is taken for lost by the peer, which repeats the call.
	_ = link.WriteMessage(conn, reply)
}

// callFor calls the store for a peer.
func (e *Entry) callFor(ctx context.Context, call *link.PeerCall, reply *link.PeerReply) error {
	var err error
	switch {
	case call.Append != nil:
		reply.Appended, err = e.relay.direct.Append(ctx, *call.Append)
	case call.Read != nil:
		reply.Page, err = e.relay.direct.Read(ctx, call.Read.Topic, call.Read.From, min(call.Read.Wait, followWait))
	default:
		reply.Page, err = e.relay.direct.Newest(ctx, call.Newest)
	}
	return err
}
