package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/settings"
)

// Guards against settings of the order and the durations that do not reach the decider.
func TestSchedulingSettingsReachTheDecider(t *testing.T) {
	set := settings.DefaultFleet()
	assert.Equal(t, dispatchOptions(set), dispatch.Options{})
	set.Order, set.Durations = "deadline", "declared"
	assert.Equal(t, dispatchOptions(set), dispatch.Options{Order: dispatch.OrderDeadline, Durations: dispatch.DurationsDeclared})
}
