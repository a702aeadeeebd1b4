package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["leave"] = playLeave
	cases["born"] = playBorn
}

const (
	// finish is finish_s of the deployment, and idleLimit the time for which a job may have nothing at work then.
	finish    = 14 * time.Second
	idleLimit = 3 * time.Second
	// contact is contact_ms of the deployment.
	contact = 3 * time.Second
)

// judgeLost hands in a job while everything is calm, and returns what broke the rule if none of its tasks is started
// within finish_s and 3 s, with a whole worker free.
func (w *world) judgeLost(n *node, workers []*worker, body string) (string, error) {
	const id = "00000000000000c1"
	if !w.submit(n, id, body) {
		return "", fmt.Errorf("the job was not accepted")
	}
	at := time.Now()
	for time.Since(at) < finish+idleLimit {
		time.Sleep(time.Second)
		starts := 0
		for _, k := range workers {
			starts += k.startsOf(id)
		}
		if starts > 0 {
			w.rec("check: a task of the job was started within %d ms", time.Since(at).Milliseconds())
			return "", nil
		}
	}
	status, state := w.call(n, http.MethodGet, "/q/"+id, "", 3*time.Second)
	return fmt.Sprintf("LOST: %d ms after its acceptance the job has nothing at work and had nothing, and all of the service's capacity is free; it is answered with %d %s",
		time.Since(at).Milliseconds(), status, state), nil
}

// leaveWorkers is the number of workers beside the one that is cut off, of a share of 0.2.
const leaveWorkers = 4

// playLeave has a worker that is restarted in an orderly way while the path to its side process is cut. The message that the
// earlier life leaves arrives after the heartbeat of the next one. A job requires a label that this worker alone has.
func playLeave(w *world, trouble bool) (string, error) {
	fronts, workers, err := w.small(1, leaveWorkers)
	if err != nil {
		return "", err
	}
	k, err := w.addLabelled(leaveWorkers+1, "b")
	if err != nil {
		return "", err
	}
	workers = append(workers, k)
	time.Sleep(contact)
	p, err := newProxy(k.control)
	if err != nil {
		return "", err
	}
	defer p.close()
	p.lateBytes, p.lateBy = []byte("Instances.Leave"), 2*time.Second
	k.mu.Lock()
	k.control = p.address()
	k.mu.Unlock()
	time.AfterFunc(2200*time.Millisecond, func() {
		if trouble {
			w.rec("trouble: the path between the worker and its side process is cut for 4 s")
			p.setCut(true)
		}
	})
	k.drain(2300 * time.Millisecond)
	time.Sleep(2 * time.Second)
	k.end()
	time.Sleep(500 * time.Millisecond)
	k.begin(k.life.id, 0)
	time.Sleep(1400 * time.Millisecond)
	if trouble {
		w.rec("trouble: the path is whole again")
		p.setCut(false)
	}
	time.Sleep(4*time.Second + 2*contact)
	return w.judgeLost(fronts[0], workers, `{"spec":"ms=300","steps":[{"count":1,"cpu":500,"mem_mb":100,"est_ms":300,"requires":"b"}]}`)
}

// playBorn has a worker that crashes twice while the time of day of its machine jumps ahead and back.
func playBorn(w *world, trouble bool) (string, error) {
	fronts, workers, err := w.small(1, 1)
	if err != nil {
		return "", err
	}
	k := workers[0]
	ahead := time.Duration(0)
	if trouble {
		ahead = 2 * time.Second
		w.rec("trouble: the time of day of the worker's machine jumps ahead by 2,000 ms")
	}
	time.Sleep(time.Second)
	k.end()
	time.Sleep(500 * time.Millisecond)
	k.begin("i-001", ahead)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.rec("trouble: the time of day of the worker's machine jumps back")
	}
	time.Sleep(200 * time.Millisecond)
	k.end()
	time.Sleep(500 * time.Millisecond)
	k.begin("i-001", 0)
	time.Sleep(2 * contact)
	return w.judgeLost(fronts[0], workers, ordinary(300))
}
