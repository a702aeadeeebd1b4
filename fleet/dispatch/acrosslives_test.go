package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// seedsAcrossLivesThatFailed holds seeds of TestSimulationInvariantsAcrossLives that failed on earlier code, with the cause.
var seedsAcrossLivesThatFailed = map[uint64]string{
	138: "a run counted as at work although its worker had restarted, and another one of its step was stopped",
	403: "a worker restarted, its next life carried out a start under the longest lease and was cut off before the decider knew of it",
	503: "as 403",
	505: "as 403",
	48:  "as 403, for a task that lasts",
	969: "as 48",
}

// Guards against broken invariants, as TestSimulationInvariants, where workers restart under their ids and are cut off soon after (issue 45,
// TWICE): calls to the life before reach the next one and give it the longest lease, side processes restart beside their workers,
// and deciders change in between. The lease of a worker is one for everything that runs there.
func TestSimulationInvariantsAcrossLives(t *testing.T) {
	for _, seed := range simulatedSeeds(seedsAcrossLivesThatFailed) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			longest := []time.Duration{6 * time.Second, 10 * time.Second, 30 * time.Second}[seed/2%3]
			newLivesSimulation(t, seed, 4, longest, rand.New(rand.NewPCG(seed, 2))).checkInvariants()
		})
	}
}
