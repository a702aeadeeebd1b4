package logevent

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a process that blocks because the reader of its standard output stopped reading.
func TestBlockedReaderDoesNotBlockProcess(t *testing.T) {
	r, w := io.Pipe()
	q := NewQueue(w, func(n uint64) []byte { return Line("p", LinesDropped, Int("lines", n)) })
	log := New(q, "info", "p")
	for range 3 * maxQueuedLines {
		log.Log(Started)
	}
	assert.Assert(t, q.Dropped() > 0)
	var mu sync.Mutex
	var got bytes.Buffer
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := r.Read(buf)
			mu.Lock()
			got.Write(buf[:n])
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		log.Log(Stopped)
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(got.String(), `"event":107`) {
			return poll.Success()
		}
		return poll.Continue("the dropped lines were not logged")
	}, poll.WithTimeout(30*time.Second))
	q.Close()
}

// Guards against lines that are lost or truncated when the process ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out, nil)
	log := New(q, "info", "p")
	const lines = 500
	for i := range lines {
		log.Log(Started, Int("n", i))
	}
	q.Close()
	assert.Equal(t, strings.Count(out.String(), "\n"), lines)
}

// Guards against a process that panics because another goroutine logs while it ends, and against lines that are neither
// written nor counted then.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out, nil)
	log := New(q, "info", "p")
	const writers, lines = 4, 300
	var wg sync.WaitGroup
	for range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range lines {
				log.Log(Started, Int("n", i))
			}
		}()
	}
	q.Close()
	wg.Wait()
	log.Log(Stopped)
	q.Close()
	written := strings.Count(out.String(), "\n")
	assert.Equal(t, written+int(q.Dropped()), writers*lines+1)
	assert.Assert(t, q.Dropped() >= 1)
}
