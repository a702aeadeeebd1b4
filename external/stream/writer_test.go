package stream

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/record"
)

// sizedLog records the sizes of appended records.
type sizedLog struct {
	*memlog.Log
	mu    sync.Mutex
	sizes []int
}

func (l *sizedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	l.sizes = append(l.sizes, len(data))
	l.mu.Unlock()
	return l.Log.Append(ctx, stream, data)
}

// Stored responses must not be merged into a record that is larger than the log accepts, and small writes must share a
// record.
func TestRecordsAreBoundedByBytes(t *testing.T) {
	for name, tc := range map[string]struct{ parts, body, most, records int }{
		"large answers":         {40, 64 << 10, maxRecordBytes, 14},
		"small answers":         {40, 100, maxRecordBytes, 1},
		"larger than the bound": {3, maxRecordBytes + 1, maxRecordBytes + 1024, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &sizedLog{Log: memlog.New(memlog.Options{})}
				opts := options()
				opts.Window = time.Millisecond
				w := NewWriter(log, "claims", opts)
				ctx, cancel := context.WithCancel(t.Context())
				var running, writing sync.WaitGroup
				for i := range tc.parts {
					writing.Go(func() {
						_, err := w.Write(ctx, record.Record{RequestAnswers: []record.RequestAnswer{{Key: strconv.Itoa(i), Body: make([]byte, tc.body)}}})
						assert.Check(t, err)
					})
				}
				synctest.Wait()
				running.Go(func() { w.Run(ctx) })
				writing.Wait()
				cancel()
				running.Wait()
				assert.Equal(t, len(log.sizes), tc.records)
				for _, size := range log.sizes {
					assert.Assert(t, size <= tc.most, "record of %d bytes", size)
				}
			})
		})
	}
}
