package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/platform"
)

// Guards against a call to the adviser whose end is not reported, whatever its end: the decider would wait for it for good. The
// job starts once the adviser answers, with the ticket that it gave.
func TestEachCallToTheAdviserIsReported(t *testing.T) {
	failures := []func(http.ResponseWriter){
		func(rw http.ResponseWriter) { rw.WriteHeader(http.StatusTooManyRequests) },
		func(rw http.ResponseWriter) { _, _ = rw.Write([]byte(`{"good":[["i-`)) },
		func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	}
	var mu sync.Mutex
	calls := 0
	adviser := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var question struct {
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&question) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		mu.Lock()
		call := calls
		calls++
		mu.Unlock()
		if call < len(failures) {
			failures[call](rw)
			return
		}
		good := [][2]string{}
		for _, id := range question.Workers {
			good = append(good, [2]string{id, "ticket"})
		}
		_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "valid_ms": 3000})
	}))
	defer adviser.Close()
	s := newSite(t)
	s.adviser = strings.TrimPrefix(adviser.URL, "http://")
	s.store.Put(platform.TopicOperator, "config", []byte(strings.Replace(testConfig, `"stretch":1.5`, `"stretch":1.5,"advice":{"decide_ms":1,"each_ms":1,"valid_ms":3000}`, 1)))
	e, _ := s.entry("entry-1")
	w := s.worker("side-1")
	s.until("a decider", func() bool { return deciders(e) == 1 && e.currentDecider() != nil })
	status, _, _ := s.call(e, http.MethodPost, jobPath, jobBody)
	assert.Equal(t, status, http.StatusOK)
	s.until("both tasks to run", func() bool { return len(running(w)) == 2 })
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, calls, len(failures)+1)
}
