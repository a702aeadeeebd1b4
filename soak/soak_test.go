package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// TestMain removes the binaries that the tests built.
func TestMain(m *testing.M) {
	code := m.Run()
	launch.RemoveBuilds()
	os.Exit(code)
}

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	// An outgoing connection of another process took the port of an entry while it was restarted.
	228,
}

func env(name string, otherwise int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return otherwise
}

// Guards against a task that runs twice, out of order or unasked, refusals that are not true, and accepted jobs that are
// lost, under faults from outside in series and overlapping. SOAK_SEED, SOAK_SEEDS, SOAK_SECONDS, SOAK_ENTRIES and
// SOAK_SIDES set what is played; make soak does.
func TestSoak(t *testing.T) {
	first := uint64(env("SOAK_SEED", 1))
	seeds := append([]uint64{}, regressions...)
	for i := range uint64(env("SOAK_SEEDS", 1)) {
		seeds = append(seeds, first+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, seed, env("SOAK_ENTRIES", 3), env("SOAK_SIDES", 5))
			s.play(time.Duration(env("SOAK_SECONDS", 20)) * time.Second)
		})
	}
}

// play lets callers work under faults, and checks at the end that every job has ended.
func (s *site) play(length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.call(ctx, i, rng)
		}()
	}
	for i := range 2 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.disturb(ctx, rng)
		}()
	}
	wg.Wait()
	s.finish()
}

// call submits jobs, asks for them and cancels some, on a connection that is kept open.
func (s *site) call(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		job := fmt.Sprintf("%08x%08x", caller+1, n)
		steps := []int{1 + rng.IntN(4)}
		if rng.IntN(2) == 0 {
			steps = append(steps, 1+rng.IntN(3))
		}
		s.check.mu.Lock()
		s.check.jobs[job] = &submission{steps: steps}
		s.check.mu.Unlock()
		for try := 0; try < 4 && ctx.Err() == nil; try++ {
			status := s.send(client, rng, http.MethodPost, "/q/"+job, body(steps))
			s.check.answered(job, status)
			if status >= 200 && status < 300 {
				break
			}
			time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
		}
		if rng.IntN(6) == 0 {
			if status := s.send(client, rng, http.MethodDelete, "/q/"+job, nil); status == http.StatusOK {
				s.check.mu.Lock()
				s.check.jobs[job].cancelled = time.Now()
				s.check.mu.Unlock()
			}
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
}

func body(steps []int) []byte {
	type step struct {
		Count int   `json:"count"`
		CPU   int   `json:"cpu"`
		EstMs int   `json:"est_ms"`
		After []int `json:"depends_on,omitempty"`
	}
	job := struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}{Spec: "soak"}
	for i, n := range steps {
		st := step{Count: n, CPU: 300, EstMs: 900}
		if i > 0 {
			st.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, st)
	}
	data, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return data
}

// send sends a request to an entry and returns the status, or 0 if there was no whole answer.
func (s *site) send(client *http.Client, rng *rand.Rand, method, path string, data []byte) int {
	status, _ := s.exchange(client, s.entries[rng.IntN(len(s.entries))], method, path, data)
	return status
}

