package httpserver

import "sync"

// bufferSizes are the sizes of pooled buffers in bytes. Few sizes, so that buffers are used again.
var bufferSizes = [...]int{4 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20, 4 << 20}

var bufferPools [len(bufferSizes)]sync.Pool

// bufferSize returns the size of the buffer that holds n bytes.
func bufferSize(n int) int {
	for _, size := range bufferSizes {
		if n <= size {
			return size
		}
	}
	return n
}

// getBuffer returns an empty buffer with the capacity bufferSize(n).
func getBuffer(n int) []byte {
	for i, size := range bufferSizes {
		if n > size {
			continue
		}
		if b, ok := bufferPools[i].Get().(*[]byte); ok {
			return (*b)[:0]
		}
		return make([]byte, 0, size)
	}
	return make([]byte, 0, n)
}

// putBuffer returns a buffer to its pool. The caller must not use it any more.
func putBuffer(b []byte) {
	for i, size := range bufferSizes {
		if cap(b) == size {
			b = b[:0]
			bufferPools[i].Put(&b)
			return
		}
	}
}
