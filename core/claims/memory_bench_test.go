package claims

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
)

// BenchmarkKeyMemory reports the live heap per key whose answer has expired.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 80_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New()
		for i := range uint64(keys) {
			s.Fold(i+1, &record.Record{Writer: "entry-1", Incarnation: 1, Seq: i + 1, AtMs: 1,
				RequestClaims: []record.RequestClaim{{Customer: "hartwell", Key: fmt.Sprintf("booking-%032d", i), Nonce: i}}})
		}
		s.Fold(keys+1, &record.Record{Writer: "entry-1", Incarnation: 1, Seq: keys + 1, AtMs: (2 * time.Hour).Milliseconds()})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(s)
	}
}
