package side

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// The history checker must report new work at a draining endpoint when the rule that its side process refuses such work
// is switched off. The history's times are set by the test, so that it need not wait for the limit.
func TestCheckerSeesWorkAtLeavingEndpoint(t *testing.T) {
	for name, off := range map[string]bool{"in force": false, "off": true} {
		t.Run(name, func(t *testing.T) {
			if off {
				t.Cleanup(rule.Disable(rule.RefuseWhileDraining))
			}
			var hits atomic.Int64
			s := startSide(t, rawEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", &hits), nil)
			s.mu.Lock()
			s.ordered = true
			s.applyDrain()
			s.mu.Unlock()
			rec := new(history.Recorder)
			rec.Add(history.EndpointShutdown{Endpoint: "instance-01"}, history.Request{At: time.Minute, ID: "r1"})
			resp, _ := send(t, s, map[string]string{control.HeaderRepeatable: "true"})
			for range hits.Load() {
				rec.Add(history.Execution{At: time.Minute, ID: "r1", Endpoint: "instance-01"})
			}
			found := history.Check(rec.Events())
			if !off {
				assert.Equal(t, resp.Header.Get(control.HeaderNotRun), "true")
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Equal(t, len(found), 1)
			assert.Equal(t, found[0].Rule, history.RequestAfterShutdown)
		})
	}
}

// The history checker must report a request that a graceful shutdown aborts when the rule that the side process waits for
// requests in progress is switched off.
func TestCheckerSeesCutOffByShutdown(t *testing.T) {
	for name, off := range map[string]bool{"in force": false, "off": true} {
		t.Run(name, func(t *testing.T) {
			if off {
				t.Cleanup(rule.Disable(rule.Finish))
			}
			began, release := make(chan struct{}), make(chan struct{})
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/clearance" {
					close(began)
					<-release
				}
			}))
			t.Cleanup(endpoint.Close)
			s, stop := startSideUntil(t, endpoint.URL, nil)
			rec := new(history.Recorder)
			rec.Add(history.Request{ID: "r1"}, history.EndpointShutdown{At: 2, Endpoint: "instance-01"})
			answered := make(chan history.Verdict, 1)
			go func() {
				req, _ := http.NewRequest(http.MethodPost, "http://"+s.DataAddress()+"/clearance", strings.NewReader("seat"))
				req.Header.Set(control.HeaderRequestID, "r1")
				resp, err := http.DefaultClient.Do(req)
				if err != nil || resp.StatusCode != 200 {
					answered <- history.Unknown
					return
				}
				_ = resp.Body.Close()
				answered <- history.Answered
			}()
			<-began
			rec.Add(history.Execution{At: 1, ID: "r1", Endpoint: "instance-01"})
			stopped := make(chan error, 1)
			go func() { stopped <- stop() }()
			verdict := history.Unknown
			if off {
				verdict = <-answered
				close(release)
			} else {
				for !s.isDraining() {
					time.Sleep(time.Millisecond)
				}
				close(release)
				verdict = <-answered
			}
			err := <-stopped
			rec.Add(history.Answer{At: 3, ID: "r1", Verdict: verdict, EchoID: "r1"})
			found := history.Check(rec.Events())
			if !off {
				assert.NilError(t, err)
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Equal(t, len(found), 1)
			assert.Equal(t, found[0].Rule, history.RequestInterrupted)
		})
	}
}

func (s *Side) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.Draining()
}
