package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
)

// Guards against a decider that goes on although it can no longer make workers refuse delayed orders: the count of connections in the fence of a
// worker is used up.
func TestDeciderEndsOnceAFenceCannotRise(t *testing.T) {
	set := settings.DefaultFleet()
	set.Bounds = set.Bounds.Derive()
	d := &decider{entry: &Entry{set: set, log: logevent.Nop()}, confirmedMs: clock.BootMs()}
	d.state = dispatch.New(set.Bounds, 1, d.now(), dispatch.Options{})
	connections := 0
	for ; !d.claimLost && connections < 1<<17; connections++ {
		d.applyEvent(dispatch.SideConnected{Instance: "side-1"})
	}
	assert.Equal(t, connections, 1<<16)
	assert.Assert(t, !d.hasAuthority())
}
