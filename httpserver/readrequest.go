package httpserver

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
)

const (
	// writeTimeout bounds the writing of a response.
	writeTimeout = 10 * time.Second
	// lingerTimeout and lingerBytes bound what is read and dropped after a refusal or a last response, so that the client
	// reads it instead of a reset connection.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// lingerBuffer is the size of the buffer for that.
	lingerBuffer = 1 << 10
	// idleBuffer is the size in bytes of the buffer with which an idle connection waits. It holds most headers, so that
	// these take one read.
	idleBuffer = 1 << 10
	// lateTolerance is how late a deadline may be noticed on a busy machine. Beyond it the process did not run.
	lateTolerance = 500 * time.Millisecond
	// retryAfterBudget is the Retry-After of a refusal for lack of memory in seconds: bodies in progress end within it.
	retryAfterBudget = 1
)

var (
	errBodyOverLimit = errors.New("the body is over the limit")
	crlf             = []byte("\r\n")
)

// readRequest waits for a request and reads it whole. An error means that the connection is to be closed; the client was told
// why if it had sent a part of a request.
func (c *requestConn) readRequest() error {
	if err := c.awaitRequest(); err != nil {
		return err
	}
	end, err := c.readHeader()
	if err != nil {
		return err
	}
	n, expects, err := parseFraming(c.header[:end])
	if err != nil {
		return c.refuse(ReasonMalformed)
	}
	rest := c.header[end:]
	c.header = c.header[:end]
	if err := c.keepRest(rest); err != nil {
		return err
	}
	if n > c.server.bodyLimit() {
		return c.refuse(ReasonBody)
	}
	if n > 0 || n == -1 {
		if strings.EqualFold(expects, "100-continue") {
			if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return err
			}
		}
		if err := c.readBody(n); err != nil {
			return err
		}
	}
	if n == -1 || len(expects) > 0 {
		if err := c.rewriteHeader(len(c.body)); err != nil {
			return err
		}
	}
	if !c.enter(running) {
		return c.refuse(ReasonBudget)
	}
	c.current, c.inBody = c.header, false
	return nil
}

// awaitRequest waits for the first bytes of a request with a small buffer, as the connection may stay idle.
func (c *requestConn) awaitRequest() error {
	c.late = 0
	if len(c.in) > 0 {
		c.setPending(true)
		if !c.enter(reading) {
			return c.refuse(ReasonBudget)
		}
		return nil
	}
	wait := idleTimeout
	if !c.served {
		wait = c.server.intake.limits.HeaderTimeout
	}
	if !c.enter(idle) {
		return errRefused
	}
	var first [idleBuffer]byte
	n, err := c.readBefore(first[:], time.Now().Add(wait))
	c.late = 0
	if n == 0 {
		return cmp.Or(err, io.ErrNoProgress)
	}
	c.setPending(true)
	if !c.enter(reading) {
		return errRefused
	}
	if c.in, err = c.get(n); err != nil {
		return err
	}
	c.in = append(c.in, first[:n]...)
	return nil
}

// readHeader reads up to the end of the header into c.header and returns its length. Bytes may follow it there.
func (c *requestConn) readHeader() (int, error) {
	c.header, c.in = c.in, nil
	deadline := time.Now().Add(c.server.intake.limits.HeaderTimeout)
	scanned, line := 0, 0
	for {
		for ; scanned < len(c.header); scanned++ {
			if c.header[scanned] != '\n' {
				continue
			}
			if length := scanned - line; length == 0 || length == 1 && c.header[line] == '\r' {
				return scanned + 1, nil
			}
			line = scanned + 1
		}
		if len(c.header) >= maxHeader {
			return 0, c.refuse(ReasonHeader)
		}
		if len(c.header) == cap(c.header) {
			if err := c.grow(&c.header, len(c.header)+1); err != nil {
				return 0, err
			}
		}
		if err := c.receive(&c.header, deadline); err != nil {
			return 0, err
		}
	}
}

// readBefore reads what arrives before the deadline. Time that this process did not run, for example because its machine was
// suspended, is not the client's: a deadline that is noticed late is moved by as much, for the rest of the request too. What
// arrived meanwhile is read then. The time comes from the steady clock.
func (c *requestConn) readBefore(b []byte, deadline time.Time) (int, error) {
	for {
		due := deadline.Add(c.late)
		c.setReadDeadline(due)
		n, err := c.Conn.Read(b)
		late := time.Since(due)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || late < lateTolerance || c.wasEvicted() {
			return n, err
		}
		c.late += late + lateTolerance
	}
}

