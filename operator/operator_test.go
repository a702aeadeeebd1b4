package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/record"
)

// lossyEntry is an entry that executes changes but aborts the connection before it responds to them.
type lossyEntry struct {
	mu       sync.Mutex // guards the rest: a client may query the outcome before the handler of its aborted POST returns
	posts    []string
	outcomes map[string]config.Outcome
}

func (s *lossyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		var change record.ConfigChange
		if json.NewDecoder(r.Body).Decode(&change) == nil {
			s.posts = append(s.posts, change.ID)
			s.outcomes[change.ID] = config.Outcome{Change: change, Status: config.Accepted, Revision: 7}
		}
		panic(http.ErrAbortHandler)
	}
	id := strings.TrimPrefix(r.URL.Path, "/v1/config/changes/")
	out, ok := s.outcomes[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(out)
}

// Guards against a change whose response is lost being applied twice or reported as failed.
func TestChangeWithLostResponseIsNotResent(t *testing.T) {
	s := &lossyEntry{outcomes: make(map[string]config.Outcome)}
	srv := httptest.NewServer(s)
	defer srv.Close()
	c := &Client{Entries: []string{"http://127.0.0.1:1", srv.URL, srv.URL}, HTTP: srv.Client()}
	out, err := c.Change(t.Context(), record.ConfigChange{ID: "c1", Zone: &record.ZoneChange{Zone: "a", Out: true}})
	assert.NilError(t, err)
	assert.Equal(t, out.Revision, uint64(7))
	assert.DeepEqual(t, s.posts, []string{"c1"})
}

func run(t *testing.T, in string, terminal bool, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := Run(t.Context(), args, Streams{In: strings.NewReader(in), Out: &out, Err: &out, Terminal: terminal})
	return code, out.String()
}

// Guards against wrong exit codes and error messages without a usable remedy for invalid input and unreachable entries.
func TestInputErrors(t *testing.T) {
	t.Setenv("VERBENAKEEL_ENTRIES", "")
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	unreachable := "--entry=127.0.0.1:1"
	for _, c := range []struct {
		name string
		args []string
		code int
		text string
	}{
		{"no command", nil, 2, "Usage"},
		{"unknown command", []string{"zones"}, 2, "--help"},
		{"incomplete command", []string{unreachable, "zone"}, 2, "out"},
		{"missing argument", []string{unreachable, "zone", "out"}, 2, "verbenakeel zone out --help"},
		{"no entry", []string{"zone", "list"}, 2, "VERBENAKEEL_ENTRIES"},
		{"unreachable entry", []string{unreachable, "zone", "list"}, 5, "check the address"},
		{"no file", []string{unreachable, "contract", "publish", dir + "/none"}, 2, "readable"},
		{"unknown field", []string{unreachable, "contract", "publish", file("a", `{"costumer":"x"}`)}, 2, "docs/operators.md"},
		{"bad contract", []string{unreachable, "contract", "diff", file("b", `{"customer":"X"}`)}, 2, "lower-case"},
		{"bad job", []string{unreachable, "job", "submit", "h", file("c", `{"kind":"batch"}`)}, 2, "tasks"},
		{"bad job id", []string{unreachable, "job", "show", "plan"}, 2, "CUSTOMER/NAME"},
		{"negative limit", []string{unreachable, "endpoint", "shutdown", "e", "--limit=-1s"}, 2, "--limit"},
		{"bad settings", []string{"settings", "check", file("d", "[process]\nid =\n"), "--role", "entry"}, 2, "line 2: process.id"},
		{"bad role", []string{"settings", "check", dir + "/d", "--role", "x"}, 2, "entry or side"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, text := run(t, "", false, c.args...)
			assert.Equal(t, code, c.code, text)
			assert.Assert(t, is.Contains(text, c.text))
		})
	}
}

// Guards against disruptive commands that run without confirmation, and against confirmations that are not recognized.
func TestConfirm(t *testing.T) {
	for _, c := range []struct {
		in       string
		terminal bool
		yes      bool
		ok       bool
	}{
		{"y\n", true, false, true}, {"YES\n", true, false, true}, {"n\n", true, false, false}, {"\n", true, false, false},
		{"", true, false, false}, {"y\n", false, false, false}, {"", false, true, true},
	} {
		t.Run(fmt.Sprintf("%q %t %t", c.in, c.terminal, c.yes), func(t *testing.T) {
			var text bytes.Buffer
			cmd := &command{Streams: Streams{In: strings.NewReader(c.in), Err: &text, Terminal: c.terminal}, args: Args{Yes: c.yes}}
			err := cmd.confirm("this", []string{"that"})
			assert.Equal(t, err == nil, c.ok)
			assert.Equal(t, strings.Contains(text.String(), "that"), !c.yes)
		})
	}
}

