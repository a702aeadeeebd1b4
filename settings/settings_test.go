package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/internal/doctable"
)

const goodEntry = "[process]\nid = e\nregion = r\nzone = z\n[platform]\nlog = http://127.0.0.1:1\n"

const goodSide = "[process]\nid = s\nregion = r\nzone = z\nrack = k\n[entries]\ncontrol = 127.0.0.1:1\n[worker]\nurl = http://127.0.0.1:2\n"

// Guards against a documentation page that lacks a setting or states another default or range than the code.
func TestSettingsPage(t *testing.T) {
	rows, err := doctable.Rows("../docs/settings.md")
	assert.NilError(t, err)
	e, s := DefaultEntry(), DefaultSide()
	var want [][]string
	for _, k := range append(e.keys(), s.keys()...) {
		def := k.def
		if k.required {
			def = "required"
		}
		want = append(want, []string{k.section + "." + k.name, def, k.allowed})
	}
	for i, r := range rows {
		assert.Equal(t, len(r), 4, "row %v", r)
		assert.Assert(t, r[3] != "", "row %v lacks its meaning", r)
		rows[i] = r[:3]
	}
	assert.DeepEqual(t, rows, want)
}

// Guards against an entry that has no log to read the configuration from, or that reads the region's log although
// config_log names another one.
func TestConfigLog(t *testing.T) {
	e, problems := CheckEntry([]byte(goodEntry))
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, e.ConfigLogURL, e.LogURL)
	e, problems = CheckEntry([]byte(goodEntry + "config_log = http://127.0.0.1:2/\n"))
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, e.ConfigLogURL, "http://127.0.0.1:2")
	assert.Equal(t, e.LogURL, "http://127.0.0.1:1")
}

// Guards against invalid settings that are not reported, or that are reported without line, key or remedy.
func TestProblems(t *testing.T) {
	entry := func(text string) []Problem { _, p := CheckEntry([]byte(text)); return p }
	side := func(text string) []Problem { _, p := CheckSide([]byte(text)); return p }
	for _, c := range []struct {
		name     string
		problems []Problem
		want     []string
	}{
		{"good entry", entry(goodEntry), nil},
		{"good side process", side(goodSide), nil},
		{"empty entry", entry(""), []string{"process.id: is missing", "process.region: is missing", "process.zone: is missing", "platform.log: is missing"}},
		{"no section", entry("id = x\n" + goodEntry), []string{"line 1: DEFAULT.id: is not a setting"}},
		{"unknown key", entry(goodEntry + "lag = 1\n"), []string{"line 7: platform.lag: is not a setting"}},
		{"twice", entry(goodEntry + "log = http://127.0.0.1:2\n"), []string{"line 7: platform.log: is set more than once"}},
		{"all at once", entry(goodEntry + "[listen]\npublic = here:1\n[times]\nheartbeat = 1h\npoll_every = soon\n"),
			[]string{`line 8: listen.public: "here" is not an IP address`, "line 10: times.heartbeat: 1h0m0s is outside", `line 11: times.poll_every: "soon" is not a duration`}},
		{"late starts", entry(goodEntry + "[times]\npermit_ttl = 2s\nconfig_freshness = 1s\n"), []string{"line 8: times.permit_ttl: permit_ttl and config_freshness together must stay below 3s"}},
		{"short lease", entry(goodEntry + "[times]\ntask_lease = 5s\n"), []string{"line 8: times.task_lease: must be at least three times poll_every"}},
		{"silent_after below poll_every", entry(goodEntry + "[times]\nsilent_after = 1s\n"), []string{"line 8: times.silent_after: must be longer than poll_every"}},
		{"same address", entry(goodEntry + "[listen]\npublic = 127.0.0.1:9\ncontrol = 127.0.0.1:9\n"), []string{"line 9: listen.control: is the address of listen.public too"}},
		{"half of tls", entry(goodEntry + "[tls]\ncert = c\n"), []string{"tls.key: is missing beside", "tls.ca: is missing beside"}},
		{"bad sum", entry(goodEntry + "[operators]\ntoken_sha256 = abc\n"), []string{"line 8: operators.token_sha256: is not a SHA-256 sum"}},
		{"half of an endpoint", side(goodSide + "[endpoint]\nservice = s\n"), []string{"endpoint: service and url belong together"}},
		{"neither endpoint nor worker", side(strings.Split(goodSide, "[worker]")[0]), []string{"endpoint: the instance has neither an endpoint nor a worker"}},
		{"bad numbers", side(goodSide + "[endpoint]\nslots = many\nqueue = -1\n"), []string{`line 11: endpoint.slots: "many" is not a whole number`, "line 12: endpoint.queue: -1 is outside"}},
		{"bad list", side(strings.Replace(goodSide, "control = 127.0.0.1:1", "control = 127.0.0.1:1, x", 1)), []string{`line 7: entries.control: "x" is not ip:port`}},
		{"no INI", entry("[process\n"), []string{"file: "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, len(c.problems), len(c.want), "%v", c.problems)
			for i, p := range c.problems {
				assert.Assert(t, is.Contains(p.String(), c.want[i]))
				assert.Assert(t, p.Remedy != "")
			}
		})
	}
}

// Guards against loading invalid settings with an error that omits some problems, or whose kind is not Invalid, which
// decides the exit code.
func TestLoadListsAllProblems(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e.ini")
	assert.NilError(t, os.WriteFile(path, []byte("[process]\nid =\n"), 0o600))
	_, err := LoadEntry(path)
	assert.Assert(t, errors.Is(err, errdefs.OfKind(errdefs.Invalid)))
	for _, part := range []string{"4 problems", "process.id", "process.region", "process.zone", "platform.log"} {
		assert.Assert(t, is.Contains(err.Error(), part))
	}
	_, err = LoadSide(path + "x")
	assert.Assert(t, errors.Is(err, errdefs.OfKind(errdefs.Invalid)))
}