// receive appends what arrives to a buffer with free capacity.
func (c *requestConn) receive(b *[]byte, deadline time.Time) error {
	n, err := c.readBefore((*b)[len(*b):cap(*b)], deadline)
	if n > 0 {
		*b = (*b)[:len(*b)+n]
		c.received()
		return nil
	}
	var timeout net.Error
	switch {
	case c.wasEvicted():
		return c.refuse(ReasonBudget)
	case errors.As(err, &timeout) && timeout.Timeout():
		return c.refuse(ReasonSlow)
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// headers holds parsed headers for further use. Each has buffers for its fields.
var headers = sync.Pool{New: func() any { return new(protocol.RequestHeader) }}

// parseFraming parses a complete header as hertz does. It returns the length of the body, -1 for a chunked one and -2 for none,
// and the value of the field Expect.
func parseFraming(header []byte) (length int, expects string, err error) {
	if err := checkFraming(header); err != nil {
		return 0, "", err
	}
	h := headers.Get().(*protocol.RequestHeader)
	defer headers.Put(h)
	// The reader holds the header only, so that the parser cannot wait for more.
	r := &requestConn{current: header, inBody: true}
	if err := req.ReadHeader(h, r); err != nil {
		return 0, "", err
	}
	return h.ContentLength(), string(h.Peek("Expect")), nil
}

// keepRest copies bytes behind the header into c.in.
func (c *requestConn) keepRest(rest []byte) error {
	if len(rest) == 0 {
		return nil
	}
	var err error
	if c.in, err = c.get(len(rest)); err != nil {
		return err
	}
	c.in = append(c.in, rest...)
	return nil
}

// readBody reads a body of n bytes, or a chunked one if n is -1.
func (c *requestConn) readBody(n int) error {
	began := time.Now()
	limits := &c.server.intake.limits
	// The deadline follows the bytes that have arrived, so that a body that comes too slowly is noticed while it is read.
	deadline := func(received int) time.Time {
		byRate := slowGrace + time.Duration(received)*time.Second/time.Duration(limits.MinRate)
		return began.Add(min(limits.BodyTimeout, byRate))
	}
	if n < 0 {
		return c.readChunked(deadline)
	}
	for len(c.body) < n {
		if err := c.roomInBody(min(n, len(c.body)+len(c.in)+1)); err != nil {
			return err
		}
		if len(c.in) > 0 {
			m := min(len(c.in), n-len(c.body))
			c.body = append(c.body, c.in[:m]...)
			c.consume(m)
			continue
		}
		room := c.body[:len(c.body):min(cap(c.body), n)]
		if err := c.receive(&room, deadline(len(c.body))); err != nil {
			return err
		}
		c.body = c.body[:len(room)]
	}
	return nil
}

// roomInBody makes the buffer of the body hold n bytes.
func (c *requestConn) roomInBody(n int) error {
	if n <= cap(c.body) {
		return nil
	}
	return c.grow(&c.body, n)
}

// consume removes the first n bytes of c.in.
func (c *requestConn) consume(n int) {
	c.in = c.in[:copy(c.in, c.in[n:])]
	if len(c.in) == 0 {
		c.drop(&c.in)
	}
}

// readChunked reads a chunked body. The buffers hold the data only, not its framing.
func (c *requestConn) readChunked(deadline func(received int) time.Time) error {
	var d chunkDecoder
	limit := c.server.bodyLimit()
	for {
		used := 0
		for used < len(c.in) && d.state != chunkDone {
			n, data, err := d.decode(c.in[used:], limit)
			if used += n; errors.Is(err, errBodyOverLimit) || len(c.body)+len(data) > limit {
				return c.refuse(ReasonBody)
			}
			if err != nil {
				return c.refuse(ReasonMalformed)
			}
			if err := c.roomInBody(len(c.body) + len(data)); err != nil {
				return err
			}
			c.body = append(c.body, data...)
		}
		if used > 0 {
			c.consume(used)
		}
		if d.state == chunkDone {
			return nil
		}
		if c.in == nil {
			var err error
			if c.in, err = c.get(1); err != nil {
				return err
			}
		}
		if err := c.receive(&c.in, deadline(len(c.body))); err != nil {
			return err
		}
	}
}

// rewriteHeader replaces the framing of the body by its length, as hertz gets it decoded.
func (c *requestConn) rewriteHeader(n int) error {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", n)
	header, err := c.get(len(c.header) + len(length))
	if err != nil {
		return err
	}
	dropped := false
	for i, line := range bytes.SplitAfter(c.header, []byte("\n")) {
		folded := len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
		name, _, _ := bytes.Cut(line, []byte(":"))
		if i > 0 && !folded {
			dropped = isFraming(name) || len(bytes.Trim(line, "\r\n")) == 0
		}
		if !dropped {
			header = append(header, line...)
		}
	}
	header = append(header, length...)
	c.drop(&c.header)
	c.header = header
	return nil
}

// isFraming reports whether a header field is about the framing of the body.
func isFraming(name []byte) bool {
	for _, f := range []string{"Transfer-Encoding", "Content-Length", "Trailer", "Expect"} {
		if bytes.EqualFold(bytes.TrimSpace(name), []byte(f)) {
			return true
		}
	}
	return false
}

// refuse answers a request that is not read whole, and reads no further request from the connection. It returns errRefused.
func (c *requestConn) refuse(reason Reason) error {
	c.server.intake.onRefusal(reason)
	c.drop(&c.in)
	_ = c.Release()
	status, text, message := refusal(reason)
	body := c.server.refusalBody(message)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", status, text, len(body))
	if status == 503 {
		head += fmt.Sprintf("Retry-After: %d\r\n", retryAfterBudget)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Conn.Write(append(append([]byte(head), crlf...), body...)); err == nil {
		c.linger()
	}
	return errRefused
}

// refusal returns the status and the message of a refusal.
func refusal(reason Reason) (status int, text, message string) {
	switch reason {
	case ReasonBody:
		return 413, "Request Entity Too Large", "the body is over the limit; send less"
	case ReasonHeader:
		return 431, "Request Header Fields Too Large", "the header is over the limit; send less"
	case ReasonSlow:
		return 408, "Request Timeout", "the request came too slowly; nothing ran; send it again"
	case ReasonMalformed:
		return 400, "Bad Request", "the framing of the request cannot be read; correct it"
	}
	return 503, "Service Unavailable", "too many bytes are in reading; nothing ran; come back after the time given"
}

// linger reads and drops what the client still sends, for a bounded time. Closing at once would reset the connection and
// the client would lose the refusal.
func (c *requestConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var buf [lingerBuffer]byte
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(buf[:])
		if err != nil {
			return
		}
		total += n
	}
}
