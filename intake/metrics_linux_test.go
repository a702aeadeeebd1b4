package intake

import (
	"net/http"
	"testing"
)

// Guards against clients of the metrics listener that use up the descriptors, so that the process takes no other connection.
func TestCrowdAtMetricsLeavesProcessIntact(t *testing.T) {
	for _, k := range []struct {
		name string
		size int
		m    member
	}{{"opened and left", 2 * descriptors, leave}, {"endless header", crowdSize, endlessHeader}, {"large chunks", crowdSize, largeChunks}, {"pipelined", crowdSize, pipelined}} {
		t.Run(k.name, func(t *testing.T) {
			p := start(t, "side")
			play(p.metrics, k.size, k.m)
			p.check()
			p.waitFor("the metrics after the crowd", answerTimeout, func() error { return request(http.MethodGet, p.metrics, "/metrics", nil) })
		})
	}
}
