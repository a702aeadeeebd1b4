package record

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a codec change that decodes records of the first release incorrectly. The file holds records that the
// first release encoded; do not regenerate it.
func TestDecodeSchemaVersion1(t *testing.T) {
	file, err := os.ReadFile("testdata/v1.hex")
	assert.NilError(t, err)
	want := []*Record{
		{Version: 1, Writer: "e1", Incarnation: 7, Seq: 1, AtMs: 12, DeciderClaim: &DeciderClaim{
			Address: "10.0.0.1:7", Zone: "a", Witness: "e2", WitnessIncarnation: 9, WitnessAddress: "10.0.0.2:7"}},
		{Version: 1, Writer: "e1", Incarnation: 7, Seq: 2, AtMs: 13, Batch: &Batch{
			Epoch: 4, Starts: []Start{{Task: "h/j#0", Attempt: 1, Worker: "w1", Size: Resources{CPUMilli: 1000, MemoryMB: 5}}},
			Ends: []End{{Task: "h/j#1", Attempt: 2, Outcome: LeaseExpired, CheckpointMs: 8}}}},
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
