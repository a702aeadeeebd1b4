package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against flags or a file that describe another job than a submission with the same sizes.
func TestExplainedJob(t *testing.T) {
	want := []work.Step{{Count: 3, CPU: 1800, MemMB: 3200, GPU: 1, EstMs: 2200, BestEffort: true, Image: "f", Requires: "gold", Rack: "r1-1"}}
	byFlags, err := jobOf(&explainArgs{Tasks: 3, CPU: 1800, MemMB: 3200, GPU: 1, EstMs: 2200, BestEffort: true, Image: "f", Requires: "gold", Rack: "r1-1"})
	assert.NilError(t, err)
	assert.DeepEqual(t, byFlags.Steps, want)
	assert.Assert(t, work.ValidID(byFlags.ID))

	file := filepath.Join(t.TempDir(), "job.json")
	body := `{"steps":[{"count":3,"cpu":1800,"mem_mb":3200,"gpu":1,"est_ms":2200,"fills":true,"image":"f","requires":"gold","affinity":"r1-1"}]}`
	assert.NilError(t, os.WriteFile(file, []byte(body), 0o600))
	byFile, err := jobOf(&explainArgs{File: file, ID: "00112233445566aa"})
	assert.NilError(t, err)
	assert.DeepEqual(t, byFile.Steps, want)
	assert.Equal(t, byFile.ID, "00112233445566aa")

	for _, a := range []explainArgs{{Tasks: 1, ID: "x"}, {Tasks: 0}, {File: file + ".absent"}} {
		_, err := jobOf(&a)
		assert.Equal(t, errdefs.KindOf(err), errdefs.Invalid, "%+v", a)
	}
}