// Guards against a contract that lowers a limit or removes a service or token without the operator being warned.
func TestReductions(t *testing.T) {
	old := config.ContractVersion{Revision: 1, Contract: record.Contract{
		Priority: record.Critical, MaxTasks: 5, Services: []record.Service{{Name: "a"}}, TokenSHA256: []string{"t"},
		Guaranteed: record.Resources{CPUMilli: 2}, Burst: record.Resources{Accelerators: 1},
	}}
	assert.Equal(t, len(reductions(old, old.Contract)), 0)
	assert.Equal(t, len(reductions(old, record.Contract{Priority: record.BestEffort})), 6)
	assert.Equal(t, len(reductions(config.ContractVersion{}, record.Contract{})), 0)
	limited := old.Contract
	limited.MaxKeys = 1000
	assert.Equal(t, len(reductions(old, limited)), 1, "a limit on keys where there was none is a reduction")
	assert.Equal(t, len(reductions(config.ContractVersion{Revision: 1, Contract: limited}, old.Contract)), 0)
	assert.DeepEqual(t, diff(old.Contract, record.Contract{Priority: record.Critical, MaxTasks: 6, TokenSHA256: []string{"t"},
		Guaranteed: record.Resources{CPUMilli: 2}, Burst: record.Resources{Accelerators: 1}, Services: []record.Service{{Name: "a", Public: true}}}),
		[]Difference{{"max_tasks", "5", "6"}, {"services[a].public", "false", "true"}})
}

// Guards against a wait that reports a revision as in force everywhere although an entry did not respond.
func TestWaitCountsUnresponsiveEntries(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"revision":3,"everyone":true,"behind":[]}`)
	}))
	defer srv.Close()
	code, text := run(t, "", false, "--entry", srv.URL, "wait", "--revision", "3")
	assert.Equal(t, code, 0, text)
	code, text = run(t, "", false, "--entry", srv.URL, "--entry", "127.0.0.1:1", "wait", "--revision", "3", "--timeout", "300ms")
	assert.Equal(t, code, 5, text)
	assert.Assert(t, is.Contains(text, "http://127.0.0.1:1 (no answer)"))
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"revision":3,"everyone":false,"behind":[],"silent":["side-7"]}`)
	}))
	defer silent.Close()
	code, text = run(t, "", false, "--entry", silent.URL, "wait", "--revision", "3", "--timeout", "300ms")
	assert.Equal(t, code, 5, text)
	assert.Assert(t, is.Contains(text, "side-7 (silent)"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !sleepUntilPoll(ctx))
}

// Guards against a service that is listed twice among those that a zone's outage affects, because its first endpoint is
// neither in the zone nor usable.
func TestAffectedServicesAreListedOnce(t *testing.T) {
	f := fleet{endpoints: []entry.EndpointView{
		{Service: "s", Zone: "b", State: "draining"}, {Service: "s", Zone: "a", State: "up", Up: true}, {Service: "s", Zone: "b", State: "up", Up: true},
	}}
	assert.DeepEqual(t, f.affectedBy("a"), []string{"workers that get no new work: 0; tasks on them that are moved: 0",
		"endpoints of service s here: 1; usable ones in other zones: 1"})
}

// Guards against a change ID that reaches another path or query of the entry.
func TestChangeIDIsEscaped(t *testing.T) {
	var asked string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.Path
		fmt.Fprint(w, `{"status":"accepted","revision":1}`)
	}))
	defer srv.Close()
	_, text := run(t, "", false, "--entry", srv.URL, "change", "a/../b?c")
	assert.Equal(t, asked, "/v1/config/changes/a/../b?c", text)
}

// Guards against a command that panics on a job without a history, after the command on it took effect.
func TestJobWithoutHistoryIsPrinted(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			fmt.Fprint(w, `{"job":{"spec":{"id":"j"}}}`)
			return
		}
		fmt.Fprint(w, `{"job":{"spec":{"id":"j"},"history":[{}]}}`)
	}))
	defer srv.Close()
	code, text := run(t, "", false, "--entry", srv.URL, "--yes", "job", "cancel", "c/j")
	assert.Equal(t, code, 0, text)
	assert.Assert(t, is.Contains(text, "no history"))
}

// Guards against a status --watch that blocks on an unresponsive entry, exits when an entry fails, or continues although
// the token is rejected.
func TestStatusWatch(t *testing.T) {
	statusServed := make(chan struct{}, 100)
	healthy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/status" {
			fmt.Fprint(w, "[]")
			return
		}
		statusServed <- struct{}{}
		fmt.Fprint(w, `{"entry":"entry-1"}`)
	}))
	defer healthy.Close()
	stop := make(chan struct{})
	hung := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-stop:
		}
	}))
	defer hung.Close()
	defer close(stop)

	ctx, cancel := context.WithCancel(t.Context())
	var out, errs bytes.Buffer
	code := make(chan int)
	go func() {
		code <- Run(ctx, []string{"--entry", hung.URL, "--entry", healthy.URL, "--json", "status", "--watch", "--every", "200ms"},
			Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
	}()
	for range 3 {
		<-statusServed
	}
	cancel()
	assert.Equal(t, <-code, ExitOK, errs.String())
	first := strings.SplitN(out.String(), "\n", 2)[0]
	assert.Assert(t, is.Contains(first, `"entry":"entry-1"`))
	assert.Assert(t, is.Contains(first, fmt.Sprintf(`"silent":[%q]`, hung.URL)))

	denied := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
		fmt.Fprint(w, `{"error":{"kind":"unauthorized","message":"the token is wrong","remedy":"pass --token"}}`)
	}))
	defer denied.Close()
	got, text := run(t, "", false, "--entry", denied.URL, "status", "--watch")
	assert.Equal(t, got, ExitFailed, text)
	assert.Assert(t, is.Contains(text, "pass --token"))
}
