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

// judgeLost hands in a job while everything is calm, and returns what broke the rule if none of its tasks is started within
// finish_s and 3 s. The workers named as able may run it. In the last 3 s one of them has room for it twice over, and under half of
// the capacity of all workers is in use.
func (w *world) judgeLost(n *node, workers, able []*worker, body string) (string, error) {
	const id = "00000000000000c1"
	if !w.submit(n, id, body) {
		return "", fmt.Errorf("the job was not accepted")
	}
	at := time.Now()
	for time.Since(at) < finish+idleLimit {
		time.Sleep(250 * time.Millisecond)
		starts := 0
		for _, k := range workers {
			starts += k.startsOf(id)
		}
		if starts > 0 {
			w.rec("check: a task of the job was started within %d ms", time.Since(at).Milliseconds())
			return "", nil
		}
		if time.Since(at) > finish {
			if err := checkRoom(workers, able); err != nil {
				return "", err
			}
		}
	}
	w.rec("check: in the last 3 s a worker that may run the job had room for it twice over, and under half of the capacity was in use")
	status, state := w.call(n, http.MethodGet, "/q/"+id, "", 3*time.Second)
	return fmt.Sprintf("LOST: %d ms after its acceptance no task of the job has ever been started; it is answered with %d %s",
		time.Since(at).Milliseconds(), status, state), nil
}

// checkRoom returns an error if no able worker has room for two tasks of 500 thousandths of a core, or if half of the capacity of
// all workers is in use.
func checkRoom(workers, able []*worker) error {
	used, all := int64(0), int64(0)
	for _, k := range workers {
		used, all = used+k.used(), all+k.cpu
	}
	if 2*used >= all {
		return fmt.Errorf("%d of %d thousandths of a core are in use", used, all)
	}
	for _, k := range able {
		if k.used()+2*500 <= k.cpu {
			return nil
		}
	}
	return fmt.Errorf("no worker that may run the job has room for it twice over")
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
	id := k.lifeID()
	k.end()
	time.Sleep(500 * time.Millisecond)
	if err := k.begin(id, 0); err != nil {
		return "", err
	}
	time.Sleep(1400 * time.Millisecond)
	if trouble {
		w.rec("trouble: the path is whole again")
		p.setCut(false)
	}
	time.Sleep(4*time.Second + 2*contact)
	return w.judgeLost(fronts[0], workers, []*worker{k}, `{"spec":"ms=300","steps":[{"count":1,"cpu":500,"mem_mb":100,"est_ms":300,"requires":"b"}]}`)
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
	if err := k.begin("i-001", ahead); err != nil {
		return "", err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.rec("trouble: the time of day of the worker's machine jumps back")
	}
	time.Sleep(200 * time.Millisecond)
	k.end()
	time.Sleep(500 * time.Millisecond)
	if err := k.begin("i-001", 0); err != nil {
		return "", err
	}
	time.Sleep(2 * contact)
	return w.judgeLost(fronts[0], workers, workers, ordinary(300))
}
