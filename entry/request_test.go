package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

const requestContract = `{"contract":{"customer":"hartwell","priority":"critical","requests_per_second":1000,"request_burst":1000,
"concurrency":500,"services":[{"name":"fitcheck","deadline_ms":5000,"public":true,"once":[{"method":"POST","prefix":"/clearance"}]}]}}`

// fakeSide responds like a side process and its endpoint. It does not refuse second starts, so that only the checks of the
// entries take effect.
type fakeSide struct {
	mu         sync.Mutex
	recorder   history.Recorder
	executions int
	// echo returns the request id that the response carries.
	echo func(id string) string
}

// ServeHTTP implements http.Handler.
func (f *fakeSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(control.HeaderClock, "run:1000000")
	if r.URL.Path == "/-/ping" {
		_, _ = io.WriteString(w, r.Header.Get(control.HeaderTries))
		return
	}
	id, key := r.Header.Get(control.HeaderRequestID), r.Header.Get(control.HeaderKey)
	f.mu.Lock()
	f.executions++
	f.recorder.Add(history.Execution{At: time.Duration(f.executions), ID: id, Key: key, Endpoint: "instance-01"})
	f.mu.Unlock()
	answered := f.echo(id)
	w.Header().Set(control.HeaderRequestID, answered)
	_, _ = w.Write(history.EncodeBody(answered, []byte("cleared")))
}

// startEntries runs entries on one log, with the fake side process announced to each of them.
func startEntries(t *testing.T, n int, log *memlog.Log, side *fakeSide, configure func(*Entry)) []*Entry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: side}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	var list []*Entry
	for i := range n {
		set := settings.DefaultEntry()
		set.ID, set.Region, set.Zone, set.Heartbeat = fmt.Sprintf("entry-%d", i+1), "midshire", "midshire-a", time.Minute
		e, err := New(set, log, io.Discard)
		assert.NilError(t, err)
		configure(e)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-done)
		})
		_, err = control.NewEntryProtobufClient("http://"+e.ControlAddress(), http.DefaultClient).Announce(t.Context(), &control.AnnounceRequest{
			Process: &control.Process{Id: "instance-01", Incarnation: 1, Zone: "midshire-a"}, Sequence: 1, Service: "fitcheck",
			Address: ln.Addr().String(), Slots: 8, SlotsFree: 8, EndpointUp: true,
		})
		assert.NilError(t, err)
		list = append(list, e)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := post(t, "http://"+list[0].OperatorAddress()+"/v1/config", "", "", requestContract); status != 200 {
			return poll.Continue("publish: %d %s", status, body)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	for _, e := range list {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !e.ready.Load() || e.revision() == 0 {
				return poll.Continue("the entry is not ready")
			}
			return poll.Success()
		}, poll.WithTimeout(time.Minute))
	}
	return list
}

