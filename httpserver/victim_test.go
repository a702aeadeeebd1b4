package httpserver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an order in which ordinary clients give way before those that hold connections or bytes without a use. Each
// case lists connections in the order in which they give way.
func TestOrderOfGivingWay(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	old, fresh := ago(time.Minute), ago(time.Millisecond)
	for _, c := range []struct {
		name  string
		bytes bool
		order []*intakeConn
		// kept never give way.
		kept []*intakeConn
	}{
		{"connections", false, []*intakeConn{
			{address: "a", since: old},
			{address: "b", since: old, state: reading, held: 5},
			{address: "a", since: fresh},
			{address: "lb", since: old, state: reading, served: true, held: 9},
			{address: "lb", since: ago(2 * time.Second), served: true, held: 7},
			{address: "lb", since: old, served: true},
			{address: "lb", since: ago(5 * time.Second), served: true, state: writing},
			{address: "c", since: ago(3 * time.Second), served: true},
		}, []*intakeConn{
			{address: "lb", since: old, served: true, state: running, held: 99},
			{address: "lb", since: fresh, served: true, state: writing},
		}},
		{"bytes", true, []*intakeConn{
			{state: reading, held: 50, progress: old},
			{state: reading, held: 10, progress: old},
			{state: reading, held: 90, progress: fresh},
			{state: reading, held: 60, progress: fresh},
		}, []*intakeConn{
			{state: reading, held: 40, progress: fresh},
			{state: running, held: 99, progress: old},
			{state: reading, progress: old},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := &Intake{conns: map[*intakeConn]struct{}{}}
			for _, conn := range append(append([]*intakeConn{}, c.order...), c.kept...) {
				in.conns[conn] = struct{}{}
			}
			for i := range len(c.order) + 1 {
				victim := in.connVictim(now)
				if c.bytes {
					const size = 40
					victim = in.byteVictim(&intakeConn{}, size, now)
				}
				if i == len(c.order) {
					assert.Assert(t, victim == nil, "%+v gave way", victim)
					break
				}
				assert.Assert(t, victim == c.order[i], "at place %d %+v gave way", i, victim)
				delete(in.conns, victim)
			}
		})
	}
}