func (s *site) exchange(client *http.Client, e *node, method, path string, data []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+e.public+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// disturb injects one fault after the other; two of these overlap.
func (s *site) disturb(ctx context.Context, rng *rand.Rand) {
	nodes := append(append([]*node{}, s.entries...), s.sides...)
	for ctx.Err() == nil {
		n := nodes[rng.IntN(len(nodes))]
		length := time.Duration(300+rng.IntN(4000)) * time.Millisecond
		s.inject(rng, n, length)
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
	}
}

// inject injects one fault for a while.
func (s *site) inject(rng *rand.Rand, n *node, length time.Duration) {
	proxies := []*faultproxy.Proxy{n.store, n.peer}
	if n.worker != nil {
		proxies = append(proxies, n.worker)
	}
	p := proxies[rng.IntN(len(proxies))]
	direction := faultproxy.Direction(1 + rng.IntN(3))
	switch rng.IntN(14) {
	case 0:
		p.SetDelay(direction, time.Duration(50+rng.IntN(400))*time.Millisecond)
		time.Sleep(length)
		p.Restore()
	case 1:
		p.Cut()
		time.Sleep(length)
		p.Restore()
	case 2:
		p.SilenceOpen(direction)
	case 3:
		p.SilenceAll(direction)
		time.Sleep(length)
		p.Restore()
	case 4:
		p.CloseConnections()
	case 5:
		n.store.DropReplies(3, "append")
		time.Sleep(length)
		n.store.Restore()
	case 6, 7:
		n.mu.Lock()
		proc := n.process
		n.mu.Unlock()
		if err := proc.Pause(); err == nil {
			time.Sleep(length)
			_ = proc.Resume() // it may have been ended meanwhile
		}
	case 8, 9:
		n.restart((*launch.Process).Kill, length/4)
	case 10:
		n.restart((*launch.Process).Terminate, 0)
	case 11:
		s.setFault([]platformtest.Fault{platformtest.Busy, platformtest.Silent, platformtest.LoseAnswer}[rng.IntN(3)])
		time.Sleep(length)
		s.setFault(platformtest.None)
	case 12:
		if n.worker != nil {
			n.boot()
		} else {
			s.publish(int(time.Now().UnixMilli()))
		}
	case 13:
		s.sickWorker(rng, length)
	}
}

func (s *site) setFault(f platformtest.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// sickWorker makes a worker mute or silent for a while.
func (s *site) sickWorker(rng *rand.Rand, length time.Duration) {
	n := s.sides[rng.IntN(len(s.sides))]
	n.mu.Lock()
	a := n.app
	n.mu.Unlock()
	a.Lock()
	a.Mute, a.Silence = rng.IntN(2) == 0, rng.IntN(2) == 0
	a.Unlock()
	time.Sleep(length)
	a.Lock()
	a.Mute, a.Silence = false, false
	a.Unlock()
}

const (
	// finishBound is how long jobs may take to end after the last fault. A whole site on one busy machine is slow.
	finishBound = 120 * time.Second
	// askEvery is the time between two looks at the jobs.
	askEvery = 300 * time.Millisecond
)

// finish ends all faults and waits until every job has ended.
func (s *site) finish() {
	s.setFault(platformtest.None)
	for _, n := range append(append([]*node{}, s.entries...), s.sides...) {
		n.store.Restore()
		n.peer.Restore()
		if n.worker != nil {
			n.worker.Restore()
		}
		n.mu.Lock()
		_ = syscall.Kill(n.process.PID(), syscall.SIGCONT)
		n.mu.Unlock()
	}
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	until := time.Now().Add(finishBound)
	for {
		open := s.open(client)
		s.check.mu.Lock()
		problems := append([]string{}, s.check.problems...)
		s.check.mu.Unlock()
		if len(open) == 0 || len(problems) > 0 {
			break
		}
		if time.Now().After(until) {
			s.check.problem("LOST: %d jobs have not ended, the first %s", len(open), open[0])
			break
		}
		time.Sleep(askEvery)
	}
	s.check.refusals()
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	s.t.Logf("%d jobs, %d starts, %d tasks done", len(s.check.jobs), s.check.starts, len(s.check.done))
	if len(s.check.problems) > 0 {
		s.keepLogs()
	}
	assert.Equal(s.t, len(s.check.problems), 0, "%v", s.check.problems)
	assert.Assert(s.t, s.check.starts > 0, "nothing was started")
}

// open returns accepted jobs that have not ended, by each entry's account, and checks what the accounts say.
func (s *site) open(client *http.Client) []string {
	s.check.mu.Lock()
	jobs := map[string]*submission{}
	for id, j := range s.check.jobs {
		if j.accepted {
			jobs[id] = j
		}
	}
	s.check.mu.Unlock()
	var open []string
	i := 0
	for id, j := range jobs {
		i++
		status, data := s.exchange(client, s.entries[i%len(s.entries)], http.MethodGet, "/q/"+id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK {
			if err := json.Unmarshal(data, &answer); err != nil {
				s.check.problem("MIXED: the state of %s cannot be read: %s", id, data)
			}
		}
		s.check.mu.Lock()
		switch {
		case status == http.StatusGone:
			s.check.problem("LOST: %s was accepted and is denied", id)
		case answer.State == "completed":
			for step, count := range j.steps {
				for k := range count {
					if name := fmt.Sprintf("%s.0.%d.%d", id, step, k); !s.check.done[name] {
						s.check.problem("MIXED: %s is completed without %s", id, name)
					}
				}
			}
		case answer.State == "cancelled" && j.cancelled.IsZero():
			// The answer to the cancelling may have been lost.
		case answer.State != "failed" && answer.State != "cancelled":
			open = append(open, id)
		}
		s.check.mu.Unlock()
	}
	return open
}

// keepLogs writes the logs of all processes to the folder that SOAK_LOGS names.
func (s *site) keepLogs() {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, n := range append(append([]*node{}, s.entries...), s.sides...) {
		name := fmt.Sprintf("%s/%s-%s.log", dir, s.t.Name()[len("TestSoak/"):], n.name)
		if err := os.WriteFile(name, []byte(n.process.Output()), 0o600); err != nil {
			s.t.Logf("keep logs: %v", err)
		}
	}
}

// Guards against checks of the soak that cannot fail.
func TestChecksCanFail(t *testing.T) {
	const task = "0000000100000000.0.0.0"
	fresh := func() *checker {
		c := newChecker()
		c.jobs["0000000100000000"] = &submission{steps: []int{1, 1}}
		return c
	}
	for what, act := range map[string]func(*checker){
		"TWICE at a time": func(c *checker) { c.started("a", task, 1); c.started("b", task, 2) },
		"TWICE after done": func(c *checker) {
			c.started("a", task, 1)
			c.ended(task, 1, "done")
			c.forgotten(task, 1, "done")
			c.started("a", task, 2)
		},
		"ORDER":   func(c *checker) { c.started("a", "0000000100000000.0.1.0", 1) },
		"UNASKED": func(c *checker) { c.started("a", "0000000200000000.0.0.0", 1) },
		"UNASKED cancelled": func(c *checker) {
			c.jobs["0000000100000000"].cancelled = time.Now().Add(-time.Hour)
			c.started("a", task, 1)
		},
		"REFUSED": func(c *checker) { c.answered("0000000100000000", 503); c.ended(task, 1, "done"); c.refusals() },
		"BUDGET": func(c *checker) {
			for run := range attempts + 1 {
				c.started("a", task, run+1)
				c.ended(task, run+1, "failed")
				c.forgotten(task, run+1, "failed")
			}
		},
	} {
		c := fresh()
		act(c)
		assert.Assert(t, len(c.problems) > 0, "%s was not noticed", what)
	}
}
