package httpserver

import (
	"errors"
	"io"
	"net"
	"time"
)

// requestConn is a connection of hertz that reads each request whole before hertz sees it, into buffers that the intake
// admits, and holds no buffer between requests. Hertz parses the header and the body from these buffers. A request that is
// refused is answered here; hertz and the handlers never see it.
type requestConn struct {
	*intakeConn
	server *boundedTransport

	// in holds bytes that were received but belong to no request yet; it is a pooled buffer, or nil.
	in []byte
	// header and body are the buffers of the current request. current is the part of one of them that hertz has not read.
	header, body []byte
	current      []byte
	inBody       bool
	// out is the response until it is flushed.
	out net.Buffers
	// late is the time by which the deadlines of the current request are moved.
	late time.Duration
	// pending is true while the connection counts in boundedTransport.requests.
	pending bool
}

// errRefused means that the request was refused and the connection is to be closed.
var errRefused = errors.New("the request was refused")

// Peek implements network.Reader.
func (c *requestConn) Peek(n int) ([]byte, error) {
	c.next()
	if n > len(c.current) {
		return c.current, io.ErrUnexpectedEOF
	}
	return c.current[:n], nil
}

// next goes on to the body once the header is read.
func (c *requestConn) next() {
	if len(c.current) == 0 && !c.inBody {
		c.current, c.inBody = c.body, true
	}
}

// Skip implements network.Reader.
func (c *requestConn) Skip(n int) error {
	c.next()
	if n > len(c.current) {
		return io.ErrUnexpectedEOF
	}
	c.current = c.current[n:]
	return nil
}

// Len implements network.Reader. It does not count the body before the header is read, so that hertz parses the header alone.
func (c *requestConn) Len() int {
	c.next()
	return len(c.current)
}

// ReadByte implements network.Reader.
func (c *requestConn) ReadByte() (byte, error) {
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	return b[0], c.Skip(1)
}

// ReadBinary implements network.Reader.
func (c *requestConn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), b...), c.Skip(n)
}

// Read implements net.Conn. It reads the rest of the current request.
func (c *requestConn) Read(b []byte) (int, error) {
	c.next()
	if len(c.current) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.current)
	c.current = c.current[n:]
	return n, nil
}

// Release implements network.Reader. Hertz calls it when it no longer uses the request.
func (c *requestConn) Release() error {
	c.drop(&c.header)
	c.drop(&c.body)
	c.current, c.inBody = nil, true
	return nil
}

// Malloc implements network.Writer.
func (c *requestConn) Malloc(n int) ([]byte, error) {
	b := make([]byte, n)
	c.out = append(c.out, b)
	return b, nil
}

// WriteBinary implements network.Writer. The bytes must stay valid until Flush.
func (c *requestConn) WriteBinary(b []byte) (int, error) {
	c.out = append(c.out, b)
	return len(b), nil
}

// Flush implements network.Writer.
func (c *requestConn) Flush() error {
	if len(c.out) == 0 {
		return nil
	}
	out := c.out
	c.out = nil
	if !c.enter(writing) {
		return errRefused
	}
	// A client that does not read its response must not hold the connection.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := out.WriteTo(c.Conn)
	return err
}

// Write implements net.Conn.
func (c *requestConn) Write(b []byte) (int, error) {
	if err := c.Flush(); err != nil {
		return 0, err
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(b)
}

// Close implements net.Conn. Hertz calls it after each request; the transport closes the connection when no other follows.
func (c *requestConn) Close() error { return c.Flush() }

// SetReadTimeout implements network.Conn. The intake sets the deadlines of reads.
func (c *requestConn) SetReadTimeout(time.Duration) error { return nil }

// SetReadDeadline implements net.Conn. The intake sets the deadlines of reads.
func (c *requestConn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn. Flush and the intake set the deadlines.
func (c *requestConn) SetDeadline(time.Time) error { return nil }

// SetWriteTimeout implements network.Conn. Flush sets the deadline of writes.
func (c *requestConn) SetWriteTimeout(time.Duration) error { return nil }

// setPending counts the connection as one with a request that is not answered, or no longer.
func (c *requestConn) setPending(pending bool) {
	switch {
	case pending && !c.pending:
		c.server.requests.Add(1)
	case !pending && c.pending:
		c.server.requests.Add(-1)
	}
	c.pending = pending
}

// get returns an empty buffer for n bytes that the intake has admitted.
func (c *requestConn) get(n int) ([]byte, error) {
	if !c.reserve(bufferSize(n)) {
		return nil, c.refuse(ReasonBudget)
	}
	return getBuffer(n), nil
}

// drop returns a buffer and its bytes.
func (c *requestConn) drop(b *[]byte) {
	if *b == nil {
		return
	}
	n := cap(*b)
	putBuffer(*b)
	*b = nil
	c.release(n)
}

// grow replaces a buffer by a larger one with the same contents.
func (c *requestConn) grow(b *[]byte, n int) error {
	larger, err := c.get(n)
	if err != nil {
		return err
	}
	larger = append(larger, *b...)
	c.drop(b)
	*b = larger
	return nil
}
