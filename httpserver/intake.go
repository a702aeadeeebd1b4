package httpserver

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Reason is why a connection or a request was refused at the intake.
type Reason string

// Reasons of refusals.
const (
	// ReasonBody means that a body is over the limit, ReasonHeader that a header is.
	ReasonBody   Reason = "body"
	ReasonHeader Reason = "header"
	// ReasonBudget means that the bytes in reading of all connections reached their bound.
	ReasonBudget Reason = "budget"
	// ReasonSlow means that a header or a body came too slowly.
	ReasonSlow Reason = "slow"
	// ReasonConnections means that the open connections reached their bound.
	ReasonConnections Reason = "connections"
	// ReasonMalformed means that the framing of a request cannot be read.
	ReasonMalformed Reason = "malformed"
)

// IntakeLimits bound what a process reads from its listeners.
type IntakeLimits struct {
	// Bytes bounds the buffers of requests that are read or carried out. SmallBytes is a reserve in addition, for requests
	// that need no more than smallRequest.
	Bytes, SmallBytes int64
	// Conns bounds the open connections.
	Conns int
	// HeaderTimeout and BodyTimeout bound the time from the first byte of a header or body to its last.
	HeaderTimeout, BodyTimeout time.Duration
	// MinRate is the number of bytes per second that a body must have come with once slowGrace has passed.
	MinRate int
}

const (
	// memoryShareBytes, memoryShareSmall and memoryShareConns are the divisors of the memory of a process that give the
	// bytes in reading, their reserve, and the memory for connections. They leave most of it: a submission that is stored
	// exists four times, in its buffer, decoded, encoded and as the request to the store, and garbage adds half.
	memoryShareBytes = 16
	memoryShareSmall = 16
	memoryShareConns = 8
	// connBytes is the memory that an open connection is counted with: its stack and its state.
	connBytes = 16 << 10
	// descriptorShare is the divisor of the descriptors that gives the bound on connections. The rest is for files and for
	// connections that the process opens itself.
	descriptorShare = 2
	// defaultDescriptors is used where the limit of the operating system is unknown.
	defaultDescriptors = 1024
	// minConns is the lowest bound on connections.
	minConns = 16
	// smallRequest is the size in bytes of the buffers of an ordinary request: header, body and what follows.
	smallRequest = 16 << 10
	// slowGrace is the time that a body may take whatever its rate. A client inside the limits needs up to 3 s.
	slowGrace = 4 * time.Second
	// defaultMinRate is below what a client needs to send any body within its timeout.
	defaultMinRate = 16 << 10
	// stallTime is the time without a byte from which a connection is closed before one that progresses. A response fits the
	// buffers of the operating system, so that its writing takes no time if the client reads.
	stallTime = 500 * time.Millisecond
)