func post(t *testing.T, url, id, key, body string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	req.Header.Set(control.HeaderRequestID, id)
	if key != "" {
		req.Header.Set(control.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, data
}

// Guards against a request that runs twice because an entry runs it without waiting for the order of claims in the log. The
// log is slow, so that both entries append a claim before either claim is read. With the rule switched off, the checker
// must report the violation.
func TestConcurrentClaimsRunOnce(t *testing.T) {
	for _, ruleOff := range []bool{false, true} {
		side := &fakeSide{echo: func(id string) string { return id }}
		log := memlog.New(memlog.Options{})
		entries := startEntries(t, 2, log, side, func(e *Entry) { e.ignoreClaim = ruleOff })
		log.SetFaults(memlog.Faults{DelayMs: 200})
		var wg sync.WaitGroup
		for i, e := range entries {
			wg.Go(func() {
				id := fmt.Sprintf("r%d", i)
				side.recorder.Add(history.Request{ID: id, Key: "k1"})
				status, body := post(t, "http://"+e.PublicAddress()+"/fitcheck/clearance", id, "k1", "seat")
				a := history.ParseAnswer(status, body)
				a.At, a.ID = time.Hour, id
				side.recorder.Add(a)
			})
		}
		wg.Wait()
		expectViolation(t, side, ruleOff, history.ExecutedTwice)
	}
}

// Guards against a response that reaches a caller whose request it does not belong to. With the rule switched off, the
// checker must report the violation.
func TestForeignAnswerIsRejected(t *testing.T) {
	for _, ruleOff := range []bool{false, true} {
		side := &fakeSide{echo: func(string) string { return "another" }}
		e := startEntries(t, 1, memlog.New(memlog.Options{}), side, func(e *Entry) { e.ignoreEcho = ruleOff })[0]
		side.recorder.Add(history.Request{ID: "r1"})
		status, body := post(t, "http://"+e.PublicAddress()+"/fitcheck/seat?ms=1", "r1", "", "seat")
		a := history.ParseAnswer(status, body)
		a.At, a.ID = time.Hour, "r1"
		side.recorder.Add(a)
		expectViolation(t, side, ruleOff, history.AnswerMismatched)
	}
}

// expectViolation checks that the history violates the rule if it is switched off, and that it has no violation otherwise.
func expectViolation(t *testing.T, side *fakeSide, ruleOff bool, rule history.Rule) {
	t.Helper()
	found := history.Check(side.recorder.Events())
	if !ruleOff {
		assert.Equal(t, len(found), 0, "%v", found)
		return
	}
	assert.Assert(t, len(found) > 0)
	assert.Equal(t, found[0].Rule, rule)
}

// Guards against a repeat that gets an empty response because the first response was too large to record.
func TestAnswerTooLargeToKeep(t *testing.T) {
	side := &fakeSide{echo: func(id string) string { return id }}
	e := startEntries(t, 1, memlog.New(memlog.Options{}), side, func(*Entry) {})[0]
	cl := &call{customer: "hartwell", key: "big", deadline: time.Now().Add(time.Minute)}
	won, err := e.claimRequest(t.Context(), cl, 7, 0)
	assert.NilError(t, err)
	assert.Assert(t, won)
	e.recordAnswer(cl, 7, result{status: 200, body: make([]byte, maxKeptBodyBytes+1)})
	known, ok := e.lookupClaim(cl)
	assert.Assert(t, ok)
	assert.Assert(t, known.TooLarge)
	assert.Equal(t, e.describeRequest(known), "ran once and was answered; the answer was too large to keep")
}

// Guards against keys that are accepted beyond the contract's limit or the memory for claims, against running a request that
// was refused, and against refusing repeats of earlier keys once the limit is reached.
func TestKeysAreBounded(t *testing.T) {
	for name, limit := range map[string]func(*Entry, *record.Contract){
		"contract": func(_ *Entry, c *record.Contract) { c.MaxKeys = 1 },
		"memory":   func(e *Entry, _ *record.Contract) { e.set.ClaimsMB = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			side := &fakeSide{echo: func(id string) string { return id }}
			e := startEntries(t, 1, memlog.New(memlog.Options{}), side, func(*Entry) {})[0]
			url := "http://" + e.PublicAddress() + "/fitcheck/clearance"
			status, first := post(t, url, "r1", "k1", "seat")
			assert.Equal(t, status, 200, string(first))
			e.mu.Lock()
			limit(e, &e.state.Config.Contracts["hartwell"].Contract)
			e.mu.Unlock()
			status, body := post(t, url, "r2", "k2", "seat")
			assert.Equal(t, status, 429, string(body))
			assert.Assert(t, bytes.Contains(body, []byte(`"not_run":true`)), string(body))
			status, again := post(t, url, "r3", "k1", "seat")
			assert.Equal(t, status, 200, string(again))
			assert.Equal(t, string(again), string(first))
			assert.Equal(t, side.executions, 1)
		})
	}
}
