package link

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// countingBudget admits up to limit bytes.
type countingBudget struct {
	io.Reader
	limit, used, most int
}

func (b *countingBudget) Reserve(n int) bool {
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	b.most = max(b.most, b.used)
	return true
}

func (b *countingBudget) Unreserve(n int) { b.used -= n }

// Guards against an announced length that takes memory before the bytes arrive, and against a budget that is exceeded or not
// freed.
func TestMessageIsReadWithinBudget(t *testing.T) {
	announced := binary.BigEndian.AppendUint32(nil, maxFrame)
	b := &countingBudget{Reader: bytes.NewReader(append(announced, make([]byte, 10_000)...)), limit: 1 << 20}
	err := ReadMessage(b, new(Orders))
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Equal(t, b.used, 0)
	assert.Assert(t, b.most <= 64<<10, "%d bytes for 10,000", b.most)

	b = &countingBudget{Reader: bytes.NewReader(append(announced, make([]byte, maxFrame)...)), limit: 1 << 20}
	assert.ErrorContains(t, ReadMessage(b, new(Orders)), "too many bytes")
	assert.Equal(t, b.used, 0)

	assert.ErrorContains(t, ReadHello(bytes.NewReader(announced), new(Hello)), "exceeds the limit")
}

// Guards against messages of unknown senders that end the process.
func FuzzReadMessage(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x01\xa0"))
	f.Add([]byte("\x00\x00\x00\x06\xa1\x06\x81\xa1\x01\x61"))
	f.Add([]byte("\x00\x00\x00\x05\x9a\xff\xff\xff\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, v := range []any{new(Hello), new(Orders), new(Report), new(PeerCall), new(PeerReply)} {
			_ = ReadMessage(bytes.NewReader(data), v)
		}
	})
}
