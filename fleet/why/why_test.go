package why

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const job = "00112233445566aa"

var lines = []string{
	`{"process":"entry-1","event":830,"job":"00112233445566aa","outcome":"stored","time":"t1","message":"job accepted"}`,
	`{"process":"entry-2","event":840,"job":"00112233445566aa","reason":"queue q","time":"t0","message":"the decider took a job"}`,
	`{"process":"entry-2","event":842,"job":"00112233445566aa","task":"00112233445566aa.0.0.0","run":1,"instance":"side-1","time":"t2","message":"start"}`,
	`   1.5 side-1 {"process":"side-1","event":862,"silent_ms":1300,"time":"t9","message":"the worker does not answer"}`,
	`{"process":"side-2","event":862,"time":"t9","message":"another worker"}`,
	`{"process":"entry-2","event":845,"job":"00112233445566aa","task":"00112233445566aa.0.0.0","run":1,"instance":"side-1","time":"t3","message":"gone"}`,
	`{"process":"entry-2","event":842,"job":"00112233445566aa","task":"00112233445566aa.0.0.0","run":2,"instance":"side-2","time":"t4","message":"start"}`,
	`{"process":"entry-2","event":844,"job":"00112233445566aa","task":"00112233445566aa.0.0.0","run":2,"instance":"side-2","reason":"done","time":"t5","message":"end"}`,
	`{"process":"entry-2","event":841,"job":"00112233445566aa","reason":"completed","time":"t6","message":"over"}`,
	`{"process":"entry-2","event":841,"job":"ffffffffffffffff","reason":"completed","time":"t6","message":"over"}`,
}

func events(t *testing.T, logs ...string) (Account, []int) {
	t.Helper()
	var a Account
	var err error
	switch len(logs) {
	case 1:
		a, err = Explain(job, strings.NewReader(logs[0]))
	default:
		a, err = Explain(job, strings.NewReader(logs[0]), strings.NewReader(logs[1]))
	}
	assert.NilError(t, err)
	var got []int
	for _, l := range a.Lines {
		got = append(got, l.Event)
	}
	return a, got
}

// Guards against ordering by timestamps, which differ between machines, and against lines of other jobs.
func TestCausalOrder(t *testing.T) {
	a, got := events(t, strings.Join(lines, "\n"))
	assert.DeepEqual(t, got, []int{830, 840, 842, 862, 845, 842, 844, 841})
	assert.Equal(t, a.Read, len(lines))
	var out bytes.Buffer
	assert.NilError(t, a.Write(&out))
	assert.Assert(t, strings.Contains(out.String(), "8 are about the job"), out.String())
}

// Guards against truncated, duplicated or reordered logs hiding the cause.
func TestDamagedLogs(t *testing.T) {
	reversed := make([]string, 0, len(lines))
	for i := len(lines) - 1; i >= 0; i-- {
		if i != 3 {
			reversed = append(reversed, lines[i])
		}
	}
	a, got := events(t, lines[3]+"\n"+strings.Join(reversed, "\n")+"\n"+lines[5][:40]+"\nnot a line", strings.Join(lines, "\n"))
	assert.DeepEqual(t, got, []int{830, 840, 842, 862, 845, 842, 844, 841})
	assert.Equal(t, a.Unreadable, 2)
	assert.Equal(t, a.Repeated, 9)
	_, got = events(t, strings.Join(append(append([]string{}, lines[:2]...), lines[5:]...), "\n"))
	assert.DeepEqual(t, got, []int{830, 840, 845, 842, 844, 841})
}