// Descriptors returns the number of descriptors that this process may open, at most limit if that is positive.
func Descriptors(limit int) int {
	n := defaultDescriptors
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil {
		n = int(min(r.Cur, 1<<20))
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// DefaultIntakeLimits returns the limits of a process with the given memory in bytes and number of descriptors.
func DefaultIntakeLimits(memory int64, descriptors int) IntakeLimits {
	return IntakeLimits{
		Bytes: memory / memoryShareBytes, SmallBytes: memory / memoryShareSmall,
		Conns:         max(minConns, min(descriptors/descriptorShare, int(memory/memoryShareConns/connBytes))),
		HeaderTimeout: readTimeout, BodyTimeout: readTimeout, MinRate: defaultMinRate,
	}
}

// Intake bounds the connections and the bytes in reading of all listeners of a process. Its methods are safe for
// concurrent use.
type Intake struct {
	limits IntakeLimits
	// onRefusal is called for each refusal, without a lock.
	onRefusal func(Reason)

	mu    sync.Mutex
	freed *sync.Cond
	conns map[*intakeConn]struct{}
	used  int64
	// leaving is the number of bytes that evicted connections still hold.
	leaving int64
}

// NewIntake returns an intake that calls onRefusal for each refusal; nil for none.
func NewIntake(limits IntakeLimits, onRefusal func(Reason)) *Intake {
	if onRefusal == nil {
		onRefusal = func(Reason) {}
	}
	in := &Intake{limits: limits, onRefusal: onRefusal, conns: map[*intakeConn]struct{}{}}
	in.freed = sync.NewCond(&in.mu)
	return in
}

// Usage returns the bytes in reading and the open connections.
func (in *Intake) Usage() (bytes int64, conns int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used, len(in.conns)
}

// connState is what a connection is doing.
type connState int

const (
	// idle connections carry no request, reading ones an incomplete one. A running one has a complete request; it is never
	// closed in favour of others. A writing one is closed only if its client does not read the response.
	idle connState = iota
	reading
	running
	writing
)

// intakeConn is what the intake knows about a connection. Its fields are guarded by Intake.mu.
type intakeConn struct {
	net.Conn
	in      *Intake
	address string
	state   connState
	// served is true once a request of the connection was complete.
	served bool
	// held is the number of bytes of its buffers, since when it entered its state, progress when it last received bytes.
	held            int64
	since, progress time.Time
	evicted, closed bool
}

// accept registers a connection. If there are too many it evicts another; it returns nil, and closes the connection, if
// all others carry out requests.
func (in *Intake) accept(conn net.Conn) *intakeConn {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		host = conn.RemoteAddr().String()
	}
	now := time.Now()
	c := &intakeConn{Conn: conn, in: in, address: host, since: now, progress: now}
	in.mu.Lock()
	var victim *intakeConn
	full := len(in.conns) >= in.limits.Conns
	if full {
		victim = in.connVictim(now)
	}
	if full && victim == nil {
		in.mu.Unlock()
		in.onRefusal(ReasonConnections)
		_ = conn.Close()
		return nil
	}
	if victim != nil {
		in.evict(victim)
		in.remove(victim)
	}
	in.conns[c] = struct{}{}
	in.mu.Unlock()
	if victim != nil {
		in.onRefusal(ReasonConnections)
		// Frees the descriptor before the next connection is accepted.
		_ = victim.Conn.Close()
	}
	return c
}

// connVictim returns the connection to close when there are too many: one that never completed a request before one that
// is reading another, and that before an idle one; among these of the address that has most of them, the one that holds
// most bytes, and the oldest. A client that does not read its response counts as idle; requests that are carried out are not
// touched. It returns nil if there is none.
func (in *Intake) connVictim(now time.Time) *intakeConn {
	class := func(c *intakeConn) int {
		switch {
		case c.state == running || c.evicted || c.state == writing && now.Sub(c.since) < stallTime:
			return 3
		case !c.served:
			return 0
		case c.state == reading:
			return 1
		}
		return 2
	}
	best := 3
	byAddress := map[string]int{}
	for c := range in.conns {
		if k := class(c); k < best {
			best = k
			clear(byAddress)
		}
		if class(c) == best {
			byAddress[c.address]++
		}
	}
	var victim *intakeConn
	for c := range in.conns {
		if best == 3 || class(c) != best {
			continue
		}
		if victim == nil || worse(c, victim, byAddress) {
			victim = c
		}
	}
	return victim
}

// worse reports whether a is closed before b.
func worse(a, b *intakeConn, byAddress map[string]int) bool {
	if n, m := byAddress[a.address], byAddress[b.address]; n != m {
		return n > m
	}
	if a.held != b.held {
		return a.held > b.held
	}
	return a.since.Before(b.since)
}

// byteVictim returns the connection to evict so that c may hold size bytes: one without progress before one that receives
// bytes, and among these the one that holds most. One that progresses is evicted only for one that holds less. It returns nil
// if there is none.
func (in *Intake) byteVictim(c *intakeConn, size int64, now time.Time) *intakeConn {
	var victim *intakeConn
	stalled := func(c *intakeConn) bool { return now.Sub(c.progress) > stallTime }
	for v := range in.conns {
		if v == c || v.state != reading || v.evicted || v.held == 0 || !stalled(v) && v.held <= size {
			continue
		}
		if victim == nil || stalled(v) && !stalled(victim) || stalled(v) == stalled(victim) && v.held > victim.held {
			victim = v
		}
	}
	return victim
}

// evict makes the reads of a connection fail. The bytes that it holds are free once it has noticed. in.mu must be held.
func (in *Intake) evict(c *intakeConn) {
	c.evicted = true
	in.leaving += c.held
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	in.freed.Broadcast()
}

// remove forgets a connection and frees its bytes. in.mu must be held.
func (in *Intake) remove(c *intakeConn) {
	if c.closed {
		return
	}
	c.closed = true
	in.setHeld(c, 0)
	delete(in.conns, c)
}

// setHeld sets the number of bytes that a connection holds. in.mu must be held.
func (in *Intake) setHeld(c *intakeConn, n int64) {
	if c.closed {
		n = 0
	}
	if c.evicted {
		in.leaving -= c.held - n
	}
	in.used += n - c.held
	if n < c.held {
		in.freed.Broadcast()
	}
	c.held = n
}

// reserve admits n more bytes of a connection. It returns false if the budget is used up or the connection was evicted.
func (c *intakeConn) reserve(n int) bool {
	in := c.in
	in.mu.Lock()
	defer in.mu.Unlock()
	size := c.held + int64(n)
	limit := in.limits.Bytes
	if size <= smallRequest {
		limit += in.limits.SmallBytes
	}
	if size > limit {
		return false
	}
	for {
		if c.evicted || c.closed {
			return false
		}
		if in.used+int64(n) <= limit {
			in.setHeld(c, size)
			return true
		}
		if in.used-in.leaving+int64(n) > limit {
			v := in.byteVictim(c, size, time.Now())
			if v == nil {
				return false
			}
			in.evict(v)
			continue
		}
		in.freed.Wait()
	}
}

// release frees n bytes of a connection.
func (c *intakeConn) release(n int) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.setHeld(c, max(c.held-int64(n), 0))
}

// enter sets the state of a connection. It returns false if the connection was evicted, or closed, before it had a complete
// request.
func (c *intakeConn) enter(s connState) bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.evicted || c.closed {
		return false
	}
	now := time.Now()
	c.state, c.since, c.progress = s, now, now
	if s == running {
		c.served = true
	}
	return true
}

func (c *intakeConn) wasEvicted() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.evicted
}

// setReadDeadline sets the deadline of the next read, unless the connection was evicted.
func (c *intakeConn) setReadDeadline(t time.Time) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if !c.evicted {
		_ = c.Conn.SetReadDeadline(t)
	}
}

// received records that bytes arrived.
func (c *intakeConn) received() {
	c.in.mu.Lock()
	c.progress = time.Now()
	c.in.mu.Unlock()
}

// Close implements net.Conn.
func (c *intakeConn) Close() error {
	c.in.mu.Lock()
	c.in.remove(c)
	c.in.mu.Unlock()
	return c.Conn.Close()
}
