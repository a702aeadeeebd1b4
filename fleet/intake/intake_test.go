package intake

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/settings"
)

// Guards against a log line per refusal, and against refusals that no line counts.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	var tl tally
	logged, lines := 0, 0
	write := func(n int) {
		if n > 0 {
			logged, lines = logged+n, lines+1
		}
	}
	flushAt := int64(0)
	for now := int64(5000); now < 8000; now += 10 {
		if flushAt != 0 && now >= flushAt {
			write(tl.flush(httpserver.ReasonBudget, now))
			flushAt = 0
		}
		n, wait := tl.add(httpserver.ReasonBudget, now)
		write(n)
		if wait > 0 {
			flushAt = now + wait
		}
	}
	write(tl.flush(httpserver.ReasonBudget, flushAt))
	assert.Equal(t, logged, 300)
	assert.Equal(t, lines, 4)
}

// Guards against defaults that a client inside the limits reaches, on the smallest machines of the users.
func TestDefaultsSuitTheSmallestMachines(t *testing.T) {
	for name, m := range map[string]struct{ memoryMB, fds int }{"entry": {184, 4100}, "side": {152, 4096}} {
		set := settings.DefaultFleet()
		set.MemoryMB, set.MaxFDs = m.memoryMB, m.fds
		l := Limits(set)
		const body, clients, files = 262_144, 500, 200
		assert.Assert(t, l.Bytes >= 16*body, "%s: %d bytes", name, l.Bytes)
		assert.Assert(t, l.SmallBytes >= clients*8<<10, "%s: %d bytes in reserve", name, l.SmallBytes)
		// The limit of the machine that runs the test may be lower than that of the users' machines.
		if httpserver.Descriptors(0) >= m.fds {
			assert.Assert(t, l.Conns > clients && l.Conns < m.fds-files, "%s: %d connections", name, l.Conns)
		}
		assert.Assert(t, body/l.MinRate >= 3, "%s: a body in 3 s is too slow", name)
	}
	set := settings.DefaultFleet()
	set.Intake = settings.Intake{BudgetKB: 3, ReserveKB: 2, Connections: 5, HeaderTimeout: 1, BodyTimeout: 1, MinRate: 1}
	l := Limits(set)
	assert.Equal(t, l, httpserver.IntakeLimits{Bytes: 3 << 10, SmallBytes: 2 << 10, Conns: 5, HeaderTimeout: 1, BodyTimeout: 1, MinRate: 1})
}
