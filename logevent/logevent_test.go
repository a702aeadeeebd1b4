package logevent

import (
	"bytes"
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/internal/doctable"
)

// Guards against events that are missing from the catalogue or described differently there, and against duplicate numbers.
func TestCataloguePage(t *testing.T) {
	rows, err := doctable.Rows("../docs/log-events.md")
	assert.NilError(t, err)
	rowByNumber := make(map[string][]string)
	for _, r := range rows {
		assert.Equal(t, len(r), 5, "row %v", r)
		rowByNumber[r[0]] = r
	}
	numbers := make(map[int]bool)
	for _, e := range All() {
		assert.Assert(t, !numbers[e.Number], "number %d is used twice", e.Number)
		numbers[e.Number] = true
		r := rowByNumber[strconv.Itoa(e.Number)]
		assert.Assert(t, r != nil, "docs/log-events.md lacks event %d", e.Number)
		assert.DeepEqual(t, r[1:3], []string{e.Level.String(), e.Text})
		assert.Assert(t, r[3] != "" && r[4] != "", "event %d lacks its meaning or what to do", e.Number)
	}
	assert.Equal(t, len(rows), len(numbers), "docs/log-events.md describes events that the code does not have")
}

// Guards against writing events below the logger's level, and against lines without number, process or fields.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "warn", "p1")
	l.Log(Started)
	assert.Equal(t, out.Len(), 0)
	l.Log(SyncFailed, Str("entry", "e"), Int("n", 3), Err(errors.New("gone")))
	for _, part := range []string{`"event":503`, `"process":"p1"`, `"level":"warn"`, `"entry":"e"`, `"n":3`, `"error":"gone"`, SyncFailed.Text} {
		assert.Assert(t, is.Contains(out.String(), part))
	}
	Nop().Log(SchemaTooNew)
}
