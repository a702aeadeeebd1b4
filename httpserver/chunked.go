package httpserver

import "errors"

const (
	// maxChunkLine bounds the line before a chunk, with its extensions, in bytes.
	maxChunkLine = 256
	// maxTrailer bounds the trailer of a chunked body in bytes. Trailers are dropped.
	maxTrailer = 4 << 10
)

var errChunk = errors.New("the chunked body is malformed; send sizes in hexadecimal digits and a line end after each chunk")

// chunkState is the part of a chunked body that is expected next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkDataEnd
	chunkTrailer
	chunkDone
)

// chunkDecoder decodes a chunked body as it arrives. It keeps no bytes itself, whatever the size of the chunks.
type chunkDecoder struct {
	state chunkState
	// left is the number of bytes of the current chunk that are missing.
	left int
	// line is the length of the current line, digits the number of its leading hexadecimal digits.
	line, digits int
	extension    bool
	trailer      int
	// cr is true behind a carriage return, which only a line feed may follow.
	cr bool
}

// decode consumes bytes of in and returns how many, together with the data among them, which is a part of in. It stops after
// each piece of data. It fails once a size exceeds limit.
func (d *chunkDecoder) decode(in []byte, limit int) (consumed int, data []byte, err error) {
	for i := 0; i < len(in); i++ {
		b := in[i]
		// A proxy that ends a line elsewhere would find other chunks, so that only CR LF ends a line.
		if d.state != chunkData && d.state != chunkDone {
			if d.cr != (b == '\n') {
				return i, nil, errChunk
			}
			d.cr = b == '\r'
		}
		switch d.state {
		case chunkSize:
			if err := d.sizeByte(b, limit); err != nil {
				return i, nil, err
			}
		case chunkData:
			n := min(d.left, len(in)-i)
			if d.left -= n; d.left == 0 {
				d.state = chunkDataEnd
			}
			return i + n, in[i : i+n], nil
		case chunkDataEnd:
			if b == '\n' {
				d.state = chunkSize
			} else if b != '\r' {
				return i, nil, errChunk
			}
		case chunkTrailer:
			if d.trailer++; d.trailer > maxTrailer {
				return i, nil, errChunk
			}
			switch {
			case b == '\n' && d.line == 0:
				d.state = chunkDone
				return i + 1, nil, nil
			case b == '\n':
				d.line = 0
			case b != '\r':
				d.line++
			}
		case chunkDone:
			return i, nil, nil
		}
	}
	return len(in), nil, nil
}

// sizeByte reads a byte of the line before a chunk.
func (d *chunkDecoder) sizeByte(b byte, limit int) error {
	if d.line++; d.line > maxChunkLine {
		return errChunk
	}
	if b == '\n' {
		if d.digits == 0 {
			return errChunk
		}
		d.state = chunkData
		if d.left == 0 {
			d.state = chunkTrailer
		}
		d.line, d.digits, d.extension = 0, 0, false
		return nil
	}
	v, ok := hexDigit(b)
	switch {
	case ok && !d.extension:
		if d.digits++; d.digits == 1 {
			d.left = 0
		}
		if d.left = d.left<<4 | v; d.left > limit {
			return errBodyOverLimit
		}
	case b == ';' || b == ' ' || b == '\t':
		d.extension = true
	case b != '\r' && !d.extension:
		return errChunk
	}
	return nil
}

func hexDigit(b byte) (int, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int(b-'A') + 10, true
	}
	return 0, false
}
