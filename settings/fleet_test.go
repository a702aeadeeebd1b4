package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/internal/doctable"
)

const goodFleet = "[process]\ninstance = f\nzone = z\n[listen]\npublic = 127.0.0.1:1\nready = 127.0.0.1:2\npeer = 127.0.0.1:3\n" +
	"[services]\nstore = 127.0.0.1:4\n"

// Guards against a documentation page that lacks a setting or states another default or range than the code.
func TestFleetSettingsPage(t *testing.T) {
	rows, err := doctable.Rows("../docs/settings-fleet.md")
	assert.NilError(t, err)
	f := DefaultFleet()
	var want [][]string
	for _, k := range f.keys(true) {
		want = append(want, []string{k.section + "." + k.name, k.def, k.allowed})
	}
	for i, r := range rows {
		assert.Equal(t, len(r), 4, "row %v", r)
		assert.Assert(t, r[3] != "", "row %v lacks its meaning", r)
		rows[i] = r[:3]
	}
	assert.DeepEqual(t, rows, want)
}

// Guards against a template that lacks a setting of the program.
func TestTemplateNamesEveryKey(t *testing.T) {
	data, err := os.ReadFile("../deploy/settings.ini")
	assert.NilError(t, err)
	f := DefaultFleet()
	lines := lineNumbers(data)
	for _, k := range f.keys(true) {
		if k.name == "log_level" {
			continue // the platform has no field to render it from
		}
		assert.Assert(t, lines[k.section+"."+k.name] > 0, "deploy/settings.ini lacks %s.%s", k.section, k.name)
	}
}

// Guards against a process that rejects empty values of fields that a deployment does not set, and against accepting
// invalid values.
func TestFleetSettings(t *testing.T) {
	f, problems := CheckFleet([]byte(goodFleet+"adviser = \n[bounds]\nhold_max = 10000ms\nfar_factor = 3\nrestore = ms\n"), true)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, f.Bounds.MaxLease, 10*time.Second)
	assert.Equal(t, f.Bounds.OffRackFactor, 3.0)
	assert.Equal(t, f.Bounds.Restore, DefaultFleet().Bounds.Restore)
	assert.Assert(t, f.Bounds.Lease > 0 && f.Bounds.Lease < f.Bounds.MaxLease)
	assert.Equal(t, f.Order+" "+f.Durations, "deadline declared")
	f, problems = CheckFleet([]byte(goodFleet+"[scheduling]\norder = scarcity\ndurations =\n"), true)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, f.Order+" "+f.Durations, "scarcity declared")
	for text, want := range map[string]string{
		"[scheduling]\norder = fifo\n":       "scheduling.order",
		"[bounds]\nhold_max = soon\n":        "bounds.hold_max",
		"[bounds]\nfar_factor = near\n":      "bounds.far_factor",
		"[limits]\ncores = 0\n":              "limits.cores",
		"[worker]\naddress = elsewhere\n":    "worker.address",
		"[bounds]\nhold_min = 1s\n":          "bounds.hold_min",
		"[scheduling]\nadmission = on\n":     "scheduling.admission",
		"[scheduling]\nload_forecast = on\n": "scheduling.load_forecast",
	} {
		_, problems := CheckFleet([]byte(goodFleet+text), true)
		assert.Equal(t, len(problems), 1, "%s: %v", text, problems)
		assert.Equal(t, problems[0].Key, want)
		assert.Assert(t, problems[0].Remedy != "")
	}
	_, problems = CheckFleet([]byte(strings.Replace(goodFleet, "peer = 127.0.0.1:3\n", "", 1)), true)
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Key, "listen.peer")
	_, problems = CheckFleet([]byte(goodFleet), false)
	assert.Assert(t, len(problems) > 0, "a side process without a worker passed")
}
