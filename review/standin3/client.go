package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients send it.
type step struct {
	Count     int   `json:"count"`
	CPU       int64 `json:"cpu,omitempty"`
	MemMB     int64 `json:"mem_mb,omitempty"`
	EstMs     int64 `json:"est_ms,omitempty"`
	DependsOn []int `json:"depends_on,omitempty"`
	Gang      bool  `json:"gang,omitempty"`
	// AntiAffinity is how many tasks of the step may run on one worker.
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	RackLocal    bool   `json:"rack_local,omitempty"`
	Image        string `json:"image,omitempty"`
	work         time.Duration
	fails        bool
}

// job is a job as clients send it.
type job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
	queue route
}

// clients holds the jobs that clients have sent.
type clients struct {
	rec  *record
	d    *deployment
	http *http.Client

	mu   sync.Mutex
	sent map[string]*job
}

func newClients(d *deployment) *clients {
	return &clients{rec: d.rec, d: d, http: &http.Client{Timeout: 3 * time.Second}, sent: map[string]*job{}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// size returns what a task of a sent job asks for; false if no client has sent it with this spec.
func (c *clients) size(task, spec string) (taskSize, bool) {
	id, n, err := parseTask(task)
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.sent[id]
	if err != nil || j == nil || j.Spec != spec || n >= len(j.Steps) {
		return taskSize{}, false
	}
	s := j.Steps[n]
	return taskSize{cpu: s.CPU, memMB: s.MemMB, work: s.work, fails: s.fails}, true
}

// do sends a request to an entry and returns its status and the state in the answer; status 0 means no answer.
func (c *clients) do(m *machine, method string, q route, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", m.ip, portFront, q.PathPrefix, id), bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = q.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Verbenakeel-Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &answer)
	if answer.State == "" {
		return resp.StatusCode, strings.TrimSpace(string(data))
	}
	return resp.StatusCode, answer.State
}

// submit sends a job up to five times and reports whether it was accepted.
func (c *clients) submit(entries []*machine, j *job) bool {
	c.mu.Lock()
	c.sent[j.ID] = j
	c.mu.Unlock()
	body, _ := json.Marshal(j)
	for try := range 5 {
		status, state := c.do(entries[try%len(entries)], http.MethodPost, j.queue, j.ID, body)
		c.rec.note("POST of job %s, %d bytes, to %s: %d %s", j.ID, len(body), entries[try%len(entries)].name, status, state)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// submitOnce sends a job once and reports whether it was accepted.
func (c *clients) submitOnce(m *machine, j *job) bool {
	c.mu.Lock()
	c.sent[j.ID] = j
	c.mu.Unlock()
	body, _ := json.Marshal(j)
	status, state := c.do(m, http.MethodPost, j.queue, j.ID, body)
	c.rec.note("POST of job %s, %d bytes, to %s: %d %s", j.ID, len(body), m.name, status, state)
	return status/100 == 2
}

// state asks the entries in turn until one tells the state of a job.
func (c *clients) state(entries []*machine, j *job) string {
	for _, m := range entries {
		if status, state := c.do(m, http.MethodGet, j.queue, j.ID, nil); status == http.StatusOK {
			return state
		} else if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// awaitEnd asks for the state of a job until it is final or the time is up, and returns the last state.
func (c *clients) awaitEnd(entries []*machine, j *job, limit time.Duration) string {
	state := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if state = c.state(entries, j); state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	c.rec.note("job %s is shown as %q", j.ID, state)
	return state
}
