package record

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a change of the codec by which records on a log written by the first release are misread. The file
// holds records as that release wrote them; it is never written again.
func TestDecodeVersion1(t *testing.T) {
	file, err := os.ReadFile("testdata/v1.hex")
	assert.NilError(t, err)
	want := []*Record{
		{Version: 1, Writer: "e1", Incarnation: 7, Seq: 1, AtMs: 12, DeciderClaim: &DeciderClaim{
			Address: "10.0.0.1:7", Zone: "a", Witness: "e2", WitnessIncarnation: 9, WitnessAddress: "10.0.0.2:7"}},
		{Version: 1, Writer: "e1", Incarnation: 7, Seq: 2, AtMs: 13, Batch: &Batch{
			Epoch: 4, Starts: []Start{{Task: "h/j#0", Attempt: 1, Worker: "w1", Size: Resources{CPUMilli: 1000, MemoryMB: 5}}},
			Ends: []End{{Task: "h/j#1", Attempt: 2, Outcome: Lapsed, CheckpointMs: 8}}}},
		{Version: 1, Writer: "e1", Incarnation: 7, Seq: 3, AtMs: 14, Config: []ConfigChange{
			{ID: "c1", Operator: "op", Base: 3, Zone: &ZoneChange{Zone: "a", Out: true}}}},
	}
	for i, line := range strings.Fields(string(file)) {
		data, err := hex.DecodeString(line)
		assert.NilError(t, err)
		got, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want[i])
	}
}
