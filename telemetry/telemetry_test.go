package telemetry

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/internal/doctable"
)

// Guards against metrics that are missing from the documentation page or described differently there.
func TestCataloguePage(t *testing.T) {
	rows, err := doctable.Rows("../docs/metrics.md")
	assert.NilError(t, err)
	var want [][]string
	for _, d := range Catalogue() {
		want = append(want, []string{d.Name, string(d.Kind), d.Role, strings.Join(d.Labels, ", "), d.Help})
	}
	assert.DeepEqual(t, rows, want)
}

// Guards against exported metric names that differ from the catalogue.
func TestNamesInScrape(t *testing.T) {
	r, err := New()
	assert.NilError(t, err)
	var gauges []*Desc
	for _, d := range Catalogue() {
		labels := make([]string, len(d.Labels))
		switch d.Kind {
		case CounterKind:
			c, err := r.Counter(d)
			assert.NilError(t, err)
			c.Add(2, labels...)
		case HistogramKind:
			h, err := r.Histogram(d)
			assert.NilError(t, err)
			h.Record(time.Second, labels...)
		default:
			gauges = append(gauges, d)
		}
	}
	assert.NilError(t, r.Gauges(gauges, func(set Set) {
		for _, d := range gauges {
			set(d, 1, make([]string, len(d.Labels))...)
		}
	}))
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, d := range Catalogue() {
		assert.Assert(t, is.Contains(w.Body.String(), "# TYPE "+d.Name+" "+string(d.Kind)+"\n"))
	}
	assert.Assert(t, is.Contains(w.Body.String(), "process_resident_memory_bytes"))
}

// Guards against trace ids that are dropped, or parsed from malformed headers.
func TestTraceID(t *testing.T) {
	const id = "0af7651916cd43dd8448eb211c80319c"
	for _, c := range []struct{ header, want string }{
		{"00-" + id + "-b7ad6b7169203331-01", id}, {"", "r"}, {"00-zz-b7ad6b7169203331-01", "r"},
		{"00-00000000000000000000000000000000-b7ad6b7169203331-01", "r"},
	} {
		assert.Equal(t, TraceID(c.header, "r"), c.want)
	}
}

// failingLog is a log whose reads and appends fail.
type failingLog struct{ external.Log }

func (failingLog) Read(context.Context, string, uint64, int, time.Duration) (external.Page, error) {
	return external.Page{}, external.ErrLogDown
}

func (failingLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, external.ErrOutcomeUnknown
}

// Guards against counting a failed read as a successful one in the read age of a stream.
func TestReadAge(t *testing.T) {
	r, err := New()
	assert.NilError(t, err)
	h, err := r.Histogram(LogAppends)
	assert.NilError(t, err)
	l := NewLog(failingLog{}, h)
	_, err = l.Read(t.Context(), "config", 1, 1, 0)
	assert.Assert(t, errors.Is(err, external.ErrLogDown))
	assert.Equal(t, len(l.Ages()), 0)
	_, err = l.Append(t.Context(), "config", nil)
	assert.Assert(t, errors.Is(err, external.ErrOutcomeUnknown))
}
